package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Load asks an engine to load an adapter version. The caller reports the result
	// with LoadAnswered or LoadRefused.
	Load ActionKind = iota + 1
	// Evict asks an engine to evict an adapter version. The caller reports the result
	// with EvictAnswered.
	Evict
	// Send assigns a call to an upstream. The caller calls Start right before it sends
	// the first byte, and Ended once the call has ended.
	Send
	// Refuse ends a call that did not run.
	Refuse
)

// String returns the name of the kind in lower case, or "unknown".
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

// Action is a request of the scheduler to its caller. Load and Evict set Upstream,
// Incarnation and Adapter; Send sets every field but Refusal; Refuse sets Attempt
// and Refusal.
type Action struct {
	Kind        ActionKind
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	// Adapter is the adapter version to load or evict, or that of the sent call.
	Adapter core.AdapterVersion
	Attempt core.AttemptID
	// Refusal is the reason of a Refuse.
	Refusal *core.Refusal
	// Queued is the time from the arrival of a call until it was assigned. Stalled is
	// the part of it during which no usable copy of its adapter existed.
	Queued  time.Duration
	Stalled time.Duration
}

// TakeActions removes the collected actions from the scheduler, appends them to list in
// the order in which they were added, and returns the extended slice.
func (scheduler *Scheduler) TakeActions(list []Action) []Action {
	list = append(list, scheduler.actions...)
	clear(scheduler.actions)
	scheduler.actions = scheduler.actions[:0]
	return list
}

// These refusals carry no details of a call and are shared, so that refusing calls
// under overload does not allocate.
var (
	refusedDeadline   = core.NewRefusal(core.CodeDeadlineExceeded, "the deadline passed before the call could be sent")
	refusedOverloaded = core.NewRefusal(core.CodeOverloaded, "the queue of the upstream group is full")
	refusedNoUpstream = core.NewRefusal(core.CodeNoUpstream, "no upstream of the group is available")
	refusedSoftware   = core.NewRefusal(core.CodeNoUpstream, "no upstream with the software that began the answer has room and the adapter")
	refusedAdapter    = core.NewRefusal(core.CodeAdapterUnavailable, "the adapter could not be loaded")
	refusedNotOwner   = core.NewRefusal(core.CodeNotOwner, "the group has another owner now")
)

// refuse appends a Refuse action for an attempt.
func (scheduler *Scheduler) refuse(attempt core.AttemptID, refusal *core.Refusal) {
	scheduler.stats.Refusals++
	scheduler.actions = append(scheduler.actions, Action{Kind: Refuse, Attempt: attempt, Refusal: refusal})
}

// Stats holds counters of a scheduler since its creation.
type Stats struct {
	// Loads includes the prefetches, Evictions counts each eviction once although it
	// may be requested again, and FailedLoads includes the loads without an answer.
	Loads, Prefetches, Evictions, FailedLoads uint64
	// WastedLoads counts copies that were evicted or lost before a call used them.
	WastedLoads uint64
	// Sends counts each assignment of a call, including those that did not start.
	Sends, Refusals uint64
	// Stalled is the sum of Action.Stalled over all sends.
	Stalled time.Duration
}

// Stats returns the counters since the creation of the scheduler.
func (scheduler *Scheduler) Stats() Stats { return scheduler.stats }

// Summary describes the state of a group at one time. Upstreams, InFlight, Places
// and Busy cover the usable upstreams only.
type Summary struct {
	// Upstreams is the number of usable upstreams.
	Upstreams int
	// Waiting is the number of calls in the queue.
	Waiting int
	// InFlight is the number of assigned calls that have not ended.
	InFlight int
	// Places is the sum of the batch sizes, and Busy the sum over the upstreams with
	// at least one call in flight. InFlight/Busy is the batch fill.
	Places int
	Busy   int
	// Transit is the number of loads in transit that the budget counts.
	Transit int
	// Wait is the expected time until a call that arrives now and needs no load
	// starts.
	Wait time.Duration
}

// Summary returns the state of the group at the time now.
func (scheduler *Scheduler) Summary(now time.Time) Summary {
	summary := Summary{Waiting: scheduler.queue.Len(), Transit: scheduler.budget.InTransit()}
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if !upstream.usable(now) {
			continue
		}
		summary.Upstreams++
		summary.InFlight += upstream.inFlight
		summary.Places += upstream.batchSize
		if upstream.inFlight > 0 {
			summary.Busy += upstream.batchSize
		}
	}
	summary.Wait = scheduler.latencyModel.QueueDelay(summary.Waiting+1, summary.Places)
	return summary
}
