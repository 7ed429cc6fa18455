package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
)

// run is one request in progress. Its life decides; run carries the decisions out.
type run struct {
	entry       *Entry
	request     Request
	admitted    admission.Admitted
	responder   Responder
	started     time.Time
	hash        string
	fingerprint core.Fingerprint
	answer      Answer
	life        *attempt.Life
	recorded    recordedAnswer
	pace        pace
	// audited is set once an attempt has an audit record.
	audited bool
	// headed is set once the caller got the head.
	headed bool
	// verdict is set if the current attempt gave a chunk that must not be passed on.
	verdict attempt.Verdict
	// left is set once the caller could not be written to.
	left bool
	// reports are the crash reports on their way to the replicated state.
	reports sync.WaitGroup
}

func (run *run) serve(ctx context.Context) core.End {
	if refusal := run.convicted(); refusal != nil {
		return core.EndRefused("", refusal)
	}
	run.life = attempt.New(run.terms())
	if run.admitted.Repeatable {
		run.life.Queue()
		return run.attempts(ctx)
	}
	return run.claimed(ctx)
}

func (run *run) terms() attempt.Terms {
	deadline := run.admitted.Deadline
	if deadline == 0 {
		deadline = run.entry.DefaultDeadline
	}
	_, buffered := run.responder.(restarter)
	return attempt.Terms{
		Repeatable: run.admitted.Repeatable,
		Model:      run.model(),
		Pin:        run.admitted.Pin.AdapterVersion,
		Buffered:   buffered,
		Deadline:   run.started.Add(deadline),
	}
}

func (run *run) model() bool {
	return run.request.Service == ""
}

// convicted returns a refusal if the request crashed too many upstreams. What its own
// attempts did is part of the refusal.
func (run *run) convicted() *core.Refusal {
	if run.entry.standing(run.fingerprint) != quarantine.Convicted {
		return nil
	}
	refusal := core.Refuse(core.CodeConvicted, "this request crashed upstreams and is refused for now")
	if run.life != nil {
		refusal.Outcome = run.life.Outcome()
	}
	return refusal
}

// attempts runs the request until it is answered or refused.
func (run *run) attempts(ctx context.Context) core.End {
	var target int
	for {
		groups := run.groups()
		end := run.attempt(ctx, groups, target)
		run.report(end)
		if run.abandoned(ctx) && !end.Whole {
			return core.EndRefused(run.life.Attempt(), run.life.Abandon())
		}
		decision := run.entry.decide(run.life, end, len(groups))
		if refusal := run.convicted(); refusal != nil && decision.Action != attempt.Finish {
			decision = attempt.Decision{Action: attempt.Refuse, Refusal: refusal}
		}
		switch decision.Action {
		case attempt.Finish:
			return end
		case attempt.Refuse:
			// The other VMs know of the crash before the caller can send again.
			run.reports.Wait()
			return core.EndRefused(run.answer.Attempt, decision.Refusal)
		case attempt.Restart:
			run.restart()
		}
		if decision.NextGroup {
			target++
		}
		if !wait(ctx, decision.After) {
			return core.EndRefused(run.answer.Attempt, run.life.Abandon())
		}
	}
}

// abandoned reports whether nobody waits for the answer any more. A call that may not
// be repeated goes on without its caller, so that its outcome can be recorded.
func (run *run) abandoned(ctx context.Context) bool {
	return ctx.Err() != nil || (run.left && run.admitted.Repeatable)
}

func (run *run) restart() {
	run.recorded.restart()
	if responder, ok := run.responder.(restarter); ok {
		responder.Restart()
	}
}

// wait returns false if the context ended first.
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

// target is one upstream group and its owner.
type target struct {
	group core.GroupID
	owner core.VMID
}

// groups returns the groups that serve the request and have an owner, the own zone's
// first.
func (run *run) groups() []target {
	kind, name := run.request.group(run.admitted.Pin)
	var targets []target
	for _, group := range run.entry.Directory.Groups(kind, name) {
		if owner, ok := run.entry.Directory.Owner(group); ok {
			targets = append(targets, target{group, owner})
		}
	}
	return targets
}

// attempt sends the request to one group and returns how it ended.
func (run *run) attempt(ctx context.Context, targets []target, number int) core.End {
	id := core.AttemptID(ulid.Make().String())
	offset, ok := run.life.Send(id)
	if !ok {
		panic(attemptNotAllowed)
	}
	run.answer.Attempt, run.verdict = id, 0
	if len(targets) == 0 {
		kind, name := run.request.group(run.admitted.Pin)
		return core.EndRefused(id, core.Refuse(core.CodeNoUpstream, "no upstream is known for "+kind.String()+" "+name))
	}
	if refusal := run.auditStart(ctx); refusal != nil {
		return core.EndRefused(id, refusal)
	}
	chosen := targets[number%len(targets)]
	end := run.entry.Dispatchers.Dispatcher(chosen.owner).Serve(ctx, run.call(chosen.group, offset), run.pass)
	if run.verdict != 0 {
		end = attempt.MismatchEnd(id, run.verdict, end.Upstream)
	}
	run.auditEnd(end)
	return end
}

// attemptNotAllowed is the panic of an attempt in a state that does not allow one.
const attemptNotAllowed = panicText("entry: attempt in a state that does not allow one")

type panicText string

func (run *run) call(group core.GroupID, offset core.Tokens) core.Call {
	return core.Call{
		Attempt:        run.answer.Attempt,
		Request:        run.answer.Request,
		Customer:       run.admitted.Plan.Customer,
		EntryVM:        run.entry.VM,
		Group:          group,
		Pin:            run.admitted.Pin,
		Priority:       run.admitted.Priority,
		Deadline:       run.life.Remaining(time.Now()),
		Fingerprint:    run.fingerprint,
		Method:         run.request.Method,
		Path:           run.request.path(),
		Headers:        run.request.Headers,
		Body:           run.request.Body,
		ResumeOffset:   offset,
		IdempotencyKey: run.request.IdempotencyKey,
		Repeatable:     run.admitted.Repeatable,
		Suspect:        run.entry.standing(run.fingerprint) != quarantine.Clear,
		Prefixes:       run.request.Prefixes,
		CrossedZone:    group.Zone != run.entry.Zone,
	}
}
