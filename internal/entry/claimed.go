package entry

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// recordTimeout bounds the write of an outcome, which goes on after the caller left.
const recordTimeout = 10 * time.Second

// claimed runs a call that may not be repeated: it is sent only after its idempotency
// key was claimed, and its outcome is recorded.
func (run *run) claimed(ctx context.Context) core.End {
	if run.request.IdempotencyKey == "" {
		return core.EndRefused("", core.Refuse(core.CodeKeyRequired, "a call that may not be repeated needs an Idempotency-Key"))
	}
	holder := core.AttemptID(ulid.Make().String())
	result, err := run.entry.Claims.Claim(ctx, run.claim(holder))
	if err != nil {
		// The claim may have been committed although its answer was lost. Nothing
		// was sent, so the key is freed.
		go run.record(holder, core.End{Outcome: core.NotRun})
		refusal := run.life.Claim(attempt.ClaimUnavailable)
		refusal.Message += ": " + err.Error()
		return core.EndRefused("", refusal)
	}
	refusal := run.life.Claim(claimOf(result.State))
	if refusal == nil {
		return run.holding(ctx, holder)
	}
	if result.State == ledger.ClaimDone && result.Answer != nil && !result.Answer.Truncated {
		return run.replay(result.Answer)
	}
	return core.EndRefused("", refusal)
}

// holding runs the call under its claim. It goes on after the caller left, for no
// longer than the claim holds.
func (run *run) holding(ctx context.Context, holder core.AttemptID) core.End {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), run.entry.ClaimHold)
	defer cancel()
	end := run.attempts(ctx)
	end.Outcome = run.life.Outcome()
	run.record(holder, end)
	return end
}

func (run *run) claim(holder core.AttemptID) ledger.Claim {
	return ledger.Claim{
		Customer:          run.admitted.Plan.Customer,
		Key:               run.request.IdempotencyKey,
		Content:           run.request.content(),
		Attempt:           holder,
		Holder:            run.entry.VM,
		HolderIncarnation: run.entry.Incarnation,
		HoldMillis:        run.entry.ClaimHold.Milliseconds(),
	}
}

// claimOf converts the answer of the replicated state. An answer that this VM does not
// know counts as unknown.
func claimOf(state ledger.ClaimState) attempt.Claim {
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

// replay answers with what was recorded for the key.
func (run *run) replay(recorded *ledger.Answer) core.End {
	run.answer.Replayed = true
	run.answer.Head = core.Head{Status: recorded.Status, Headers: recorded.Headers}
	err := run.responder.Head(run.answer)
	if err == nil {
		err = run.responder.Data(recorded.Body)
	}
	return core.End{Whole: err == nil, Outcome: core.Ran, Code: core.CodeStreamBroken}
}

func (run *run) record(holder core.AttemptID, end core.End) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	record := ledger.Record{
		Customer: run.admitted.Plan.Customer,
		Key:      run.request.IdempotencyKey,
		Attempt:  holder,
		Outcome:  end.Outcome,
	}
	if end.Whole {
		record.Answer = run.recorded.answer()
	}
	if err := run.entry.Claims.Record(ctx, record); err != nil {
		run.entry.Logger.Error("Outcome not recorded.", "request", run.answer.Request, "error", err)
	}
}
