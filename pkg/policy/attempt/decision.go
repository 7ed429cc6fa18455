package attempt

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Decision is what happens to a request after the end of an attempt.
type Decision struct {
	Action Action
	// After is the delay before the next attempt.
	After time.Duration
	// NextGroup is set if the next attempt should be sent to another upstream group.
	NextGroup bool
	// Refusal is non-nil if Action is Refuse.
	Refusal *core.Refusal
}

// DecisionInput holds the inputs of a decision besides the End of the attempt.
type DecisionInput struct {
	Now time.Time
	// Groups is the number of upstream groups that could run the request.
	Groups int
	// Jitter is a random number in [0, 1).
	Jitter float64
	// Budget limits the retries.
	Budget *Budget
}

// End applies the end of an attempt and returns what happens next. An end that claims a
// whole answer but has another number of tokens than were passed on is treated as a
// broken stream.
func (lifecycle *Lifecycle) End(end core.End, input DecisionInput) Decision {
	if end.Attempt != lifecycle.current || lifecycle.current == "" || lifecycle.state.Final() {
		return Decision{Action: Ignore}
	}
	if end.Whole && (!lifecycle.params.Model || end.Tokens == lifecycle.tokens) {
		lifecycle.state, lifecycle.ran = Answered, true
		return Decision{Action: Finish}
	}
	if end.Whole {
		end.Whole, end.Outcome, end.Code = false, core.Ran, core.CodeStreamBroken
		end.Message = "the answer ended before its last token"
	}
	lifecycle.recordOutcome(&end)
	if !lifecycle.mayRepeat(end) || !lifecycle.withinLimits(input) || lifecycle.retriesExhausted(end, input) {
		return lifecycle.refuse(end)
	}
	return lifecycle.nextAttempt(end, input)
}

// AttemptOutcome returns whether the current attempt ran, given its end. An attempt in
// the state Running ran regardless of its end. The result is Unknown if the end has no
// valid outcome.
func (lifecycle *Lifecycle) AttemptOutcome(end core.End) core.Outcome {
	switch {
	case lifecycle.state == Running || end.Whole || end.Outcome == core.Ran:
		return core.Ran
	case end.Outcome == core.NotRun:
		return core.NotRun
	default:
		return core.Unknown
	}
}

// recordOutcome sets the outcome of the end to AttemptOutcome and records it for the
// whole request.
func (lifecycle *Lifecycle) recordOutcome(end *core.End) {
	end.Outcome = lifecycle.AttemptOutcome(*end)
	switch end.Outcome {
	case core.NotRun:
		lifecycle.refusals++
		return
	case core.Ran:
		lifecycle.ran = true
	default:
		lifecycle.mayHaveRun = true
	}
	lifecycle.refusals = 0
	if lifecycle.firstRunCode == "" {
		lifecycle.firstRunCode = end.Code
	}
}

// nonRetryableCodes are the refusals that another attempt would receive again.
var nonRetryableCodes = map[core.RefusalCode]bool{
	core.CodeBadRequest:       true,
	core.CodeBodyTooLarge:     true,
	core.CodeUnauthorized:     true,
	core.CodeConvicted:        true,
	core.CodeDeadlineExceeded: true,
	core.CodeCallerLeft:       true,
	core.CodeAuditUnavailable: true,
}

// mayRepeat reports whether the request may be sent again, regardless of time limits and
// the retry budget. An attempt that did not run may be repeated. One that ran or may
// have run may be repeated only if the request is repeatable. In both cases, if the
// caller has received a part of the answer, it must be resumable: it consists of tokens, and
// the software version that began it is known.
func (lifecycle *Lifecycle) mayRepeat(end core.End) bool {
	if nonRetryableCodes[end.Code] {
		return false
	}
	if end.Outcome != core.NotRun && !lifecycle.params.Repeatable {
		return false
	}
	return !lifecycle.visible || lifecycle.params.Model && lifecycle.Origin().Possible()
}

