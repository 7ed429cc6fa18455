package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/queue"
)

// dispatch sends the waiting calls of one adapter until no copy of it can take one
// more, or the next call is held back.
func (scheduler *Scheduler) dispatch(lane int32, now time.Time) {
	for {
		head, ok := scheduler.queue.Head(lane)
		if !ok {
			break
		}
		target, ok := scheduler.cheapestTarget(lane, scheduler.queue.Entry(head), now)
		if !ok {
			break
		}
		held := !scheduler.upstreams[target.upstream].holdUntil.IsZero()
		scheduler.assign(lane, target, now)
		if held {
			scheduler.fillUpstream(target.upstream, now)
		}
	}
	scheduler.updateHeaps(lane, now)
}

// fillUpstreams sends waiting calls to every upstream that has room.
func (scheduler *Scheduler) fillUpstreams(now time.Time) {
	for i := range scheduler.upstreams {
		scheduler.fillUpstream(int32(i), now)
	}
}

// fillUpstream sends waiting calls to one upstream while it has room, across all
// adapters that it holds and in the order of queue.Before.
func (scheduler *Scheduler) fillUpstream(upstreamIndex int32, now time.Time) {
	for {
		lane, target, ok := scheduler.nextCall(upstreamIndex, now)
		if !ok {
			return
		}
		scheduler.assign(lane, target, now)
		scheduler.updateHeaps(lane, now)
	}
}

// nextCall returns the lane whose first call is to run next on an upstream, and the
// slot for it. It returns false if the upstream can take no waiting call.
func (scheduler *Scheduler) nextCall(upstreamIndex int32, now time.Time) (lane int32, target slotRef, ok bool) {
	upstream := &scheduler.upstreams[upstreamIndex]
	best := none
	consider := func(candidate int32, slotIndex int32) {
		head, waits := scheduler.queue.Head(candidate)
		if !waits || (best != none && !scheduler.queue.Before(head, best)) {
			return
		}
		if !scheduler.accepts(upstreamIndex, scheduler.queue.Entry(head), now) {
			return
		}
		best, lane, target = head, candidate, slotRef{upstreamIndex, slotIndex}
	}
	if !upstream.copiesListed || !upstream.usable(now) || scheduler.queue.Len() == 0 {
		return none, slotRef{}, false
	}
	if anyUpstreamLane, known := scheduler.popularity.Find(noAdapter); known {
		consider(anyUpstreamLane, none)
	}
	for i := range upstream.slots {
		if upstream.slots[i].state == slotResident {
			consider(upstream.slots[i].adapter, int32(i))
		}
	}
	return lane, target, best != none
}

// cheapestTarget returns the copy of an adapter, or the upstream, that can run a call
// at the lowest cost. It returns false if none can take the call or the call is held
// back. For a suspect call that no upstream can take now, it reserves one.
func (scheduler *Scheduler) cheapestTarget(lane int32, call *queue.Entry, now time.Time) (slotRef, bool) {
	entry := &scheduler.adapters[lane]
	cheapest, cheapestCost := slotRef{none, none}, 0.0
	if entry.anyUpstream {
		for i := range scheduler.upstreams {
			scheduler.considerTarget(slotRef{int32(i), none}, call, now, &cheapest, &cheapestCost)
		}
	} else {
		for _, resident := range entry.copies {
			scheduler.considerTarget(resident, call, now, &cheapest, &cheapestCost)
		}
	}
	if cheapest.upstream == none && call.Suspect {
		scheduler.reserveUpstream(lane, call, now)
	}
	if cheapest.upstream == none || scheduler.shouldHold(cheapest.upstream, call, now) {
		return cheapest, false
	}
	return cheapest, true
}

// considerTarget replaces the cheapest target by the candidate if that can take the
// call at a lower cost.
func (scheduler *Scheduler) considerTarget(candidate slotRef, call *queue.Entry, now time.Time, cheapest *slotRef, cheapestCost *float64) {
	if !scheduler.accepts(candidate.upstream, call, now) {
		return
	}
	upstream := &scheduler.upstreams[candidate.upstream]
	load := upstream.load()
	wait := scheduler.latencyModel.FirstToken(load, upstream.cache.Matched(call.Prefixes))
	cost := scheduler.config.Batching.Cost(wait, load.Fill())
	if cheapest.upstream == none || cost < *cheapestCost {
		*cheapest, *cheapestCost = candidate, cost
	}
}

// accepts reports whether an upstream can take a call now. A suspect call needs an
// idle upstream.
func (scheduler *Scheduler) accepts(upstreamIndex int32, call *queue.Entry, now time.Time) bool {
	upstream := &scheduler.upstreams[upstreamIndex]
	if !upstream.copiesListed || !upstream.usable(now) || upstream.runsSuspect {
		return false
	}
	if upstream.reservedFor != "" && upstream.reservedFor != call.Attempt {
		return false
	}
	if call.Suspect {
		return upstream.load().Idle()
	}
	return upstream.load().HasCapacity()
}

