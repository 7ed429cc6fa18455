package residency

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// OrderKind tells what an order asks of an engine.
type OrderKind uint8

// The kinds of orders.
const (
	// Report asks the engine what it holds.
	Report OrderKind = iota + 1
	Load
	Unload
)

// String returns the name of the kind, and "unknown" for any other value.
func (kind OrderKind) String() string {
	names := [...]string{"unknown", "report", "load", "unload"}
	if int(kind) >= len(names) {
		return names[0]
	}
	return names[kind]
}

// Order is one order to an engine.
type Order struct {
	Kind     OrderKind
	Upstream core.UpstreamID
	Born     int64
	Address  string
	Weights  core.WeightKey
	// Revision is zero for the newest one, and for a base model.
	Revision core.Revision
	// Expected is the number of orders that the engine must have accepted.
	Expected uint64
	// Check is set for a load that was accepted before and is asked about.
	Check bool
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted means that the engine carries the order out.
	Accepted Outcome = iota + 1
	// Holds means that what was ordered is so already.
	Holds
	// Conflict means that the engine has accepted other orders, or is busy.
	Conflict
	// Fenced means that the engine has seen a later fencing token.
	Fenced
	// Refused means that the order was not taken for another reason.
	Refused
	// Unanswered means that the order may be carried out, now or later.
	Unanswered
)

// String returns the name of the outcome, and "unknown" for any other value.
func (outcome Outcome) String() string {
	names := [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused", "unanswered"}
	if int(outcome) >= len(names) {
		return names[0]
	}
	return names[outcome]
}

// Holding is one set of weights that an engine reports.
type Holding struct {
	Weights  core.WeightKey
	Revision core.Revision
	// Loading is set while the weights are on their way.
	Loading bool
}

// State is what an engine reports about itself.
type State struct {
	// Accepted is the number of orders that it has accepted.
	Accepted uint64
	Busy     bool
	Running  int
	Holdings []Holding
}

// Change is a change of what an engine can be asked for.
type Change struct {
	Upstream core.UpstreamID
	Born     int64
	// Whole is set if Added is everything that the engine holds.
	Whole   bool
	Added   []Holding
	Removed []core.WeightKey
}

// Timing holds the times of a Table. Zero values mean the defaults.
type Timing struct {
	// Warm is the time of a load of weights that the engine held recently, Cold that of
	// others from the store.
	Warm, Cold time.Duration
	// Check is the time between two questions about a load that takes longer.
	Check time.Duration
	// Lag is the age that an engine's report may have.
	Lag time.Duration
	// Abandon is the time after which a load that does not end is looked into.
	Abandon time.Duration
	// HalfLife is the time in which demand fades to a half.
	HalfLife time.Duration
}

// The defaults of Timing. The times of loads are those of the operators' engines.
const (
	defaultWarm    = 26 * time.Millisecond
	defaultCold    = 250 * time.Millisecond
	defaultCheck   = 40 * time.Millisecond
	defaultLag     = 400 * time.Millisecond
	defaultAbandon = 8 * time.Second
	// defaultHalfLife weighs an adapter that is asked for every 4 s some four times as much
	// as one that was asked for once, and forgets within the 10 s in which demand moves.
	defaultHalfLife = 10 * time.Second
)

func (timing Timing) withDefaults() Timing {
	orDefault(&timing.Warm, defaultWarm)
	orDefault(&timing.Cold, defaultCold)
	orDefault(&timing.Check, defaultCheck)
	orDefault(&timing.Lag, defaultLag)
	orDefault(&timing.Abandon, defaultAbandon)
	orDefault(&timing.HalfLife, defaultHalfLife)
	return timing
}

func orDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
