package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// ActionKind tells what an action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// Load asks an engine to load an adapter version. Answer with LoadAnswered.
	Load ActionKind = iota + 1
	// Evict asks an engine to drop an adapter version. Answer with EvictAnswered.
	Evict
	// Send assigns a call to an upstream. The user calls Start right before the
	// first byte and Ended once the end of the call is known.
	Send
	// Refuse ends a call that was not run.
	Refuse
)

// String returns the name of the kind in lower case.
func (kind ActionKind) String() string {
	switch kind {
	case Load:
		return "load"
	case Evict:
		return "evict"
	case Send:
		return "send"
	case Refuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// Action is one thing to do. Which fields are set depends on the kind.
type Action struct {
	Kind        ActionKind
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	// Adapter is the adapter version of a load, an eviction or a call.
	Adapter core.AdapterVersion
	Attempt core.AttemptID
	// Refusal is set for Refuse.
	Refusal *core.Refusal
	// Queued is the time that a sent call waited, and Stalled the part of it that
	// was spent on the load of its adapter.
	Queued  time.Duration
	Stalled time.Duration
}

// Take appends the actions collected since the last call to list, in order.
func (scheduler *Scheduler) Take(list []Action) []Action {
	list = append(list, scheduler.actions...)
	clear(scheduler.actions)
	scheduler.actions = scheduler.actions[:0]
	return list
}

// The refusals that need no details are shared, so that refusing in an overload
// allocates nothing.
var (
	refusedDeadline   = core.Refuse(core.CodeDeadline, "the deadline passed before the call could be sent")
	refusedOverloaded = core.Refuse(core.CodeOverloaded, "the queue of the upstream group is full")
	refusedAbsent     = core.Refuse(core.CodeNoUpstream, "no upstream of the group is available")
	refusedAdapter    = core.Refuse(core.CodeAdapterUnavailable, "the adapter could not be loaded")
	refusedDraining   = core.Refuse(core.CodeNotOwner, "the group has another owner now")
)

func (scheduler *Scheduler) refuse(attempt core.AttemptID, refusal *core.Refusal) {
	scheduler.stats.Refusals++
	scheduler.actions = append(scheduler.actions, Action{Kind: Refuse, Attempt: attempt, Refusal: refusal})
}

// Stats counts what a scheduler did.
type Stats struct {
	Loads, Prefetches, Evictions, FailedLoads uint64
	// WastedLoads counts copies that were evicted or lost before a call used them.
	WastedLoads     uint64
	Sends, Refusals uint64
	// Stalled is the sum of the waits for adapters of all calls that were sent.
	Stalled time.Duration
}

// Stats returns the counts since the start.
func (scheduler *Scheduler) Stats() Stats { return scheduler.stats }

// Summary describes the group at one moment.
type Summary struct {
	Upstreams int
	Waiting   int
	InFlight  int
	// Places is the sum of the batch sizes, and Busy that of the upstreams that run
	// at least one call; InFlight/Busy is the batch fill.
	Places int
	Busy   int
	// Transit is the number of loads that the budget counts.
	Transit int
	// Wait is the expected time to the first token of a call that arrives now and
	// needs no load.
	Wait time.Duration
}

// Summary returns the state of the group.
func (scheduler *Scheduler) Summary(now time.Time) Summary {
	summary := Summary{Waiting: scheduler.queue.Len(), Transit: scheduler.budget.Transit()}
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if !upstream.usable(now) {
			continue
		}
		summary.Upstreams++
		summary.InFlight += upstream.inFlight
		summary.Places += upstream.batch
		if upstream.inFlight > 0 {
			summary.Busy += upstream.batch
		}
	}
	summary.Wait = scheduler.model.Drain(summary.Waiting+1, summary.Places)
	return summary
}
