package scheduler

import "time"

// Tick does the work that is due by the passage of time alone.
func (scheduler *Scheduler) Tick(now time.Time) {
	scheduler.expire(now)
	for i := range scheduler.upstreams {
		at := int32(i)
		scheduler.refresh(at, now)
		scheduler.overdue(at, now)
		upstream := &scheduler.upstreams[at]
		if !upstream.holdUntil.IsZero() && !now.Before(upstream.holdUntil) {
			upstream.holdUntil = time.Time{}
			scheduler.fill(at, now)
		}
	}
	scheduler.settle(now)
}

// settle drops dead work, releases adapters from their backoff and orders loads.
func (scheduler *Scheduler) settle(now time.Time) {
	scheduler.expire(now)
	for {
		id, ok := scheduler.delayed.Top()
		if !ok || scheduler.adapters[id].retryAt.After(now) {
			break
		}
		scheduler.review(id, now)
	}
	scheduler.place(now)
}

// expire refuses the waiting calls whose deadline passed, and all of them if the
// group has had no upstream for too long.
func (scheduler *Scheduler) expire(now time.Time) {
	refusal := refusedDeadline
	absent := !scheduler.hasUpstream(now)
	if absent {
		refusal = refusedAbsent
	}
	suspects := false
	for {
		id, ok := scheduler.queue.Earliest()
		if !ok || !absent && now.Before(scheduler.queue.Entry(id).Deadline) {
			break
		}
		suspects = suspects || scheduler.queue.Entry(id).Suspect
		scheduler.refuse(scheduler.discard(id, now), refusal)
	}
	// A suspect kept an upstream reserved, so others may have waited for it.
	if suspects {
		scheduler.fillAll(now)
	}
}

// overdue ends the loads and evictions of one upstream that were not answered
// within their time limit.
func (scheduler *Scheduler) overdue(at int32, now time.Time) {
	slots := scheduler.upstreams[at].slots
	for i := range slots {
		slot := &slots[i]
		if slot.limit.After(now) {
			continue
		}
		switch slot.state {
		case slotLoading:
			scheduler.settleLoad(slot)
			scheduler.loadFailed(place{at, int32(i)}, slotUncertain, now)
		case slotEvicting:
			scheduler.evictFailed(place{at, int32(i)}, now)
			if scheduler.upstreams[at].usable(now) {
				scheduler.repeatEvict(place{at, int32(i)}, now)
			}
		}
	}
}

// NextTick returns the time at which Tick is wanted at the latest. It returns
// false while nothing is known that time could change.
func (scheduler *Scheduler) NextTick(now time.Time) (time.Time, bool) {
	if len(scheduler.index) == 0 && scheduler.queue.Len() == 0 {
		return time.Time{}, false
	}
	next := now.Add(wakeUp)
	earlier := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if id, ok := scheduler.queue.Earliest(); ok {
		earlier(scheduler.queue.Entry(id).Deadline)
	}
	if id, ok := scheduler.delayed.Top(); ok {
		earlier(scheduler.adapters[id].retryAt)
	}
	if scheduler.demands.Len() > 0 {
		if at, ok := scheduler.budget.Next(now); ok && at.After(now) {
			earlier(at)
		}
	}
	for i := range scheduler.upstreams {
		if hold := scheduler.upstreams[i].holdUntil; !hold.IsZero() {
			earlier(hold)
		}
	}
	return next, true
}
