package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// commandTimeout bounds a load or evict command to an engine. It equals the default
// time limit of the scheduler for a load; a later answer has no effect.
const commandTimeout = 5 * time.Second

// startLoad submits a load command to the worker pool. The caller holds mutex.
func (owner *Owner) startLoad(group *group, action scheduler.Action) {
	address := group.addresses[action.Upstream]
	owner.jobs.Go(func() {
		err := owner.runCommand(group.id, func(ctx context.Context, token core.FencingToken) error {
			incarnation, err := owner.upstreams.Load(ctx, address, action.Adapter, token)
			if err == nil && incarnation != action.Incarnation {
				return errors.Errorf("engine restarted as %q", incarnation)
			}
			return err
		})
		if err != nil {
			owner.logger.Warn("Failed to load adapter.", "upstream", action.Upstream, "adapter", action.Adapter, "error", err)
		}
		owner.finishLoad(group, action, err)
	})
}

// finishLoad reports the result of a load command to the scheduler.
func (owner *Owner) finishLoad(group *group, action scheduler.Action, err error) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	switch {
	case errors.Is(err, upstream.ErrNoSlot):
		group.scheduler.LoadRefused(action.Upstream, action.Incarnation, action.Adapter, now)
	case errors.Is(err, context.DeadlineExceeded):
		// The load was not answered in time. Tick ends loads that are over the limit.
		group.scheduler.Tick(now)
	default:
		group.scheduler.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, err == nil, now)
	}
	owner.applyActions(group, now)
}

// startEviction submits an evict command to the worker pool. The caller holds mutex.
func (owner *Owner) startEviction(group *group, action scheduler.Action) {
	address := group.addresses[action.Upstream]
	owner.jobs.Go(func() {
		err := owner.runCommand(group.id, func(ctx context.Context, token core.FencingToken) error {
			return owner.upstreams.Evict(ctx, address, action.Adapter, token)
		})
		if err != nil {
			owner.logger.Warn("Failed to evict adapter.", "upstream", action.Upstream, "adapter", action.Adapter, "error", err)
		}
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		now := clock.Time()
		group.scheduler.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, err == nil, now)
		owner.applyActions(group, now)
	})
}

// runCommand runs a command with the fencing token of the group. It checks the lease
// immediately before and returns the refusal if this VM does not hold it.
func (owner *Owner) runCommand(id core.GroupID, command func(ctx context.Context, token core.FencingToken) error) error {
	token, refusal := owner.checkLease(id)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return command(ctx, token)
}
