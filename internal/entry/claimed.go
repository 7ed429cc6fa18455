package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// recordTimeout bounds the write of an outcome. The write does not use the context of
// the request, so it continues after the caller left.
const recordTimeout = 10 * time.Second

// lastRecordTimeout replaces recordTimeout while the VM stops: the caller must get its response
// before the process ends. A claim without an outcome counts as unknown.
const lastRecordTimeout = 200 * time.Millisecond

// runClaimed runs a call that may not be repeated. It sends the call only after the
// idempotency key was claimed, and records the outcome.
func (active *activeRequest) runClaimed(ctx context.Context) core.End {
	if active.request.IdempotencyKey == "" {
		return core.RefusedEnd("", core.NewRefusal(core.CodeKeyRequired, "a call that may not be repeated needs an Idempotency-Key"))
	}
	claimID := core.AttemptID(ulid.Make().String())
	result, err := active.entry.Claims.Claim(ctx, active.newClaim(claimID))
	if err != nil {
		// The claim may have been committed although its answer was lost. Nothing was
		// sent, so recording that the call did not run releases the key.
		go active.recordOutcome(claimID, core.End{Outcome: core.NotRun}, recordTimeout)
		refusal := active.lifecycle.Claim(attempt.ClaimUnavailable)
		refusal.Message += ": " + err.Error()
		return core.RefusedEnd("", refusal)
	}
	refusal := active.lifecycle.Claim(claimResult(result.State))
	if refusal == nil {
		return active.runWithClaim(ctx, claimID)
	}
	if result.State == ledger.ClaimDone && result.Answer != nil && !result.Answer.Truncated {
		return active.replay(result.Answer)
	}
	return core.RefusedEnd("", refusal)
}

// runWithClaim runs the call and records its outcome. The call continues after the
// caller left, for at most the duration of the claim, until the VM stops.
func (active *activeRequest) runWithClaim(ctx context.Context, claimID core.AttemptID) core.End {
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	defer context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), ErrStopping) {
			cancel(ErrStopping)
		}
	})()
	held, release := context.WithTimeout(running, active.entry.ClaimHold)
	defer release()
	end := active.runAttempts(held)
	end.Outcome = active.lifecycle.Outcome()
	limit := recordTimeout
	if errors.Is(context.Cause(running), ErrStopping) {
		limit = lastRecordTimeout
	}
	active.recordOutcome(claimID, end, limit)
	return end
}

// newClaim returns the claim of the idempotency key for the attempt claimID.
func (active *activeRequest) newClaim(claimID core.AttemptID) ledger.Claim {
	return ledger.Claim{
		Customer:          active.admitted.Plan.Customer,
		Key:               active.request.IdempotencyKey,
		Content:           active.request.contentHash(),
		Attempt:           claimID,
		Holder:            active.entry.VM,
		HolderIncarnation: active.entry.Incarnation,
		HoldMillis:        active.entry.ClaimHold.Milliseconds(),
	}
}

// claimResult converts the state of a claim in the replicated state. A state that
// this VM does not recognise becomes ClaimUnknown.
func claimResult(state ledger.ClaimState) attempt.ClaimResult {
	switch state {
	case ledger.ClaimGranted:
		return attempt.ClaimGranted
	case ledger.ClaimInProgress:
		return attempt.ClaimInProgress
	case ledger.ClaimDone:
		return attempt.ClaimDone
	case ledger.ClaimConflict:
		return attempt.ClaimConflict
	default:
		return attempt.ClaimUnknown
	}
}

// replay passes the answer that was recorded for the key to the caller.
func (active *activeRequest) replay(recorded *ledger.Answer) core.End {
	active.answer.Replayed = true
	active.answer.Head = core.Head{Status: recorded.Status, Headers: recorded.Headers}
	err := active.responder.Head(active.answer)
	if err == nil {
		err = active.responder.Data(recorded.Body)
	}
	if err != nil {
		return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken}
	}
	return core.End{Whole: true, Outcome: core.Ran}
}

// recordOutcome records the outcome of the call, and the answer if it is complete, in
// the replicated state, within the time limit.
func (active *activeRequest) recordOutcome(claimID core.AttemptID, end core.End, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	record := ledger.Record{
		Customer: active.admitted.Plan.Customer,
		Key:      active.request.IdempotencyKey,
		Attempt:  claimID,
		Outcome:  end.Outcome,
	}
	if end.Whole {
		record.Answer = active.recorded.answer()
	}
	if err := active.entry.Claims.Record(ctx, record); err != nil {
		active.entry.Logger.Error("Failed to record the outcome of a call.", "request", active.answer.Request, "error", err)
	}
}
