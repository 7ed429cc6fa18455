package residency

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// OrderKind is the operation that an order requests.
type OrderKind uint8

// The kinds of orders.
const (
	// Report requests the state of the engine.
	Report OrderKind = iota + 1
	// Load and Unload request a load and an unload of weights.
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

// Order is one request to an engine to load weights, to unload weights or to report its
// state.
type Order struct {
	Kind     OrderKind
	Upstream core.UpstreamID
	Born     int64
	Address  string
	Weights  core.WeightKey
	// Revision is zero for the newest revision and for a base model.
	Revision core.Revision
	// Expected is the number of orders that the engine must have accepted so far.
	Expected uint64
	// Check is set if the order repeats an accepted load or unload to learn whether it
	// has finished.
	Check bool
}

// Outcome is the result of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Accepted means that the engine is executing the order.
	Accepted Outcome = iota + 1
	// AlreadyInEffect means that the requested state is already in effect.
	AlreadyInEffect
	// Conflict means that the number of accepted orders differs from Order.Expected, or
	// that the engine is busy.
	Conflict
	// Fenced means that the engine has seen a higher fencing token.
	Fenced
	// Refused means that the engine rejected the order for another reason.
	Refused
	// Unanswered means that no response arrived. The engine may have executed the order
	// or may still execute it.
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

// Holding is one set of weights on an engine.
type Holding struct {
	Weights  core.WeightKey
	Revision core.Revision
	// Loading is set while the load is in progress.
	Loading bool
}

// State is an engine's report of its own state.
type State struct {
	// Accepted is the number of orders that the engine has accepted.
	Accepted uint64
	Busy     bool
	Running  int
	Holdings []Holding
}

// The bounds of a report. An engine has some ten places for adapters.
const (
	maxHoldings = 4096
	maxRunning  = 65536
)

// Check returns an error if the report cannot be that of an engine. What it lists is sent to
// every VM.
func (state State) Check() error {
	if len(state.Holdings) > maxHoldings {
		return fmt.Errorf("the report lists %d weights, over the limit of %d", len(state.Holdings), maxHoldings)
	}
	if state.Running < 0 || state.Running > maxRunning {
		return fmt.Errorf("%d running requests are not in 0..%d", state.Running, maxRunning)
	}
	for i, holding := range state.Holdings {
		if !holding.Weights.Valid() {
			return fmt.Errorf("the name of weights %d is empty, longer than 128 bytes or not text", i)
		}
	}
	return nil
}

// Change is a change of the weights for which an engine serves requests.
type Change struct {
	Upstream core.UpstreamID
	Born     int64
	// Whole is set if Added lists all resident weights of the engine and replaces what
	// was known before.
	Whole   bool
	Added   []Holding
	Removed []core.WeightKey
}

// Timing holds the durations that a Table uses. Zero values select the defaults.
type Timing struct {
	// Warm is the expected load time of an adapter that the engine unloaded recently, and
	// Cold that of any other adapter, which comes from the weight store.
	Warm, Cold time.Duration
	// Check is the interval between status checks of an unfinished load or unload, and
	// the pause after a conflict.
	Check time.Duration
	// Lag is the maximum age of the state in an engine's report.
	Lag time.Duration
	// Abandon is the time after which an unfinished load makes the Table request a
	// report. For a base model, four times its load time is added.
	Abandon time.Duration
	// HalfLife is the half-life of the request counts.
	HalfLife time.Duration
}

// The defaults of Timing. The load times are those of the operators' engines.
const (
	defaultWarm    = 26 * time.Millisecond
	defaultCold    = 250 * time.Millisecond
	defaultCheck   = 40 * time.Millisecond
	defaultLag     = 400 * time.Millisecond
	defaultAbandon = 8 * time.Second
	// With defaultHalfLife, an adapter requested every 4 s counts about four times as much
	// as one requested once, and counts halve within the 10 s in which demand shifts.
	defaultHalfLife = 10 * time.Second
)

func (timing Timing) withDefaults() Timing {
	setDefault(&timing.Warm, defaultWarm)
	setDefault(&timing.Cold, defaultCold)
	setDefault(&timing.Check, defaultCheck)
	setDefault(&timing.Lag, defaultLag)
	setDefault(&timing.Abandon, defaultAbandon)
	setDefault(&timing.HalfLife, defaultHalfLife)
	return timing
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
