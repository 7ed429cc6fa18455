package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/queue"
)

// Enqueue takes in a call. It ends with one Refuse, or with one Send whose Start
// succeeds; a Send whose Start fails is followed by another action for the call. An
// attempt that waits or runs already is not taken in again, and no action follows.
func (scheduler *Scheduler) Enqueue(call Call, now time.Time) {
	scheduler.expire(now)
	if scheduler.knows(call.Attempt) {
		return
	}
	if !scheduler.hasUpstream(now) {
		scheduler.refuse(call.Attempt, refusedAbsent)
		return
	}
	id := scheduler.adapter(call.Adapter)
	if id == none {
		scheduler.refuse(call.Attempt, refusedOverloaded)
		return
	}
	scheduler.observe(id, now)
	scheduler.makeRoom(call.Priority, now)
	_, accepted := scheduler.queue.Push(queue.Entry{
		Attempt: call.Attempt, Customer: call.Customer, Lane: id, Priority: call.Priority,
		Arrived: now, Deadline: call.Deadline, Suspect: call.Suspect, Prefixes: call.Prefixes,
	})
	if !accepted {
		scheduler.refuse(call.Attempt, refusedOverloaded)
		return
	}
	scheduler.names.Hold(id)
	scheduler.dispatch(id, now)
	scheduler.place(now)
}

func (scheduler *Scheduler) knows(attempt core.AttemptID) bool {
	if _, waits := scheduler.queue.Find(attempt); waits {
		return true
	}
	_, runs := scheduler.attempts[attempt]
	return runs
}

func (scheduler *Scheduler) observe(id int32, now time.Time) {
	scheduler.arrivals.Add(now)
	scheduler.names.Observe(id, now)
	scheduler.adapters[id].forecastAt = time.Time{}
	if at := scheduler.adapters[id].coldAt; at != none {
		scheduler.cold.Fix((*coldOrder)(scheduler), at)
	}
}

// hasUpstream reports whether calls may wait for an upstream.
func (scheduler *Scheduler) hasUpstream(now time.Time) bool {
	if now.Sub(scheduler.present) < absentGrace {
		return true
	}
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		last := upstream.seen.Add(core.AnnouncementLease)
		if !upstream.leaving && !upstream.lost && last.After(scheduler.present) {
			scheduler.present = last
		}
	}
	return now.Sub(scheduler.present) < absentGrace
}

// makeRoom refuses a waiting call of lower priority if the queue is full.
func (scheduler *Scheduler) makeRoom(priority core.Priority, now time.Time) {
	id, ok := scheduler.queue.Displace(priority)
	if !ok {
		return
	}
	suspect := scheduler.queue.Entry(id).Suspect
	scheduler.refuse(scheduler.discard(id, now), refusedOverloaded)
	if suspect {
		scheduler.fillAll(now)
	}
}

// discard removes a waiting call and returns its attempt.
func (scheduler *Scheduler) discard(id int32, now time.Time) core.AttemptID {
	call := scheduler.queue.Remove(id)
	scheduler.review(call.Lane, now)
	if call.Suspect {
		scheduler.unreserve(call.Attempt)
	}
	scheduler.names.Release(call.Lane)
	return call.Attempt
}

func (scheduler *Scheduler) unreserve(attempt core.AttemptID) {
	for i := range scheduler.upstreams {
		if scheduler.upstreams[i].reserved == attempt {
			scheduler.upstreams[i].reserved = ""
		}
	}
}

// Cancel takes in that the caller of a call is gone. It reports whether the call
// had not started; then it is forgotten and no further action names it. A call
// that runs stays pinned until Ended.
func (scheduler *Scheduler) Cancel(attempt core.AttemptID, now time.Time) bool {
	scheduler.expire(now)
	if id, waits := scheduler.queue.Find(attempt); waits {
		suspect := scheduler.queue.Entry(id).Suspect
		scheduler.discard(id, now)
		if suspect {
			scheduler.fillAll(now)
		}
		scheduler.settle(now)
		return true
	}
	index, known := scheduler.attempts[attempt]
	if !known || scheduler.runs[index].started {
		return false
	}
	at := scheduler.runs[index].upstream
	scheduler.drop(index, now)
	scheduler.fill(at, now)
	scheduler.settle(now)
	return true
}

// Start asks, right before the first byte, whether a call may still be sent to
// the upstream that its Send named. If not, the call is back in the queue or
// refused, or was assigned anew, and a later action tells.
func (scheduler *Scheduler) Start(attempt core.AttemptID, id core.UpstreamID, incarnation core.Incarnation, now time.Time) bool {
	scheduler.expire(now)
	index, known := scheduler.attempts[attempt]
	if !known {
		return false
	}
	run := &scheduler.runs[index]
	upstream := &scheduler.upstreams[run.upstream]
	if run.started || upstream.id != id || upstream.incarnation != incarnation || run.epoch != upstream.epoch {
		return false
	}
	if !upstream.usable(now) {
		scheduler.refresh(run.upstream, now)
		scheduler.settle(now)
		return false
	}
	if !now.Before(run.call.Deadline) {
		at := run.upstream
		scheduler.drop(index, now)
		scheduler.refuse(attempt, refusedDeadline)
		scheduler.fill(at, now)
		scheduler.settle(now)
		return false
	}
	run.started, run.at = true, now
	return true
}

// Ended takes in that a call ended. With confirmed false the connection to the
// engine was lost and the engine may still run the call: its pin lasts until an
// announcement shows the adapter idle or the incarnation is gone.
func (scheduler *Scheduler) Ended(attempt core.AttemptID, confirmed bool, now time.Time) {
	scheduler.expire(now)
	index, known := scheduler.attempts[attempt]
	if !known {
		return
	}
	run := &scheduler.runs[index]
	at := run.upstream
	upstream := &scheduler.upstreams[at]
	if run.epoch == upstream.epoch && !confirmed && run.slot != none {
		slot := &upstream.slots[run.slot]
		slot.foreign++
		slot.foreignAt = now
	}
	if run.started && confirmed {
		scheduler.model.Learn(now.Sub(run.at))
	}
	scheduler.drop(index, now)
	scheduler.fill(at, now)
	scheduler.settle(now)
}

// Shut refuses every call that has not started, because the group has another
// owner or the VM is draining. Calls that run are not touched.
func (scheduler *Scheduler) Shut(now time.Time) {
	for i := range scheduler.runs {
		run := &scheduler.runs[i]
		if run.call.Attempt != "" && !run.started {
			scheduler.refuse(run.call.Attempt, refusedDraining)
			scheduler.drop(int32(i), now)
		}
	}
	for {
		id, ok := scheduler.queue.Earliest()
		if !ok {
			return
		}
		scheduler.refuse(scheduler.discard(id, now), refusedDraining)
	}
}

// drop forgets a run and ends its pin.
func (scheduler *Scheduler) drop(index int32, now time.Time) {
	run := &scheduler.runs[index]
	upstream := &scheduler.upstreams[run.upstream]
	if run.epoch == upstream.epoch {
		upstream.inFlight--
		upstream.history.Set(now, upstream.inFlight)
		if run.call.Suspect {
			upstream.alone = false
		}
		if run.slot != none {
			upstream.slots[run.slot].pins--
		}
	}
	delete(scheduler.attempts, run.call.Attempt)
	lane := run.call.Lane
	*run = assignment{}
	scheduler.freeRuns = append(scheduler.freeRuns, index)
	scheduler.names.Release(lane)
}
