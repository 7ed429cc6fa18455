package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/queue"
)

// Enqueue adds a call to the queue, or refuses it if the queue is full or the group
// has no upstream. A call that continues an answer does not wait. Each call leads to exactly one Refuse, or one Send whose Start
// returns true, unless Cancel removes it before. A Send whose Start returns false is
// replaced by another action for the call. Enqueue ignores an attempt that waits or
// is assigned already.
func (scheduler *Scheduler) Enqueue(call Call, now time.Time) {
	scheduler.expireCalls(now)
	if scheduler.hasAttempt(call.Attempt) {
		return
	}
	if !scheduler.mayWaitForUpstream(now) {
		scheduler.refuse(call.Attempt, refusedNoUpstream)
		return
	}
	id := scheduler.adapterID(call.Adapter)
	if id == none {
		scheduler.refuse(call.Attempt, refusedOverloaded)
		return
	}
	scheduler.recordArrival(id, now)
	entry := queue.Entry{
		Attempt: call.Attempt, Customer: call.Customer, Lane: id, Priority: call.Priority,
		Arrived: now, Deadline: call.Deadline, Suspect: call.Suspect, Prefixes: call.Prefixes,
	}
	if call.Origin.Continues {
		scheduler.continueAnswer(entry, call.Origin, now)
		return
	}
	scheduler.displaceWaiting(call.Priority, now)
	_, accepted := scheduler.queue.Push(entry)
	if !accepted {
		scheduler.refuse(call.Attempt, refusedOverloaded)
		return
	}
	scheduler.popularity.Hold(id)
	scheduler.dispatch(id, now)
	scheduler.startLoads(now)
}

// continueAnswer assigns a call that continues an answer to an upstream with the software that
// began it, or refuses the call if none has room and the adapter. The call does not wait: as
// the first one of its adapter it would hold back calls that any upstream may run.
func (scheduler *Scheduler) continueAnswer(call queue.Entry, required origin.Requirement, now time.Time) {
	cheapest, cheapestCost := slotRef{none, none}, 0.0
	consider := func(candidate slotRef) {
		if required.Allows(scheduler.upstreams[candidate.upstream].software) {
			scheduler.considerTarget(candidate, &call, now, &cheapest, &cheapestCost)
		}
	}
	entry := &scheduler.adapters[call.Lane]
	for i := range scheduler.upstreams {
		if entry.anyUpstream {
			consider(slotRef{int32(i), none})
		}
	}
	for _, resident := range entry.copies {
		consider(resident)
	}
	if cheapest.upstream == none {
		scheduler.refuse(call.Attempt, refusedSoftware)
		return
	}
	scheduler.popularity.Hold(call.Lane)
	scheduler.assignments[scheduler.assignCall(call, cheapest, now)].continues = true
}

// hasAttempt reports whether an attempt waits or is assigned.
func (scheduler *Scheduler) hasAttempt(attempt core.AttemptID) bool {
	if _, waits := scheduler.queue.Find(attempt); waits {
		return true
	}
	_, runs := scheduler.assignmentIndices[attempt]
	return runs
}

// recordArrival counts the arrival of a call in the popularity of its adapter.
func (scheduler *Scheduler) recordArrival(id int32, now time.Time) {
	scheduler.arrivals.Add(now)
	scheduler.popularity.Observe(id, now)
	scheduler.adapters[id].forecastAt = time.Time{}
	if position := scheduler.adapters[id].coldPosition; position != none {
		scheduler.coldHeap.Fix((*coldOrder)(scheduler), position)
	}
}

// mayWaitForUpstream reports whether calls may wait: an upstream is usable, or the
// group has had none for less than noUpstreamGrace.
func (scheduler *Scheduler) mayWaitForUpstream(now time.Time) bool {
	if now.Sub(scheduler.usableUntil) < noUpstreamGrace {
		return true
	}
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		leaseEnd := upstream.lastAnnounced.Add(core.AnnouncementLease)
		if !upstream.leaving && !upstream.lost && leaseEnd.After(scheduler.usableUntil) {
			scheduler.usableUntil = leaseEnd
		}
	}
	return now.Sub(scheduler.usableUntil) < noUpstreamGrace
}

// displaceWaiting refuses a waiting call of lower priority if the queue is full.
func (scheduler *Scheduler) displaceWaiting(priority core.Priority, now time.Time) {
	id, ok := scheduler.queue.DisplacementCandidate(priority)
	if !ok {
		return
	}
	suspect := scheduler.queue.Entry(id).Suspect
	scheduler.refuse(scheduler.removeWaiting(id, now), refusedOverloaded)
	if suspect {
		scheduler.fillUpstreams(now)
	}
}

// removeWaiting removes a call from the queue and returns its attempt.
func (scheduler *Scheduler) removeWaiting(id int32, now time.Time) core.AttemptID {
	call := scheduler.queue.Remove(id)
	scheduler.updateHeaps(call.Lane, now)
	if call.Suspect {
		scheduler.cancelReservation(call.Attempt)
	}
	scheduler.popularity.Release(call.Lane)
	return call.Attempt
}

