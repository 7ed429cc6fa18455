package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// cancelTimeout bounds the wait for an engine to confirm that an attempt has ended.
const cancelTimeout = 2 * time.Second

// Refusals of calls that end without a Refuse action of the scheduler.
var (
	errWithdrawn        = core.NewRefusal(core.CodeNoUpstream, "the attempt was withdrawn by its entry VM")
	errCallerLeft       = core.NewRefusal(core.CodeCallerLeft, "the caller left before the call could be sent")
	errDuplicateAttempt = &core.Refusal{Code: core.CodeInProgress, Outcome: core.Unknown, Message: "the attempt is already at this owner"}
)

// Serve runs one call and passes the chunks of its answer to send. It returns how the
// call ended. The code of the end is not_owner if this VM does not hold the lease of
// the group, and in_progress if the attempt is already known.
func (owner *Owner) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	token, refusal := owner.checkLease(call.Group)
	if refusal != nil {
		return core.RefusedEnd(call.Attempt, refusal)
	}
	group, pending := owner.enqueue(call, token)
	if pending == nil {
		return core.RefusedEnd(call.Attempt, errDuplicateAttempt)
	}
	action, refusal := owner.awaitStart(ctx, group, pending)
	if refusal != nil {
		return core.RefusedEnd(call.Attempt, refusal)
	}
	return owner.run(ctx, group, call, action, send)
}

// enqueue adds a call to the scheduler of its group. The returned call is nil if the
// attempt is already waiting or was sent.
func (owner *Owner) enqueue(call core.Call, token core.FencingToken) (*group, *pendingCall) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.groupFor(call.Group, token)
	if _, isPending := group.pending[call.Attempt]; isPending || owner.attempts.sent(call.Attempt) {
		return group, nil
	}
	pending := &pendingCall{call: call, actions: make(chan scheduler.Action, 1)}
	group.pending[call.Attempt] = pending
	now := clock.Time()
	group.scheduler.Enqueue(scheduler.Call{
		Attempt: call.Attempt, Customer: call.Customer, Adapter: call.Pin.AdapterVersion, Priority: call.Priority,
		Deadline: now.Add(call.Deadline), Suspect: call.Suspect, Prefixes: call.Prefixes,
		Origin: origin.Requirement{Continues: call.ResumeOffset > 0, Software: call.Software},
	}, now)
	owner.applyActions(group, now)
	return group, pending
}

// awaitStart waits until the call may be sent and returns its Send action, or a
// refusal if the call must not be sent.
func (owner *Owner) awaitStart(ctx context.Context, group *group, pending *pendingCall) (scheduler.Action, *core.Refusal) {
	for {
		select {
		case action := <-pending.actions:
			if action.Kind == scheduler.Refuse {
				owner.removePending(group, pending)
				return action, action.Refusal
			}
			if started, refusal := owner.tryStart(group, pending, action); started || refusal != nil {
				return action, refusal
			}
		case <-ctx.Done():
			owner.cancelPending(group, pending)
			return scheduler.Action{}, errCallerLeft
		}
	}
}

// removePending removes a refused call from the pending calls.
func (owner *Owner) removePending(group *group, pending *pendingCall) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	delete(group.pending, pending.call.Attempt)
}

// cancelPending removes a call that was not started. Only the goroutine of the call
// starts it, so it cannot start at the same time.
func (owner *Owner) cancelPending(group *group, pending *pendingCall) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	group.scheduler.Cancel(pending.call.Attempt, now)
	delete(group.pending, pending.call.Attempt)
	owner.applyActions(group, now)
}

// tryStart checks, immediately before the send, the lease, the upstream, the deadline
// and that the entry VM did not withdraw the attempt. It returns false without a
// refusal if the call must keep waiting.
func (owner *Owner) tryStart(group *group, pending *pendingCall, action scheduler.Action) (bool, *core.Refusal) {
	_, refusal := owner.checkLease(group.id)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	attempt := pending.call.Attempt
	if refusal == nil && !group.scheduler.Start(attempt, action.Upstream, action.Incarnation, now) {
		owner.applyActions(group, now)
		return false, nil
	}
	delete(group.pending, attempt)
	if refusal == nil && owner.attempts.markSent(attempt, now) {
		return true, nil
	}
	if refusal != nil {
		group.scheduler.Cancel(attempt, now)
	} else {
		refusal = errWithdrawn
		group.scheduler.Ended(attempt, true, now)
	}
	owner.applyActions(group, now)
	return false, refusal
}

