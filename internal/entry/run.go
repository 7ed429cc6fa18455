package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// run is one request in progress.
type run struct {
	entry       *Entry
	request     Request
	admitted    admission.Admitted
	responder   Responder
	started     time.Time
	hash        string
	fingerprint core.Fingerprint
	answer      Answer
	// firstByte is the time until the first byte was passed on; zero before that.
	firstByte time.Duration
	recorded  recordedAnswer
}

func (run *run) serve(ctx context.Context) core.End {
	if run.entry.Suspects.Crashes(run.fingerprint) >= ledger.CrashesToConvict {
		return core.EndRefused("", core.Refuse(core.CodeConvicted, "this request crashed upstreams and is refused for now"))
	}
	run.answer.Attempt = core.AttemptID(ulid.Make().String())
	if run.admitted.Repeatable {
		return run.attempt(ctx)
	}
	if run.request.IdempotencyKey == "" {
		return core.EndRefused("", core.Refuse(core.CodeKeyRequired, "a call that may not be repeated needs an Idempotency-Key"))
	}
	result, err := run.entry.Claims.Claim(ctx, run.claim())
	if err != nil {
		run.release()
		return core.EndRefused("", core.Refuse(core.CodeNoQuorum, "the idempotency key could not be claimed: "+err.Error()))
	}
	if result.State != ledger.ClaimGranted {
		return run.replay(result)
	}
	end := run.attempt(ctx)
	run.record(end)
	return end
}

func (run *run) claim() ledger.Claim {
	return ledger.Claim{
		Customer:          run.admitted.Plan.Customer,
		Key:               run.request.IdempotencyKey,
		Content:           run.fingerprint,
		Attempt:           run.answer.Attempt,
		Holder:            run.entry.VM,
		HolderIncarnation: run.entry.Incarnation,
		HoldMillis:        run.entry.ClaimHold.Milliseconds(),
	}
}

// replay answers a call whose key was claimed before.
func (run *run) replay(result ledger.ClaimResult) core.End {
	switch result.State {
	case ledger.ClaimDone:
		return run.replayDone(result.Answer)
	case ledger.ClaimInProgress:
		return core.EndRefused("", &core.Refusal{Code: core.CodeInProgress, Outcome: core.Unknown, Message: "a call with this Idempotency-Key is in progress"})
	case ledger.ClaimConflict:
		return core.EndRefused("", core.Refuse(core.CodeKeyReused, "the Idempotency-Key was used for another call"))
	default:
		return core.EndRefused("", &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Unknown, Message: "it is not known whether the call with this Idempotency-Key ran"})
	}
}

func (run *run) replayDone(recorded *ledger.Answer) core.End {
	if recorded == nil || recorded.Truncated {
		return core.EndRefused("", &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Ran, Message: "the call ran; its answer was too large to be recorded"})
	}
	run.answer.Replayed = true
	run.answer.Head = core.Head{Status: recorded.Status, Headers: recorded.Headers}
	err := run.responder.Head(run.answer)
	if err == nil {
		err = run.responder.Data(recorded.Body)
	}
	return core.End{Attempt: run.answer.Attempt, Whole: err == nil, Outcome: core.Ran, Code: core.CodeStreamBroken}
}

// recordTimeout bounds the write of an outcome, which goes on after the caller left.
const recordTimeout = 10 * time.Second

func (run *run) record(end core.End) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	record := ledger.Record{
		Customer: run.admitted.Plan.Customer,
		Key:      run.request.IdempotencyKey,
		Attempt:  run.answer.Attempt,
		Outcome:  end.Outcome,
	}
	if end.Whole {
		record.Answer = run.recorded.answer()
	}
	if err := run.entry.Claims.Record(ctx, record); err != nil {
		run.entry.Logger.Error("Outcome not recorded.", "request", run.answer.Request, "error", err)
	}
}

// release frees a key whose claim may have been committed although its answer was
// lost. The call was not run.
func (run *run) release() {
	go run.record(core.End{Outcome: core.NotRun})
}

