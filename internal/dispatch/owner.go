package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// engine gives orders and calls to model engines.
type engine interface {
	Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error)
	Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error
	Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error)
}

// service passes calls to plain services.
type service interface {
	Call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error
}

// leases tells which groups this VM owns.
type leases interface {
	Lease(group core.GroupID) (token core.FencingToken, until time.Time, held bool)
}

// Upstreams are the ways to reach the upstreams of a group.
type Upstreams interface {
	engine
	service
	// Ejected reports whether an upstream failed and gets no new work for now.
	Ejected(address string) bool
}

// Owner dispatches the calls of the groups that this VM owns.
type Owner struct {
	leases    leases
	upstreams Upstreams
	logger    *log.Logger

	// mutex is lock 2 of the VM. It guards groups and everything below them.
	mutex  sync.Mutex
	groups map[core.GroupID]*group
	// attempts is guarded by mutex.
	attempts attempts
}

// New returns an owner without groups.
func New(leases leases, upstreams Upstreams, logger *log.Logger) *Owner {
	return &Owner{leases: leases, upstreams: upstreams, logger: logger, groups: make(map[core.GroupID]*group)}
}

// Announce takes an upstream's announcement into its group.
func (owner *Owner) Announce(announcement core.Announcement) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.group(announcement.Group).announce(announcement, time.Now())
}

func (owner *Owner) group(id core.GroupID) *group {
	entry, ok := owner.groups[id]
	if !ok {
		entry = newGroup(owner.upstreams.Ejected)
		owner.groups[id] = entry
	}
	return entry
}

// Serve runs one call and passes its answer to send. It refuses with the code
// not_owner if this VM does not hold the lease of the group.
func (owner *Owner) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	if _, refusal := owner.token(call.Group); refusal != nil {
		return core.EndRefused(call.Attempt, refusal)
	}
	started := time.Now()
	wait, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	chosen, stalled, refusal := owner.place(wait, call)
	if refusal != nil {
		return core.EndRefused(call.Attempt, refusal)
	}
	defer owner.release(call, chosen)
	token, refusal := owner.token(call.Group)
	if refusal != nil {
		return core.EndRefused(call.Attempt, refusal)
	}
	if !owner.markSent(call.Attempt) {
		return core.EndRefused(call.Attempt, core.Refuse(core.CodeNoUpstream, "the attempt was withdrawn by its entry VM"))
	}
	queued := time.Since(started)
	return owner.run(ctx, call, chosen, token, func(chunk core.Chunk) error {
		if chunk.Head != nil {
			chunk.Head.Queued, chunk.Head.Stalled = queued, stalled
		}
		return send(chunk)
	})
}

func (owner *Owner) markSent(id core.AttemptID) bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.attempts.send(id, time.Now())
}

// token returns the fencing token of a group, checked against the clock at the time
// of the call, so that a VM that was frozen finds its lease expired.
func (owner *Owner) token(id core.GroupID) (core.FencingToken, *core.Refusal) {
	token, until, held := owner.leases.Lease(id)
	if !held || !time.Now().Before(until) {
		return 0, core.Refuse(core.CodeNotOwner, "this VM does not hold the lease of group "+id.String())
	}
	return token, nil
}

func (owner *Owner) run(ctx context.Context, call core.Call, chosen *member, token core.FencingToken, send func(core.Chunk) error) core.End {
	end := core.End{Attempt: call.Attempt, Whole: true, Outcome: core.Ran, Upstream: chosen.id, Incarnation: chosen.incarnation}
	var err error
	if call.Group.Kind == core.ServiceGroup {
		err = owner.upstreams.Call(ctx, chosen.address, chosen.id, call, send)
	} else {
		end.Tokens, err = owner.upstreams.Run(ctx, chosen.address, call, token, send)
	}
	if err == nil {
		return end
	}
	end.Whole, end.Message = false, err.Error()
	end.Outcome, end.Code = core.Unknown, core.CodeUpstreamFailed
	var failure *upstream.CallError
	if errors.As(err, &failure) {
		end.Outcome, end.Code, end.Crashed = failure.Outcome, failure.Code, failure.Crashed
	}
	return end
}

// place waits for an upstream that can take the call and reserves a place on it.
// The second result is the time spent on loads of the adapter.
func (owner *Owner) place(ctx context.Context, call core.Call) (*member, time.Duration, *core.Refusal) {
	var stalled time.Duration
	for {
		owner.mutex.Lock()
		group := owner.group(call.Group)
		chosen, load, evict := group.choose(call.Pin.AdapterVersion, time.Now())
		changed, empty := group.changed, !group.alive(time.Now())
		owner.mutex.Unlock()
		switch {
		case empty:
			return nil, 0, core.Refuse(core.CodeNoUpstream, "no upstream of group "+call.Group.String()+" is alive")
		case chosen != nil && load:
			began := time.Now()
			owner.load(ctx, call, chosen, evict)
			stalled += time.Since(began)
			continue
		case chosen != nil:
			return chosen, stalled, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, core.Refuse(core.CodeDeadline, "no upstream could take the call before its deadline")
		}
	}
}

// load replaces an adapter version on an engine. The group has marked the slot.
func (owner *Owner) load(ctx context.Context, call core.Call, chosen *member, evict core.AdapterVersion) {
	adapter := call.Pin.AdapterVersion
	err := owner.orders(ctx, call.Group, chosen, evict, adapter)
	if err != nil {
		owner.logger.Warn("Adapter not loaded.", "upstream", chosen.id, "adapter", adapter, "error", err)
	}
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.group(call.Group).loaded(chosen, adapter, err == nil)
}

func (owner *Owner) orders(ctx context.Context, id core.GroupID, chosen *member, evict, adapter core.AdapterVersion) error {
	token, refusal := owner.token(id)
	if refusal != nil {
		return refusal
	}
	if !evict.IsZero() {
		if err := owner.upstreams.Evict(ctx, chosen.address, evict, token); err != nil {
			return err
		}
	}
	incarnation, err := owner.upstreams.Load(ctx, chosen.address, adapter, token)
	if err != nil {
		return err
	}
	if incarnation != chosen.incarnation {
		return errors.Errorf("engine restarted as %q", incarnation)
	}
	return nil
}

func (owner *Owner) release(call core.Call, chosen *member) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.group(call.Group).release(chosen, call.Pin.AdapterVersion)
}
