package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
)

// activeRequest is a request in progress. The lifecycle makes the decisions, and
// activeRequest carries them out.
type activeRequest struct {
	entry     *Entry
	request   Request
	admitted  admission.Admitted
	responder Responder
	started   time.Time
	// configHash is the hash of the configuration that admitted the request.
	configHash  string
	fingerprint core.Fingerprint
	answer      Answer
	lifecycle   *attempt.Lifecycle
	recorded    recordedAnswer
	timing      answerTiming
	// audited is set before the first audit record of an attempt is written. If it is
	// not set, Serve records a refusal itself.
	audited bool
	// headSent is set once the head was passed to the responder.
	headSent bool
	// verdict is set if a chunk of the current attempt was rejected.
	verdict attempt.Verdict
	// callerLeft is set once writing to the caller failed.
	callerLeft bool
	// crashReports waits for the crash reports that are being sent to the replicated
	// state.
	crashReports sync.WaitGroup
}

// serve runs an admitted request to its end. A call that may not be repeated needs a
// claim of its idempotency key first.
func (active *activeRequest) serve(ctx context.Context) core.End {
	if refusal := active.checkQuarantine(); refusal != nil {
		return core.RefusedEnd("", refusal)
	}
	active.lifecycle = attempt.New(active.params())
	if active.admitted.Repeatable {
		active.lifecycle.Enqueue()
		return active.runAttempts(ctx)
	}
	return active.runClaimed(ctx)
}

// params returns the parameters of the lifecycle.
func (active *activeRequest) params() attempt.RequestParams {
	deadline := active.admitted.Deadline
	if deadline == 0 {
		deadline = active.entry.DefaultDeadline
	}
	_, buffered := active.responder.(restarter)
	return attempt.RequestParams{
		Repeatable: active.admitted.Repeatable,
		Model:      active.isModel(),
		Pin:        active.admitted.Pin.AdapterVersion,
		Buffered:   buffered,
		Deadline:   active.started.Add(deadline),
	}
}

// isModel reports whether the request is for a model and not for a plain service.
func (active *activeRequest) isModel() bool {
	return active.request.Service == ""
}

// checkQuarantine returns a refusal if the request is convicted because it crashed
// too many upstreams. The outcome of the refusal covers the attempts already made.
func (active *activeRequest) checkQuarantine() *core.Refusal {
	if active.entry.status(active.fingerprint) != quarantine.Convicted {
		return nil
	}
	refusal := core.NewRefusal(core.CodeConvicted, "this request crashed upstreams and is refused for now")
	if active.lifecycle != nil {
		refusal.Outcome = active.lifecycle.Outcome()
	}
	return refusal
}

// runAttempts repeats the request until it is answered, refused or canceled.
func (active *activeRequest) runAttempts(ctx context.Context) core.End {
	var targetIndex int
	for {
		targets := active.targets()
		end := active.runAttempt(ctx, targets, targetIndex)
		active.reportCrash(end)
		if active.isCanceled(ctx) && !end.Whole {
			return core.RefusedEnd(active.lifecycle.Attempt(), active.cancel(ctx))
		}
		decision := active.entry.decide(active.lifecycle, end, len(targets))
		if refusal := active.checkQuarantine(); refusal != nil && decision.Action != attempt.Finish {
			decision = attempt.Decision{Action: attempt.Refuse, Refusal: refusal}
		}
		switch decision.Action {
		case attempt.Finish:
			return end
		case attempt.Refuse:
			// Wait for the crash reports, so that the other VMs know of a crash
			// before the caller can send the request again.
			active.crashReports.Wait()
			return core.RefusedEnd(active.answer.Attempt, decision.Refusal)
		case attempt.Restart:
			active.restart()
		}
		if decision.NextGroup {
			targetIndex++
		}
		if !wait(ctx, decision.After) {
			return core.RefusedEnd(active.answer.Attempt, active.cancel(ctx))
		}
	}
}

// ErrStopping is the cause of the end of a request's context if the VM stops and there is only
// time left to tell the caller.
var ErrStopping = errors.New("this VM stops")