// cancelReservation ends the reservation of an upstream for a suspect call.
func (scheduler *Scheduler) cancelReservation(attempt core.AttemptID) {
	for i := range scheduler.upstreams {
		if scheduler.upstreams[i].reservedFor == attempt {
			scheduler.upstreams[i].reservedFor = ""
		}
	}
}

// Cancel removes a call that has not started and returns true; no action for the
// call is added afterwards. It returns false for a call that is unknown or has
// started. A started call keeps its pin until Ended.
func (scheduler *Scheduler) Cancel(attempt core.AttemptID, now time.Time) bool {
	scheduler.expireCalls(now)
	if id, waits := scheduler.queue.Find(attempt); waits {
		suspect := scheduler.queue.Entry(id).Suspect
		scheduler.removeWaiting(id, now)
		if suspect {
			scheduler.fillUpstreams(now)
		}
		scheduler.processDue(now)
		return true
	}
	assignmentIndex, known := scheduler.assignmentIndices[attempt]
	if !known || scheduler.assignments[assignmentIndex].started {
		return false
	}
	upstreamIndex := scheduler.assignments[assignmentIndex].upstream
	scheduler.removeAssignment(assignmentIndex, now)
	scheduler.fillUpstream(upstreamIndex, now)
	scheduler.processDue(now)
	return true
}

// Start reports whether a call may still be sent to the upstream that its Send
// named, and if so marks it as started. It must be called right before the first
// byte is sent. If it returns false for a call that has not started, the call waits
// again, was assigned anew, or is refused by another action.
func (scheduler *Scheduler) Start(attempt core.AttemptID, id core.UpstreamID, incarnation core.Incarnation, now time.Time) bool {
	scheduler.expireCalls(now)
	assignmentIndex, known := scheduler.assignmentIndices[attempt]
	if !known {
		return false
	}
	assigned := &scheduler.assignments[assignmentIndex]
	upstream := &scheduler.upstreams[assigned.upstream]
	if assigned.started || upstream.id != id || upstream.incarnation != incarnation || assigned.epoch != upstream.epoch {
		return false
	}
	if !upstream.usable(now) {
		scheduler.updateUsable(assigned.upstream, now)
		scheduler.processDue(now)
		return false
	}
	if !now.Before(assigned.call.Deadline) {
		upstreamIndex := assigned.upstream
		scheduler.removeAssignment(assignmentIndex, now)
		scheduler.refuse(attempt, refusedDeadline)
		scheduler.fillUpstream(upstreamIndex, now)
		scheduler.processDue(now)
		return false
	}
	assigned.started, assigned.since = true, now
	return true
}

// Ended removes a call that has ended from its upstream. If confirmed is false, the
// connection to the engine was lost and the engine may still run the call. The copy
// of its adapter then stays pinned until an announcement shows that the call no
// longer runs, or until the incarnation has ended.
func (scheduler *Scheduler) Ended(attempt core.AttemptID, confirmed bool, now time.Time) {
	scheduler.expireCalls(now)
	assignmentIndex, known := scheduler.assignmentIndices[attempt]
	if !known {
		return
	}
	assigned := &scheduler.assignments[assignmentIndex]
	upstreamIndex := assigned.upstream
	upstream := &scheduler.upstreams[upstreamIndex]
	if assigned.epoch == upstream.epoch && !confirmed && assigned.slot != none {
		slot := &upstream.slots[assigned.slot]
		slot.untrackedCalls++
		slot.untrackedSince = now
	}
	if assigned.started && confirmed {
		scheduler.latencyModel.Observe(now.Sub(assigned.since))
	}
	scheduler.removeAssignment(assignmentIndex, now)
	scheduler.fillUpstream(upstreamIndex, now)
	scheduler.processDue(now)
}

// RefuseUnstarted refuses every call that has not started. It is used when the group gets
// another owner or the VM drains. Started calls are not changed.
func (scheduler *Scheduler) RefuseUnstarted(now time.Time) {
	for i := range scheduler.assignments {
		assigned := &scheduler.assignments[i]
		if assigned.call.Attempt != "" && !assigned.started {
			scheduler.refuse(assigned.call.Attempt, refusedNotOwner)
			scheduler.removeAssignment(int32(i), now)
		}
	}
	for {
		id, ok := scheduler.queue.EarliestDeadline()
		if !ok {
			return
		}
		scheduler.refuse(scheduler.removeWaiting(id, now), refusedNotOwner)
	}
}

// removeAssignment removes an assignment and its pin, and makes its index free for
// another one.
func (scheduler *Scheduler) removeAssignment(assignmentIndex int32, now time.Time) {
	assigned := &scheduler.assignments[assignmentIndex]
	upstream := &scheduler.upstreams[assigned.upstream]
	if assigned.epoch == upstream.epoch {
		upstream.inFlight--
		upstream.history.Set(now, upstream.inFlight)
		if assigned.call.Suspect {
			upstream.runsSuspect = false
		}
		if assigned.slot != none {
			upstream.slots[assigned.slot].pins--
		}
	}
	delete(scheduler.assignmentIndices, assigned.call.Attempt)
	lane := assigned.call.Lane
	*assigned = assignment{}
	scheduler.freeAssignments = append(scheduler.freeAssignments, assignmentIndex)
	scheduler.popularity.Release(lane)
}