// reserveUpstream reserves an upstream for the suspect call at the head of its lane,
// so that no other call is sent there before the suspect runs alone. It keeps an
// existing reservation, and otherwise chooses the upstream with the fewest calls in
// flight among those that hold the adapter.
func (scheduler *Scheduler) reserveUpstream(lane int32, call *queue.Entry, now time.Time) {
	best := none
	consider := func(upstreamIndex int32) {
		upstream := &scheduler.upstreams[upstreamIndex]
		if !upstream.copiesListed || !upstream.usable(now) || upstream.runsSuspect {
			return
		}
		if upstream.reservedFor != "" && upstream.reservedFor != call.Attempt {
			return
		}
		if upstream.reservedFor == call.Attempt || best == none || upstream.inFlight < scheduler.upstreams[best].inFlight {
			best = upstreamIndex
		}
	}
	entry := &scheduler.adapters[lane]
	for i := range scheduler.upstreams {
		if entry.anyUpstream || entry.residentOn(int32(i)) {
			consider(int32(i))
		}
	}
	scheduler.cancelReservation(call.Attempt)
	if best != none {
		scheduler.upstreams[best].reservedFor = call.Attempt
	}
}

// residentOn reports whether an upstream has a usable copy of the adapter.
func (entry *adapter) residentOn(upstreamIndex int32) bool {
	for _, resident := range entry.copies {
		if resident.upstream == upstreamIndex {
			return true
		}
	}
	return false
}

// shouldHold reports whether a call for an idle upstream is held back so that others
// can join its batch. The hold ends when its time has passed or a second call waits
// in the lane.
func (scheduler *Scheduler) shouldHold(upstreamIndex int32, call *queue.Entry, now time.Time) bool {
	upstream := &scheduler.upstreams[upstreamIndex]
	if call.Suspect || !upstream.load().Idle() || upstream.batchSize < 2 {
		return false
	}
	if !upstream.holdUntil.IsZero() {
		stillHeld := now.Before(upstream.holdUntil) && scheduler.queue.LaneLen(call.Lane) < 2
		if !stillHeld {
			upstream.holdUntil = time.Time{}
		}
		return stillHeld
	}
	arrivals := float64(scheduler.popularity.ShortRate(call.Lane, now))
	delay := scheduler.config.Batching.BatchDelay(arrivals, call.Deadline.Sub(now))
	if delay == 0 {
		return false
	}
	upstream.holdUntil = now.Add(delay)
	return true
}

// assign removes the first call of a lane from the queue and assigns it to a target.
func (scheduler *Scheduler) assign(lane int32, target slotRef, now time.Time) {
	scheduler.assignCall(scheduler.queue.Serve(lane), target, now)
}

// assignCall assigns a call that is not in the queue to a target and returns the index of the
// assignment.
func (scheduler *Scheduler) assignCall(call queue.Entry, target slotRef, now time.Time) int32 {
	upstream := &scheduler.upstreams[target.upstream]
	upstream.inFlight++
	upstream.history.Set(now, upstream.inFlight)
	upstream.holdUntil = time.Time{}
	if call.Suspect {
		upstream.runsSuspect = true
		scheduler.cancelReservation(call.Attempt)
	}
	if target.slot != none {
		slot := &upstream.slots[target.slot]
		slot.pins++
		slot.used = true
	}
	assignmentIndex := scheduler.newAssignment()
	scheduler.assignments[assignmentIndex] = assignment{call: call, upstream: target.upstream, slot: target.slot, epoch: upstream.epoch, since: now}
	scheduler.assignmentIndices[call.Attempt] = assignmentIndex
	scheduler.appendSend(&call, target, now)
	return assignmentIndex
}

// appendSend appends the Send action of an assigned call.
func (scheduler *Scheduler) appendSend(call *queue.Entry, target slotRef, now time.Time) {
	upstream := &scheduler.upstreams[target.upstream]
	entry := &scheduler.adapters[call.Lane]
	stalled := time.Duration(0)
	if target.slot != none {
		stalled = max(0, min(now.Sub(call.Arrived), entry.residentSince.Sub(call.Arrived)))
	}
	scheduler.stats.Sends++
	scheduler.stats.Stalled += stalled
	scheduler.actions = append(scheduler.actions, Action{
		Kind: Send, Upstream: upstream.id, Incarnation: upstream.incarnation,
		Adapter: scheduler.popularity.Name(call.Lane), Attempt: call.Attempt,
		Queued: now.Sub(call.Arrived), Stalled: stalled,
	})
}

// newAssignment returns the index of an unused assignment.
func (scheduler *Scheduler) newAssignment() int32 {
	if last := len(scheduler.freeAssignments) - 1; last >= 0 {
		assignmentIndex := scheduler.freeAssignments[last]
		scheduler.freeAssignments = scheduler.freeAssignments[:last]
		return assignmentIndex
	}
	scheduler.assignments = append(scheduler.assignments, assignment{})
	return int32(len(scheduler.assignments) - 1)
}
