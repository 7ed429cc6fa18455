package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// cancelTimeout bounds the wait for an engine to confirm that an attempt has ended.
const cancelTimeout = 2 * time.Second

// The refusals of calls that did not reach a scheduler's decision.
var (
	errWithdrawn = core.Refuse(core.CodeNoUpstream, "the attempt was withdrawn by its entry VM")
	errAbandoned = core.Refuse(core.CodeDeadline, "the caller left before the call could be sent")
	errKnown     = &core.Refusal{Code: core.CodeInProgress, Outcome: core.Unknown, Message: "the attempt is already at this owner"}
)

// Serve runs one call and passes its answer to send. It refuses with the code
// not_owner if this VM does not hold the lease of the group.
func (owner *Owner) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	token, refusal := owner.token(call.Group)
	if refusal != nil {
		return core.EndRefused(call.Attempt, refusal)
	}
	group, ticket := owner.enqueue(call, token)
	if ticket == nil {
		return core.EndRefused(call.Attempt, errKnown)
	}
	action, refusal := owner.await(ctx, group, ticket)
	if refusal != nil {
		return core.EndRefused(call.Attempt, refusal)
	}
	return owner.run(ctx, group, call, action, send)
}

// enqueue hands a call to the scheduler of its group.
func (owner *Owner) enqueue(call core.Call, token core.FencingToken) (*group, *ticket) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.group(call.Group, token)
	if _, waits := group.tickets[call.Attempt]; waits || owner.attempts.sent(call.Attempt) {
		return group, nil
	}
	waits := &ticket{call: call, actions: make(chan scheduler.Action, 1)}
	group.tickets[call.Attempt] = waits
	now := time.Now()
	group.scheduler.Enqueue(scheduler.Call{
		Attempt: call.Attempt, Customer: call.Customer, Adapter: call.Pin.AdapterVersion, Priority: call.Priority,
		Deadline: now.Add(call.Deadline), Suspect: call.Suspect, Prefixes: call.Prefixes,
	}, now)
	owner.act(group, now)
	return group, waits
}

// await waits until the call may be sent now to the upstream of the returned action.
func (owner *Owner) await(ctx context.Context, group *group, waits *ticket) (scheduler.Action, *core.Refusal) {
	for {
		select {
		case action := <-waits.actions:
			if action.Kind == scheduler.Refuse {
				owner.forget(group, waits)
				return action, action.Refusal
			}
			if started, refusal := owner.start(group, waits, action); started || refusal != nil {
				return action, refusal
			}
		case <-ctx.Done():
			owner.cancel(group, waits)
			return scheduler.Action{}, errAbandoned
		}
	}
}

func (owner *Owner) forget(group *group, waits *ticket) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	delete(group.tickets, waits.call.Attempt)
}

// cancel withdraws a call that has not started. Only the goroutine of the call starts
// it, so it cannot start meanwhile.
func (owner *Owner) cancel(group *group, waits *ticket) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	group.scheduler.Cancel(waits.call.Attempt, now)
	delete(group.tickets, waits.call.Attempt)
	owner.act(group, now)
}

// start checks the lease, the upstream, the deadline and the entry VM's consent
// right before the send. It returns false without a refusal if the call waits on.
func (owner *Owner) start(group *group, waits *ticket, action scheduler.Action) (bool, *core.Refusal) {
	_, refusal := owner.token(group.id)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	attempt := waits.call.Attempt
	if refusal == nil && !group.scheduler.Start(attempt, action.Upstream, action.Incarnation, now) {
		owner.act(group, now)
		return false, nil
	}
	delete(group.tickets, attempt)
	if refusal == nil && owner.attempts.send(attempt, now) {
		return true, nil
	}
	if refusal != nil {
		group.scheduler.Cancel(attempt, now)
	} else {
		refusal = errWithdrawn
		group.scheduler.Ended(attempt, true, now)
	}
	owner.act(group, now)
	return false, refusal
}

