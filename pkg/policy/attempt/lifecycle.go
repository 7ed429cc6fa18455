package attempt

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// RequestParams are the properties of a request that admission determines.
type RequestParams struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Model is set if the answer consists of tokens and can be resumed. Pin is then
	// the adapter version that must run.
	Model bool
	Pin   core.AdapterVersion
	// Buffered is set if the caller receives nothing before the answer is complete.
	Buffered bool
	// Deadline is the time by which the first byte of the answer is due.
	Deadline time.Time
}

const (
	// maxAttempts limits the attempts of one request.
	maxAttempts = 24
	// resumeWindow is the time after the break of a stream in which an attempt that
	// continues it may start. It is longer than the replacement of a lost owner takes.
	resumeWindow = 10 * time.Second
)

// Lifecycle is the state machine of one request, from admission to its answer or refusal.
// It is not safe for concurrent use.
type Lifecycle struct {
	params   RequestParams
	state    State
	current  core.AttemptID
	attempts int
	// headReceived is set once the current attempt has sent a valid head.
	headReceived bool
	// refusals is the number of consecutive attempts that were refused before they
	// ran.
	refusals int
	// tokens is the number of tokens passed on so far. For a buffered answer, tokens
	// count as passed on once they are collected.
	tokens core.Tokens
	// software is the version of the software that produced these tokens.
	software core.SoftwareVersion
	// visible is set once a part of the answer was passed on without buffering.
	visible bool
	// nextDeadline is the time by which the next attempt must start and give its
	// first byte.
	nextDeadline time.Time
	// ran and mayHaveRun state whether any attempt ran or may have run.
	// firstRunCode is the code of the first failed attempt that ran or may have run.
	ran          bool
	mayHaveRun   bool
	firstRunCode core.RefusalCode
}

// New returns the state machine of an admitted request.
func New(params RequestParams) *Lifecycle {
	return &Lifecycle{params: params, nextDeadline: params.Deadline}
}

// State returns the state of the request.
func (lifecycle *Lifecycle) State() State { return lifecycle.state }

// Attempt returns the ID of the current attempt. It is empty while the request waits
// for an attempt.
func (lifecycle *Lifecycle) Attempt() core.AttemptID { return lifecycle.current }

// Attempts returns the number of attempts sent so far.
func (lifecycle *Lifecycle) Attempts() int { return lifecycle.attempts }

// Tokens returns the number of tokens passed on so far.
func (lifecycle *Lifecycle) Tokens() core.Tokens { return lifecycle.tokens }

// Origin returns the software that the engine of the next attempt must have: an answer is
// continued only by the version that began it.
func (lifecycle *Lifecycle) Origin() origin.Requirement {
	return origin.Requirement{Continues: lifecycle.tokens > 0, Software: lifecycle.software}
}

// Remaining returns the time left until the first byte of the next attempt is due. It
// is negative after that.
func (lifecycle *Lifecycle) Remaining(now time.Time) time.Duration {
	return lifecycle.nextDeadline.Sub(now)
}

// Outcome returns whether any attempt of the request ran. An attempt in flight that
// has not produced a chunk yet may have run.
func (lifecycle *Lifecycle) Outcome() core.Outcome {
	inFlight := lifecycle.current != "" && (lifecycle.state == Sent || lifecycle.state == Resumed)
	switch {
	case lifecycle.ran || lifecycle.state == Answered || lifecycle.state == Running:
		return core.Ran
	case lifecycle.mayHaveRun || inFlight:
		return core.Unknown
	default:
		return core.NotRun
	}
}

// Enqueue makes a repeatable request wait for its first attempt. Any other request must
// claim its idempotency key first.
func (lifecycle *Lifecycle) Enqueue() {
	if lifecycle.state == Admitted && lifecycle.params.Repeatable {
		lifecycle.state = Queued
	}
}

// Claim applies the result of claiming the request's idempotency key. It returns nil
// if the call may be sent, or if the request is not in the state Admitted, and a
// refusal otherwise. It also returns a refusal for ClaimDone, which the entry VM
// replaces with the recorded answer if there is one.
func (lifecycle *Lifecycle) Claim(result ClaimResult) *core.Refusal {
	if lifecycle.state != Admitted {
		return nil
	}
	refusal := claimRefusal(result)
	if refusal == nil {
		lifecycle.state = Claimed
		return nil
	}
	lifecycle.markRefused(refusal.Outcome)
	return refusal
}