// withinLimits reports whether another attempt may start according to the number of
// attempts and the deadline. If the current attempt broke after it produced tokens, the
// new deadline is resumeWindow from now.
func (lifecycle *Lifecycle) withinLimits(input DecisionInput) bool {
	if lifecycle.tokens > 0 && lifecycle.state == Running {
		lifecycle.nextDeadline = input.Now.Add(resumeWindow)
	}
	return lifecycle.attempts < maxAttempts && input.Now.Before(lifecycle.nextDeadline)
}

// retriesExhausted reports whether the request must not be sent again for one of two
// reasons: the last refusal was for overload and there were at least as many consecutive
// refusals as there are groups, so that more attempts would add to the overload; or the
// retry budget is used up. It takes a retry from the budget if one is needed.
func (lifecycle *Lifecycle) retriesExhausted(end core.End, input DecisionInput) bool {
	if end.Code == core.CodeOverloaded && lifecycle.refusals >= input.Groups {
		return true
	}
	// Only retries from the beginning use the budget: resuming a stream causes no more
	// work than the broken attempt would have, and a refused attempt caused none.
	return end.Outcome != core.NotRun && lifecycle.tokens == 0 && !input.Budget.Take()
}

// nextAttempt makes the request wait for another attempt and returns the decision for
// it.
func (lifecycle *Lifecycle) nextAttempt(end core.End, input DecisionInput) Decision {
	decision := Decision{Action: Retry, NextGroup: end.Outcome == core.NotRun || end.Upstream == ""}
	lifecycle.current = ""
	switch {
	case lifecycle.tokens == 0:
		lifecycle.state = Queued
		if !lifecycle.params.Repeatable {
			lifecycle.state = Claimed
		}
	case lifecycle.params.Buffered && (!lifecycle.Origin().Possible() || end.Outcome == core.NotRun && lifecycle.refusals >= max(1, input.Groups)):
		// No group resumes the answer, or none can, and the caller has received none of it.
		decision.Action = Restart
		lifecycle.state, lifecycle.tokens, lifecycle.refusals = Queued, 0, 0
	default:
		decision.Action = Resume
		lifecycle.state = Resumed
	}
	// The first attempt at another group needs no delay, because a group that refused
	// the request is not tried again before every other group was tried.
	if lifecycle.refusals == 0 || lifecycle.refusals >= input.Groups {
		retry := 1 + lifecycle.refusals/max(1, input.Groups)
		decision.After = min(backoff(retry, input.Jitter), max(0, lifecycle.Remaining(input.Now)))
	}
	return decision
}

// refuse ends the request with a refusal. The code of an attempt that ran or may have
// run takes precedence over the code of a later attempt that did not run. Once the
// caller has received a part of the answer, the code is CodeStreamBroken.
func (lifecycle *Lifecycle) refuse(end core.End) Decision {
	lifecycle.state = Refused
	refusal := &core.Refusal{Code: end.Code, Outcome: lifecycle.Outcome(), Message: end.Message}
	if refusal.Outcome != core.NotRun && end.Outcome == core.NotRun {
		refusal.Code = lifecycle.firstRunCode
	}
	if lifecycle.visible {
		refusal.Code = core.CodeStreamBroken
	}
	if refusal.Code == "" {
		refusal.Code = core.CodeUpstreamFailed
	}
	return Decision{Action: Refuse, Refusal: refusal}
}

// RejectedChunkEnd returns the end of an attempt for which Accept returned Mismatch or Gap.
// Its outcome is Ran, and its code is CodeUpstreamFailed.
func RejectedChunkEnd(id core.AttemptID, verdict Verdict, upstream core.UpstreamID) core.End {
	message := "tokens of the answer are missing"
	if verdict == Mismatch {
		message = "the upstream ran another adapter version, or has other software than the one that began the answer"
	}
	return core.End{Attempt: id, Outcome: core.Ran, Code: core.CodeUpstreamFailed, Message: message, Upstream: upstream}
}