// cancel ends the request after its context has ended. The caller gets the refusal if it has not
// left: the request may be sent again at once if it has not run.
func (active *activeRequest) cancel(ctx context.Context) *core.Refusal {
	refusal := active.lifecycle.Cancel()
	if errors.Is(context.Cause(ctx), ErrStopping) {
		refusal.Message = ErrStopping.Error()
		if refusal.Outcome == core.NotRun {
			refusal.Code = core.CodeDraining
		}
	}
	return refusal
}

// isCanceled reports whether the request must stop: its context ended, or it may be
// repeated and writing to the caller failed. A call that may not be repeated
// continues without its caller, so that its outcome can be recorded.
func (active *activeRequest) isCanceled(ctx context.Context) bool {
	return ctx.Err() != nil || (active.callerLeft && active.admitted.Repeatable)
}

// restart discards the answer received so far.
func (active *activeRequest) restart() {
	active.recorded.reset()
	if responder, ok := active.responder.(restarter); ok {
		responder.Restart()
	}
}

// wait waits for the duration. It returns false if the context ended first.
func wait(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// target is an upstream group and the VM that owns it.
type target struct {
	group core.GroupID
	owner core.VMID
}

// targets returns the groups that can serve the request and have an owner, those of
// the own zone first.
func (active *activeRequest) targets() []target {
	kind, name := active.request.group(active.admitted.Pin)
	var targets []target
	for _, group := range active.entry.Directory.Groups(kind, name) {
		if owner, ok := active.entry.Directory.Owner(group); ok {
			targets = append(targets, target{group, owner})
		}
	}
	return targets
}

// runAttempt sends the request to the target at index, modulo the number of targets,
// and returns how the attempt ended.
func (active *activeRequest) runAttempt(ctx context.Context, targets []target, index int) core.End {
	id := core.AttemptID(ulid.Make().String())
	offset, ok := active.lifecycle.Send(id)
	if !ok {
		panic(attemptNotAllowed)
	}
	active.answer.Attempt, active.verdict = id, 0
	if len(targets) == 0 {
		kind, name := active.request.group(active.admitted.Pin)
		return core.RefusedEnd(id, core.NewRefusal(core.CodeNoUpstream, "no upstream is known for "+kind.String()+" "+name))
	}
	if refusal := active.auditStart(ctx); refusal != nil {
		return core.RefusedEnd(id, refusal)
	}
	chosen := targets[index%len(targets)]
	end := active.entry.Dispatchers.Dispatcher(chosen.owner).Serve(ctx, active.newCall(chosen.group, offset), active.forward)
	if active.verdict != 0 {
		end = attempt.RejectedChunkEnd(id, active.verdict, end.Upstream)
	}
	active.auditEnd(end)
	return end
}

// attemptNotAllowed is the panic value if the lifecycle does not allow an attempt.
const attemptNotAllowed = panicText("entry: attempt in a state that does not allow one")

// panicText is the type of panic values of this package.
type panicText string

// newCall returns the call of the current attempt to a group. offset is the number of
// tokens after which the answer continues.
func (active *activeRequest) newCall(group core.GroupID, offset core.Tokens) core.Call {
	return core.Call{
		Attempt:        active.answer.Attempt,
		Request:        active.answer.Request,
		Customer:       active.admitted.Plan.Customer,
		EntryVM:        active.entry.VM,
		Group:          group,
		Pin:            active.admitted.Pin,
		Priority:       active.admitted.Priority,
		Deadline:       active.lifecycle.Remaining(time.Now()),
		Fingerprint:    active.fingerprint,
		Method:         active.request.Method,
		Path:           active.request.path(),
		Headers:        active.request.Headers,
		Body:           active.request.Body,
		ResumeOffset:   offset,
		Software:       active.lifecycle.Origin().Software,
		IdempotencyKey: active.request.IdempotencyKey,
		Repeatable:     active.admitted.Repeatable,
		Suspect:        active.entry.status(active.fingerprint) != quarantine.Clear,
		Prefixes:       active.request.Prefixes,
		CrossedZone:    group.Zone != active.entry.Zone,
	}
}
