package burn

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Objective identifies a service-level objective.
type Objective string

// The objectives that are computed for every plan.
const (
	// FirstToken requires the first byte of an answer within the plan's first-token
	// bound. A request without a first byte is bad if it exceeded its deadline and is
	// not counted otherwise.
	FirstToken Objective = "first-token"
	// BetweenTokens requires that the longest gap between two tokens of a model answer
	// does not exceed the plan's between-token bound.
	BetweenTokens Objective = "between-tokens"
	// CompleteOrNotRun requires that a request is either answered in full or refused
	// without having been run.
	CompleteOrNotRun Objective = "whole-or-truthful"
	// Stalls requires that a model answer waits at most half of the first-token bound
	// for the load of an adapter.
	Stalls Objective = "stalls"
)

// Objectives lists all objectives in report order.
var Objectives = []Objective{FirstToken, BetweenTokens, CompleteOrNotRun, Stalls}

// Bounds and target that apply where a plan sets none.
const (
	DefaultFirstToken   = time.Second
	DefaultBetweenToken = 200 * time.Millisecond
	DefaultTarget       = 0.99
)

// stallDivisor divides the first-token bound: the quotient is the longest time that a
// request may spend on the load of an adapter.
const stallDivisor = 2

// limits holds the latency bounds and the target of one plan.
type limits struct {
	firstToken   time.Duration
	betweenToken time.Duration
	target       float64
}

func limitsOf(plan core.Plan) limits {
	limits := limits{DefaultFirstToken, DefaultBetweenToken, DefaultTarget}
	if plan.Objectives.FirstTokenMillis > 0 {
		limits.firstToken = time.Duration(plan.Objectives.FirstTokenMillis) * time.Millisecond
	}
	if plan.Objectives.BetweenTokenMillis > 0 {
		limits.betweenToken = time.Duration(plan.Objectives.BetweenTokenMillis) * time.Millisecond
	}
	if plan.Objectives.Target > 0 {
		limits.target = plan.Objectives.Target
	}
	return limits
}

// bound returns the latency bound of an objective, or zero if it has none.
func (limits limits) bound(objective Objective) time.Duration {
	switch objective {
	case FirstToken:
		return limits.firstToken
	case BetweenTokens:
		return limits.betweenToken
	case Stalls:
		return limits.firstToken / stallDivisor
	default:
		return 0
	}
}

// classification states whether a request counts under one objective, whether it is
// bad, and the cause to report if it is bad.
type classification struct {
	counts bool
	bad    bool
	cause  string
}

// classify evaluates the end record of a request's last attempt under an objective.
func (limits limits) classify(objective Objective, end audit.Record) classification {
	switch objective {
	case FirstToken:
		return limits.classifyFirstToken(end)
	case BetweenTokens:
		slow := micros(end.LongestGapMicros) > limits.betweenToken
		return classification{counts: end.FirstByteMicros > 0 && end.Service == "", bad: slow, cause: "slow tokens"}
	case Stalls:
		stalled := micros(end.StallMicros) > limits.bound(Stalls)
		return classification{counts: end.FirstByteMicros > 0 && end.Service == "", bad: stalled, cause: "adapter load"}
	default:
		return classifyCompletion(end)
	}
}

func (limits limits) classifyFirstToken(end audit.Record) classification {
	if end.FirstByteMicros == 0 {
		late := end.Code == core.CodeDeadlineExceeded
		return classification{counts: late, bad: late, cause: string(end.Code)}
	}
	late := micros(end.FirstByteMicros) > limits.firstToken
	cause := "queue or prompt"
	if end.StallMicros*stallDivisor >= end.FirstByteMicros {
		cause = "adapter load"
	}
	return classification{counts: true, bad: late, cause: cause}
}

func classifyCompletion(end audit.Record) classification {
	good := end.Whole || end.Outcome == core.NotRun.String()
	cause := string(end.Code)
	if cause == "" {
		cause = end.Outcome
	}
	return classification{counts: true, bad: !good, cause: cause}
}

func micros(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}