// run sends a started call and reports its end to the scheduler.
func (owner *Owner) run(ctx context.Context, group *group, call core.Call, action scheduler.Action, send func(core.Chunk) error) core.End {
	end := core.End{Attempt: call.Attempt, Whole: true, Outcome: core.Ran, Upstream: action.Upstream, Incarnation: action.Incarnation}
	// The token may belong to a later ownership than at the time of tryStart. It can
	// only be larger then.
	token, refusal := owner.checkLease(call.Group)
	if refusal != nil {
		owner.reportEnded(group, action, true)
		return core.RefusedEnd(call.Attempt, refusal)
	}
	address := owner.address(group, action.Upstream)
	err := owner.forward(ctx, address, call, token, action, &end, send)
	failure := applyError(err, &end)
	owner.finishCall(group, call, address, action, failure)
	return end
}

// forward sends the call to the upstream, stores the number of tokens in end, and
// adds the queueing and load times of the call to the head of the answer.
func (owner *Owner) forward(ctx context.Context, address string, call core.Call, token core.FencingToken, action scheduler.Action, end *core.End, send func(core.Chunk) error) error {
	sendWithTimes := func(chunk core.Chunk) error {
		if chunk.Head != nil {
			chunk.Head.Queued, chunk.Head.Stalled = action.Queued, action.Stalled
		}
		return send(chunk)
	}
	if call.Group.Kind == core.ServiceGroup {
		return owner.upstreams.Call(ctx, address, action.Upstream, call, sendWithTimes)
	}
	tokens, err := owner.upstreams.Run(ctx, address, call, token, sendWithTimes)
	end.Tokens = tokens
	return err
}

// applyError stores an error in the end of an attempt and returns it as a CallError.
// It returns nil if err is nil.
func applyError(err error, end *core.End) *upstream.CallError {
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

// finishCall reports the end of a call to the scheduler. If the stream broke, the
// engine may still run the call, so the engine is asked to cancel the attempt before
// the pin of the adapter is released.
func (owner *Owner) finishCall(group *group, call core.Call, address string, action scheduler.Action, failure *upstream.CallError) {
	if failure != nil && failure.Lost && (failure.Outcome == core.NotRun || owner.upstreams.Ejected(address)) {
		owner.reportUnreachable(group, action)
	}
	switch {
	case failure == nil || failure.Outcome == core.NotRun || group.id.Kind == core.ServiceGroup:
		if failure != nil && failure.Code == core.CodeAdapterUnavailable {
			owner.reportAdapterMissing(group, action)
		}
		owner.reportEnded(group, action, true)
	case failure.Crashed:
		owner.reportCrash(group, action)
	default:
		owner.jobs.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			err := owner.upstreams.Cancel(ctx, address, call.Attempt)
			if err != nil {
				owner.logger.Warn("Engine did not confirm the end of an attempt.", "upstream", action.Upstream, "attempt", call.Attempt, "error", err)
			}
			owner.reportEnded(group, action, err == nil)
		})
	}
}

// reportEnded reports the end of a call to the scheduler. confirmed is false if the
// engine may still run the call.
func (owner *Owner) reportEnded(group *group, action scheduler.Action, confirmed bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	group.scheduler.Ended(action.Attempt, confirmed, now)
	owner.applyActions(group, now)
}

// reportCrash reports that the process of an upstream ended while it ran a call.
func (owner *Owner) reportCrash(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	group.scheduler.UpstreamLost(action.Upstream, action.Incarnation, now)
	group.scheduler.Ended(action.Attempt, false, now)
	owner.applyActions(group, now)
}

// reportUnreachable reports an upstream that could not be reached or is ejected after
// repeated failures. It gets no new calls or loads until its next announcement is
// accepted.
func (owner *Owner) reportUnreachable(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	group.scheduler.UpstreamLost(action.Upstream, action.Incarnation, now)
	owner.applyActions(group, now)
}

// reportAdapterMissing reports that an engine refused a call because the adapter is
// not loaded.
func (owner *Owner) reportAdapterMissing(group *group, action scheduler.Action) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := clock.Time()
	group.scheduler.AdapterMissing(action.Upstream, action.Incarnation, action.Adapter, now)
	owner.applyActions(group, now)
}

// address returns the address of an upstream in a group.
func (owner *Owner) address(group *group, id core.UpstreamID) string {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return group.addresses[id]
}
