package attempt

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Decision is what the request does after an attempt.
type Decision struct {
	Action Action
	// After is the wait before the next attempt.
	After time.Duration
	// NextGroup is set if the next attempt should go to another upstream group.
	NextGroup bool
	// Refusal is set for Refuse.
	Refusal *core.Refusal
}

// Situation is what a decision depends on besides the end itself.
type Situation struct {
	Now time.Time
	// Groups is the number of upstream groups that could run the request.
	Groups int
	// Jitter is a random number in [0, 1).
	Jitter float64
	// Budget bounds the retries.
	Budget *Budget
}

// End takes the end of an attempt. An end that is called whole but misses tokens
// counts as a broken stream.
func (life *Life) End(end core.End, situation Situation) Decision {
	if end.Attempt != life.current || life.current == "" || life.state.Final() {
		return Decision{Action: Ignore}
	}
	if end.Whole && (!life.terms.Model || end.Tokens == life.tokens) {
		life.state, life.ran = Answered, true
		return Decision{Action: Finish}
	}
	if end.Whole {
		end.Whole, end.Outcome, end.Code = false, core.Ran, core.CodeStreamBroken
		end.Message = "the answer ended before its last token"
	}
	life.learn(&end)
	if !life.mayRepeat(end) || !life.inTime(situation) || life.exhausted(end, situation) {
		return life.refuse(end)
	}
	return life.again(end, situation)
}

// AttemptOutcome returns what is known about the run of the current attempt, given
// its end. A running attempt has run, whatever its end says, and an end without a
// valid outcome proves nothing.
func (life *Life) AttemptOutcome(end core.End) core.Outcome {
	switch {
	case life.state == Running || end.Whole || end.Outcome == core.Ran:
		return core.Ran
	case end.Outcome == core.NotRun:
		return core.NotRun
	default:
		return core.Unknown
	}
}

// learn keeps what the end proves about the run.
func (life *Life) learn(end *core.End) {
	end.Outcome = life.AttemptOutcome(*end)
	switch end.Outcome {
	case core.NotRun:
		life.refused++
		return
	case core.Ran:
		life.ran = true
	default:
		life.maybe = true
	}
	life.refused = 0
	if life.uncertain == "" {
		life.uncertain = end.Code
	}
}

// finalCodes lists the refusals that no other attempt can avoid.
var finalCodes = map[core.RefusalCode]bool{
	core.CodeBadRequest:       true,
	core.CodeBodyTooLarge:     true,
	core.CodeUnauthorized:     true,
	core.CodeConvicted:        true,
	core.CodeDeadline:         true,
	core.CodeAuditUnavailable: true,
}

// mayRepeat decides by the rules of repetition alone: what did not run may be
// sent again, what ran or may have run only if it is repeatable and the caller
// either saw nothing of it or the answer can be resumed.
func (life *Life) mayRepeat(end core.End) bool {
	if finalCodes[end.Code] {
		return false
	}
	if end.Outcome != core.NotRun && !life.terms.Repeatable {
		return false
	}
	return !life.visible || life.terms.Model
}

func (life *Life) inTime(situation Situation) bool {
	if life.tokens > 0 && life.state == Running {
		life.until = situation.Now.Add(resumeWindow)
	}
	return life.attempts < maxAttempts && situation.Now.Before(life.until)
}

// exhausted stops a request that every group refused for overload, since more
// attempts would add to it, and a retry without budget.
func (life *Life) exhausted(end core.End, situation Situation) bool {
	if end.Code == core.CodeOverloaded && life.refused >= situation.Groups {
		return true
	}
	// A resumed stream costs its engine no more than the broken one, and a refused
	// attempt cost none. Only runs from the start use the budget.
	return end.Outcome != core.NotRun && life.tokens == 0 && !situation.Budget.Take()
}

func (life *Life) again(end core.End, situation Situation) Decision {
	decision := Decision{Action: Retry, NextGroup: end.Outcome == core.NotRun || end.Upstream == ""}
	life.current = ""
	switch {
	case life.tokens == 0:
		life.state = Queued
		if !life.terms.Repeatable {
			life.state = Claimed
		}
	case life.terms.Buffered && end.Outcome == core.NotRun && life.refused >= max(1, situation.Groups):
		// No group goes on with the answer, and the caller saw none of it.
		decision.Action = Restart
		life.state, life.tokens, life.refused = Queued, 0, 0
	default:
		decision.Action = Resume
		life.state = Resumed
	}
	// The first attempt at another group needs no wait: the refusing group is not
	// asked again before every other one was.
	if life.refused == 0 || life.refused >= situation.Groups {
		number := 1 + life.refused/max(1, situation.Groups)
		decision.After = min(backoff(number, situation.Jitter), max(0, life.Remaining(situation.Now)))
	}
	return decision
}

// refuse ends the request. The code of an attempt that ran or may have run stands
// before that of a later one that did not.
func (life *Life) refuse(end core.End) Decision {
	life.state = Refused
	refusal := &core.Refusal{Code: end.Code, Outcome: life.Outcome(), Message: end.Message}
	if refusal.Outcome != core.NotRun && end.Outcome == core.NotRun {
		refusal.Code = life.uncertain
	}
	if life.visible {
		refusal.Code = core.CodeStreamBroken
	}
	if refusal.Code == "" {
		refusal.Code = core.CodeUpstreamFailed
	}
	return Decision{Action: Refuse, Refusal: refusal}
}

// MismatchEnd returns the end of an attempt whose chunk was judged Mismatch or
// Gap. The attempt ran, and nothing of that chunk was passed on.
func MismatchEnd(id core.AttemptID, verdict Verdict, upstream core.UpstreamID) core.End {
	message := "tokens of the answer are missing"
	if verdict == Mismatch {
		message = "the upstream ran another adapter version"
	}
	return core.End{Attempt: id, Outcome: core.Ran, Code: core.CodeUpstreamFailed, Message: message, Upstream: upstream}
}