// run sends a call that was started and tells the scheduler how it ended.
func (owner *Owner) run(ctx context.Context, group *group, call core.Call, action scheduler.Action, send func(core.Chunk) error) core.End {
	end := core.End{Attempt: call.Attempt, Whole: true, Outcome: core.Ran, Upstream: action.Upstream, Incarnation: action.Incarnation}
	// The token may be that of a later ownership, which only makes it larger.
	token, refusal := owner.token(call.Group)
	if refusal != nil {
		owner.ended(group, action, true)
		return core.EndRefused(call.Attempt, refusal)
	}
	address := owner.address(group, action.Upstream)
	err := owner.pass(ctx, address, call, token, action, &end, send)
	failure := describe(err, &end)
	owner.settle(group, call, address, action, failure)
	return end
}

func (owner *Owner) pass(ctx context.Context, address string, call core.Call, token core.FencingToken, action scheduler.Action, end *core.End, send func(core.Chunk) error) error {
	timed := func(chunk core.Chunk) error {
		if chunk.Head != nil {
			chunk.Head.Queued, chunk.Head.Stalled = action.Queued, action.Stalled
		}
		return send(chunk)
	}
	if call.Group.Kind == core.ServiceGroup {
		return owner.upstreams.Call(ctx, address, action.Upstream, call, timed)
	}
	tokens, err := owner.upstreams.Run(ctx, address, call, token, timed)
	end.Tokens = tokens
	return err
}

// describe enters an error into the end of an attempt.
func describe(err error, end *core.End) *upstream.CallError {
	if err == nil {
		return nil
	}
	end.Whole, end.Message = false, err.Error()
	end.Outcome, end.Code = core.Unknown, core.CodeUpstreamFailed
	var failure *upstream.CallError
	if errors.As(err, &failure) {
		end.Outcome, end.Code, end.Crashed = failure.Outcome, failure.Code, failure.Crashed
		return failure
	}
	return &upstream.CallError{Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Err: err}
}

// settle ends a call at the scheduler. If its stream broke, the engine may still run
// it, so the engine is asked to end it before the pin is given up.
func (owner *Owner) settle(group *group, call core.Call, address string, action scheduler.Action, failure *upstream.CallError) {
	if failure != nil && failure.Lost && (failure.Outcome == core.NotRun || owner.upstreams.Ejected(address)) {
		owner.unreachable(group, action)
	}
	switch {
	case failure == nil || failure.Outcome == core.NotRun || group.id.Kind == core.ServiceGroup:
		if failure != nil && failure.Code == core.CodeAdapterUnavailable {
			owner.absent(group, action)
		}
		owner.ended(group, action, true)
	case failure.Crashed:
		owner.lost(group, action)
	default:
		owner.jobs.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			err := owner.upstreams.Cancel(ctx, address, call.Attempt)
			if err != nil {
				owner.logger.Warn("Attempt not confirmed as ended.", "upstream", action.Upstream, "attempt", call.Attempt, "error", err)
			}
			owner.ended(group, action, err == nil)
		})
	}
}

func (owner *Owner) ended(group *group, action scheduler.Action, confirmed bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	group.scheduler.Ended(action.Attempt, confirmed, now)
	owner.act(group, now)
}

// lost takes in that an upstream's process ended while it ran a call.
func (owner *Owner) lost(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	group.scheduler.Lose(action.Upstream, action.Incarnation, now)
	group.scheduler.Ended(action.Attempt, false, now)
	owner.act(group, now)
}

// unreachable takes in that an upstream could not be reached, or failed so often that
// it is ejected. It gets no new work before its next announcement is accepted.
func (owner *Owner) unreachable(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	group.scheduler.Lose(action.Upstream, action.Incarnation, now)
	owner.act(group, now)
}

func (owner *Owner) absent(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	group.scheduler.Absent(action.Upstream, action.Incarnation, action.Adapter, now)
	owner.act(group, now)
}

func (owner *Owner) address(group *group, id core.UpstreamID) string {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return group.addresses[id]
}
