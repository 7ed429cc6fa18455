package burn

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Objective names what is measured.
type Objective string

// The objectives of a plan.
const (
	// FirstToken counts answers whose first byte came in time. Requests that ran
	// into their deadline are bad; other refusals do not count.
	FirstToken Objective = "first-token"
	// BetweenTokens counts answers without a long pause.
	BetweenTokens Objective = "between-tokens"
	// WholeOrTruthful counts requests that were answered in full or refused without
	// a run.
	WholeOrTruthful Objective = "whole-or-truthful"
	// Stalls counts answers that did not wait long for the load of an adapter.
	Stalls Objective = "stalls"
)

// Objectives lists all objectives in the order of the report.
var Objectives = []Objective{FirstToken, BetweenTokens, WholeOrTruthful, Stalls}

// The defaults of a plan that sets no objective.
const (
	DefaultFirstToken   = time.Second
	DefaultBetweenToken = 200 * time.Millisecond
	DefaultTarget       = 0.99
)

// stallShare is the part of the first-token bound that a request may spend on the
// load of an adapter.
const stallShare = 2

// limits are the bounds of one plan.
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

// bound returns the bound of an objective, or zero if it has none.
func (limits limits) bound(objective Objective) time.Duration {
	switch objective {
	case FirstToken:
		return limits.firstToken
	case BetweenTokens:
		return limits.betweenToken
	case Stalls:
		return limits.firstToken / stallShare
	default:
		return 0
	}
}

// verdict is the judgement of one attempt under one objective.
type verdict struct {
	counts bool
	bad    bool
	cause  string
}

// judge applies an objective to the end of an attempt.
func (limits limits) judge(objective Objective, end audit.Record) verdict {
	switch objective {
	case FirstToken:
		return limits.judgeFirstToken(end)
	case BetweenTokens:
		slow := micros(end.LongestGapMicros) > limits.betweenToken
		return verdict{counts: end.FirstByteMicros > 0 && end.Service == "", bad: slow, cause: "slow tokens"}
	case Stalls:
		stalled := micros(end.StallMicros) > limits.bound(Stalls)
		return verdict{counts: end.FirstByteMicros > 0 && end.Service == "", bad: stalled, cause: "adapter load"}
	default:
		return judgeWhole(end)
	}
}

func (limits limits) judgeFirstToken(end audit.Record) verdict {
	if end.FirstByteMicros == 0 {
		late := end.Code == core.CodeDeadline
		return verdict{counts: late, bad: late, cause: string(end.Code)}
	}
	late := micros(end.FirstByteMicros) > limits.firstToken
	cause := "queue or prompt"
	if end.StallMicros*stallShare >= end.FirstByteMicros {
		cause = "adapter load"
	}
	return verdict{counts: true, bad: late, cause: cause}
}

func judgeWhole(end audit.Record) verdict {
	truthful := end.Whole || end.Outcome == core.NotRun.String()
	cause := string(end.Code)
	if cause == "" {
		cause = end.Outcome
	}
	return verdict{counts: true, bad: !truthful, cause: cause}
}

func micros(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}