func (run *run) attempt(ctx context.Context) core.End {
	if err := run.entry.Recorder.Start(ctx, run.auditRecord(audit.EventStart)); err != nil {
		return core.EndRefused(run.answer.Attempt, core.Refuse(core.CodeAuditUnavailable, "the audit record could not be written: "+err.Error()))
	}
	end := run.forward(ctx)
	record := run.auditRecord(audit.EventEnd)
	record.Outcome, record.Code, record.Whole, record.Tokens = end.Outcome.String(), end.Code, end.Whole, end.Tokens
	record.Upstream = end.Upstream
	run.entry.Recorder.End(record)
	return end
}

func (run *run) auditRecord(event audit.Event) audit.Record {
	record := audit.Record{
		At:         time.Now().UnixMilli(),
		Event:      event,
		Request:    run.answer.Request,
		Attempt:    run.answer.Attempt,
		Customer:   run.admitted.Plan.Customer,
		Plan:       run.admitted.Plan.Plan,
		Config:     run.answer.Config,
		ConfigHash: run.hash,
		Adapter:    run.admitted.Pin.Adapter,
		Version:    run.admitted.Pin.Version,
		Service:    run.request.Service,
		Call:       run.request.Method + " " + run.request.Path,
		Zone:       run.entry.Zone,
		Isolated:   run.answer.ConfigAge > 0,
	}
	if event == audit.EventEnd {
		record.FirstByteMicros = run.firstByte.Microseconds()
		record.StallMicros = run.answer.Head.Stalled.Microseconds()
		record.TotalMicros = time.Since(run.started).Microseconds()
	}
	return record
}

// forward tries the groups that serve the request, the own zone's first, until one
// runs it.
func (run *run) forward(ctx context.Context) core.End {
	kind, name := run.request.group(run.admitted.Pin)
	end := core.EndRefused(run.answer.Attempt, core.Refuse(core.CodeNoUpstream, "no upstream is known for "+kind.String()+" "+name))
	for _, group := range run.entry.Directory.Groups(kind, name) {
		owner, ok := run.entry.Directory.Owner(group)
		if !ok {
			continue
		}
		end = run.entry.Dispatchers.Dispatcher(owner).Serve(ctx, run.call(group), run.pass)
		if end.Whole || end.Outcome != core.NotRun {
			return end
		}
	}
	return end
}

func (run *run) call(group core.GroupID) core.Call {
	deadline := run.admitted.Deadline
	if deadline == 0 {
		deadline = run.entry.DefaultDeadline
	}
	return core.Call{
		Attempt:        run.answer.Attempt,
		Request:        run.answer.Request,
		Customer:       run.admitted.Plan.Customer,
		EntryVM:        run.entry.VM,
		Group:          group,
		Pin:            run.admitted.Pin,
		Priority:       run.admitted.Priority,
		Deadline:       deadline - time.Since(run.started),
		Fingerprint:    run.fingerprint,
		Method:         run.request.Method,
		Path:           run.request.path(),
		Headers:        run.request.Headers,
		Body:           run.request.Body,
		IdempotencyKey: run.request.IdempotencyKey,
		Repeatable:     run.admitted.Repeatable,
		Suspect:        run.entry.Suspects.Crashes(run.fingerprint) > 0,
		Prefixes:       run.request.Prefixes,
		CrossedZone:    group.Zone != run.entry.Zone,
	}
}

// pass hands a chunk to the caller, after it has compared what ran with the pin.
func (run *run) pass(chunk core.Chunk) error {
	if chunk.Attempt != run.answer.Attempt {
		return nil
	}
	if chunk.Head != nil {
		if run.request.Service == "" && chunk.Head.Ran != run.admitted.Pin.AdapterVersion {
			return errMismatch
		}
		run.answer.Head = *chunk.Head
		run.firstByte = time.Since(run.started)
		run.recorded.head(*chunk.Head)
		if err := run.responder.Head(run.answer); err != nil {
			return errors.Wrap(err, "pass head on")
		}
	}
	run.recorded.data(chunk.Data)
	if err := run.responder.Data(chunk.Data); err != nil {
		return errors.Wrap(err, "pass data on")
	}
	return nil
}
