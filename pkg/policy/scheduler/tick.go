package scheduler

import "time"

// Tick does the work that is due at the time now: it refuses calls whose deadline has
// passed, handles expired leases and unanswered loads and evictions, ends hold times,
// and starts loads.
func (scheduler *Scheduler) Tick(now time.Time) {
	scheduler.expireCalls(now)
	for i := range scheduler.upstreams {
		upstreamIndex := int32(i)
		scheduler.updateUsable(upstreamIndex, now)
		scheduler.expireSlotRequests(upstreamIndex, now)
		upstream := &scheduler.upstreams[upstreamIndex]
		if !upstream.holdUntil.IsZero() && !now.Before(upstream.holdUntil) {
			upstream.holdUntil = time.Time{}
			scheduler.fillUpstream(upstreamIndex, now)
		}
	}
	scheduler.processDue(now)
}

// processDue refuses the waiting calls that have expired, ends the backoff of
// adapters, and starts loads.
func (scheduler *Scheduler) processDue(now time.Time) {
	scheduler.expireCalls(now)
	for {
		id, ok := scheduler.backoffHeap.Top()
		if !ok || scheduler.adapters[id].retryAt.After(now) {
			break
		}
		scheduler.updateHeaps(id, now)
	}
	scheduler.startLoads(now)
}

// expireCalls refuses the waiting calls whose deadline has passed, and all of them if
// the group has had no usable upstream for noUpstreamGrace.
func (scheduler *Scheduler) expireCalls(now time.Time) {
	refusal := refusedDeadline
	noUpstream := !scheduler.mayWaitForUpstream(now)
	if noUpstream {
		refusal = refusedNoUpstream
	}
	suspectRemoved := false
	for {
		id, ok := scheduler.queue.EarliestDeadline()
		if !ok || !noUpstream && now.Before(scheduler.queue.Entry(id).Deadline) {
			break
		}
		suspectRemoved = suspectRemoved || scheduler.queue.Entry(id).Suspect
		scheduler.refuse(scheduler.removeWaiting(id, now), refusal)
	}
	// An upstream may have been reserved for a refused suspect call, so other calls
	// can run there now.
	if suspectRemoved {
		scheduler.fillUpstreams(now)
	}
}

// expireSlotRequests fails the loads of one upstream that were not answered within
// their time limit, and requests unanswered or failed evictions again.
func (scheduler *Scheduler) expireSlotRequests(upstreamIndex int32, now time.Time) {
	slots := scheduler.upstreams[upstreamIndex].slots
	for i := range slots {
		slot := &slots[i]
		if slot.expiresAt.After(now) {
			continue
		}
		switch slot.state {
		case slotLoading:
			scheduler.releaseBudget(slot)
			scheduler.loadFailed(slotRef{upstreamIndex, int32(i)}, slotUncertain, now)
		case slotEvicting:
			scheduler.evictionFailed(slotRef{upstreamIndex, int32(i)}, now)
			if scheduler.upstreams[upstreamIndex].usable(now) {
				scheduler.retryEviction(slotRef{upstreamIndex, int32(i)}, now)
			}
		}
	}
}

// NextTick returns the latest time at which Tick must be called next. It returns
// false while the group has no known upstreams and no waiting calls.
func (scheduler *Scheduler) NextTick(now time.Time) (time.Time, bool) {
	if len(scheduler.upstreamIndices) == 0 && scheduler.queue.Len() == 0 {
		return time.Time{}, false
	}
	next := now.Add(maxTickInterval)
	limitNext := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if id, ok := scheduler.queue.EarliestDeadline(); ok {
		limitNext(scheduler.queue.Entry(id).Deadline)
	}
	if id, ok := scheduler.backoffHeap.Top(); ok {
		limitNext(scheduler.adapters[id].retryAt)
	}
	if scheduler.demandHeap.Len() > 0 {
		if at, ok := scheduler.budget.NextStart(now); ok && at.After(now) {
			limitNext(at)
		}
	}
	for i := range scheduler.upstreams {
		if holdUntil := scheduler.upstreams[i].holdUntil; !holdUntil.IsZero() {
			limitNext(holdUntil)
		}
	}
	return next, true
}
