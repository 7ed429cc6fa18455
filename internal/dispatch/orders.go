package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// orderTimeout bounds an order to an engine. It is the scheduler's time limit for a
// load, after which the answer no longer counts.
const orderTimeout = 5 * time.Second

// load hands the order for a load to the pool. The caller holds the lock.
func (owner *Owner) load(group *group, action scheduler.Action) {
	address := group.addresses[action.Upstream]
	owner.jobs.Go(func() {
		err := owner.order(group.id, func(ctx context.Context, token core.FencingToken) error {
			incarnation, err := owner.upstreams.Load(ctx, address, action.Adapter, token)
			if err == nil && incarnation != action.Incarnation {
				return errors.Errorf("engine restarted as %q", incarnation)
			}
			return err
		})
		if err != nil {
			owner.logger.Warn("Adapter not loaded.", "upstream", action.Upstream, "adapter", action.Adapter, "error", err)
		}
		owner.loaded(group, action, err)
	})
}

func (owner *Owner) loaded(group *group, action scheduler.Action, err error) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	switch {
	case errors.Is(err, upstream.ErrNoSlot):
		group.scheduler.LoadRefused(action.Upstream, action.Incarnation, action.Adapter, now)
	case errors.Is(err, context.DeadlineExceeded):
		// No answer within the limit. The tick that is due ends the load.
		group.scheduler.Tick(now)
	default:
		group.scheduler.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, err == nil, now)
	}
	owner.act(group, now)
}

// evict hands the order for an eviction to the pool. The caller holds the lock.
func (owner *Owner) evict(group *group, action scheduler.Action) {
	address := group.addresses[action.Upstream]
	owner.jobs.Go(func() {
		err := owner.order(group.id, func(ctx context.Context, token core.FencingToken) error {
			return owner.upstreams.Evict(ctx, address, action.Adapter, token)
		})
		if err != nil {
			owner.logger.Warn("Adapter not evicted.", "upstream", action.Upstream, "adapter", action.Adapter, "error", err)
		}
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		now := time.Now()
		group.scheduler.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, err == nil, now)
		owner.act(group, now)
	})
}

// order gives an order under the lease of the group, which is checked right before.
func (owner *Owner) order(id core.GroupID, give func(ctx context.Context, token core.FencingToken) error) error {
	token, refusal := owner.token(id)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return give(ctx, token)
}