// markRefused sets the state Refused and records whether the request ran.
func (lifecycle *Lifecycle) markRefused(outcome core.Outcome) {
	lifecycle.state = Refused
	lifecycle.ran = lifecycle.ran || outcome == core.Ran
	lifecycle.mayHaveRun = lifecycle.mayHaveRun || outcome == core.Unknown
}

// claimRefusal returns the refusal for the result of a claim, and nil for ClaimGranted.
func claimRefusal(result ClaimResult) *core.Refusal {
	switch result {
	case ClaimGranted:
		return nil
	case ClaimInProgress:
		return &core.Refusal{Code: core.CodeInProgress, Outcome: core.Unknown, Message: "a call with this Idempotency-Key is in progress"}
	case ClaimDone:
		return &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Ran, Message: "the call ran; its answer was not recorded"}
	case ClaimConflict:
		return core.NewRefusal(core.CodeKeyReused, "the Idempotency-Key was used for another call")
	case ClaimUnavailable:
		return core.NewRefusal(core.CodeNoQuorum, "the Idempotency-Key could not be claimed, the call was not sent")
	default:
		return &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Unknown, Message: "it is not known whether the call with this Idempotency-Key ran"}
	}
}

// Send starts an attempt and returns the number of tokens after which it must
// continue. Chunks and ends of all earlier attempts are ignored from then on. Send
// returns false if the ID is empty or if the request is not waiting for an attempt.
func (lifecycle *Lifecycle) Send(id core.AttemptID) (core.Tokens, bool) {
	waiting := lifecycle.state == Queued || lifecycle.state == Claimed || (lifecycle.state == Resumed && lifecycle.current == "")
	if !waiting || id == "" {
		return 0, false
	}
	lifecycle.current, lifecycle.headReceived = id, false
	lifecycle.attempts++
	if lifecycle.state != Resumed {
		lifecycle.state = Sent
	}
	return lifecycle.tokens, true
}

// Accept returns what must be done with a chunk of count tokens, and records the tokens
// as passed on if the result is Pass.
func (lifecycle *Lifecycle) Accept(chunk core.Chunk, count core.Tokens) Verdict {
	if chunk.Attempt != lifecycle.current || lifecycle.current == "" || lifecycle.state.Final() {
		return Drop
	}
	if !lifecycle.headReceived && chunk.Head == nil {
		return Gap
	}
	if lifecycle.params.Model && chunk.Head != nil && chunk.Head.Ran != lifecycle.params.Pin {
		return Mismatch
	}
	if lifecycle.params.Model && chunk.Head != nil {
		if !lifecycle.Origin().Allows(chunk.Head.Software) {
			return Mismatch
		}
		lifecycle.software = chunk.Head.Software
	}
	lifecycle.headReceived = true
	if !lifecycle.params.Model {
		return lifecycle.deliver(0)
	}
	switch start := chunk.Offset - count; {
	case start == lifecycle.tokens:
		return lifecycle.deliver(count)
	case count > 0 && chunk.Offset <= lifecycle.tokens:
		return Drop
	default:
		return Gap
	}
}

// deliver records count tokens as passed on and returns Pass.
func (lifecycle *Lifecycle) deliver(count core.Tokens) Verdict {
	lifecycle.state = Running
	lifecycle.tokens += count
	lifecycle.visible = !lifecycle.params.Buffered
	lifecycle.refusals = 0
	return Pass
}

// Cancel ends the request after its caller disconnected. The returned refusal is for
// audit records only, because no caller is left to receive it.
func (lifecycle *Lifecycle) Cancel() *core.Refusal {
	outcome := lifecycle.Outcome()
	if !lifecycle.state.Final() {
		lifecycle.markRefused(outcome)
	}
	return &core.Refusal{Code: core.CodeStreamBroken, Outcome: outcome, Message: "the caller left before the answer was whole"}
}
