package attempt

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Terms are what admission decided for a request.
type Terms struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Model requests have an answer of tokens that can be resumed; Pin is then the
	// adapter version that must run.
	Model bool
	Pin   core.AdapterVersion
	// Buffered requests show nothing to the caller before the answer is whole.
	Buffered bool
	// Deadline is the time until which the first byte must be answered.
	Deadline time.Time
}

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 24
	// resumeWindow bounds the time for which a broken stream waits for an attempt
	// that goes on. It is longer than the time in which a lost owner is replaced.
	resumeWindow = 10 * time.Second
)

// Life is the life of one request, from admission to its answer or refusal. It
// must not be used concurrently.
type Life struct {
	terms    Terms
	state    State
	current  core.AttemptID
	attempts int
	// headed is set once the current attempt named what it runs.
	headed bool
	// refused counts the attempts in a row that were refused before they ran.
	refused int
	// tokens is the number of tokens passed on.
	tokens core.Tokens
	// visible is set once the caller saw a byte.
	visible bool
	// until bounds the start of the next attempt.
	until time.Time
	// ran and maybe are what is known about all attempts together. uncertain is
	// the first refusal of an attempt that ran or may have run.
	ran       bool
	maybe     bool
	uncertain core.RefusalCode
}

// New returns the life of an admitted request.
func New(terms Terms) *Life {
	return &Life{terms: terms, until: terms.Deadline}
}

// State returns the state of the request.
func (life *Life) State() State { return life.state }

// Attempt returns the current attempt; it is empty before the first.
func (life *Life) Attempt() core.AttemptID { return life.current }

// Attempts returns the number of attempts so far.
func (life *Life) Attempts() int { return life.attempts }

// Tokens returns the number of tokens that were passed on.
func (life *Life) Tokens() core.Tokens { return life.tokens }

// Remaining returns the time left for the next attempt to give its first byte.
func (life *Life) Remaining(now time.Time) time.Duration { return life.until.Sub(now) }

// Outcome returns what is known about the run of the request over all its
// attempts. An attempt that is on its way may have run.
func (life *Life) Outcome() core.Outcome {
	onItsWay := life.current != "" && (life.state == Sent || life.state == Resumed)
	switch {
	case life.ran || life.state == Answered || life.state == Running:
		return core.Ran
	case life.maybe || onItsWay:
		return core.Unknown
	default:
		return core.NotRun
	}
}

// Queue admits a repeatable request to its first attempt.
func (life *Life) Queue() {
	if life.state == Admitted && life.terms.Repeatable {
		life.state = Queued
	}
}

// Claim takes the answer to the claim of the request's idempotency key. It
// returns nil if the call may be sent. ClaimDone refuses, too: the recorded
// answer takes the place of the refusal if there is one.
func (life *Life) Claim(claim Claim) *core.Refusal {
	if life.state != Admitted {
		return nil
	}
	refusal := claimRefusal(claim)
	if refusal == nil {
		life.state = Claimed
		return nil
	}
	life.conclude(refusal.Outcome)
	return refusal
}

// conclude refuses the request and keeps what is known about its run.
func (life *Life) conclude(outcome core.Outcome) {
	life.state = Refused
	life.ran = life.ran || outcome == core.Ran
	life.maybe = life.maybe || outcome == core.Unknown
}

func claimRefusal(claim Claim) *core.Refusal {
	switch claim {
	case ClaimGranted:
		return nil
	case ClaimInProgress:
		return &core.Refusal{Code: core.CodeInProgress, Outcome: core.Unknown, Message: "a call with this Idempotency-Key is in progress"}
	case ClaimDone:
		return &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Ran, Message: "the call ran; its answer was not recorded"}
	case ClaimConflict:
		return core.Refuse(core.CodeKeyReused, "the Idempotency-Key was used for another call")
	case ClaimUnavailable:
		return core.Refuse(core.CodeNoQuorum, "the Idempotency-Key could not be claimed, the call was not sent")
	default:
		return &core.Refusal{Code: core.CodeOutcomeUnknown, Outcome: core.Unknown, Message: "it is not known whether the call with this Idempotency-Key ran"}
	}
}

// Send starts an attempt and returns the number of tokens behind which it goes
// on. Chunks and ends of every earlier attempt have no effect any more. It
// returns false if the request is not waiting for an attempt.
func (life *Life) Send(id core.AttemptID) (core.Tokens, bool) {
	waiting := life.state == Queued || life.state == Claimed || (life.state == Resumed && life.current == "")
	if !waiting || id == "" {
		return 0, false
	}
	life.current, life.headed = id, false
	life.attempts++
	if life.state != Resumed {
		life.state = Sent
	}
	return life.tokens, true
}

// Accept takes a chunk that holds count tokens, and says whether it goes to the
// caller.
func (life *Life) Accept(chunk core.Chunk, count core.Tokens) Verdict {
	if chunk.Attempt != life.current || life.current == "" || life.state.Final() {
		return Drop
	}
	if !life.headed && chunk.Head == nil {
		return Gap // the head is missing
	}
	if life.terms.Model && chunk.Head != nil && chunk.Head.Ran != life.terms.Pin {
		return Mismatch
	}
	life.headed = true
	if !life.terms.Model {
		return life.pass(0)
	}
	switch start := chunk.Offset - count; {
	case start == life.tokens:
		return life.pass(count)
	case count > 0 && chunk.Offset <= life.tokens:
		return Drop
	default:
		return Gap
	}
}

func (life *Life) pass(count core.Tokens) Verdict {
	life.state = Running
	life.tokens += count
	life.visible = !life.terms.Buffered
	life.refused = 0
	return Pass
}

// Abandon ends the request because its caller left. The refusal is for the
// records only.
func (life *Life) Abandon() *core.Refusal {
	outcome := life.Outcome()
	if !life.state.Final() {
		life.conclude(outcome)
	}
	return &core.Refusal{Code: core.CodeStreamBroken, Outcome: outcome, Message: "the caller left before the answer was whole"}
}
