package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
)

// LoadAnswered handles the result of a Load. It ignores results for another
// incarnation and for an adapter version that no slot of the engine holds any more.
// A late success for a load that had timed out makes the copy usable.
func (scheduler *Scheduler) LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time) {
	scheduler.expireCalls(now)
	target, ok := scheduler.findSlot(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	scheduler.releaseBudget(slot)
	switch {
	case slot.state == slotLoading && loaded:
		scheduler.loadSucceeded(target, now)
	case slot.state == slotLoading:
		scheduler.loadFailed(target, slotFree, now)
	case slot.state == slotUncertain && loaded:
		scheduler.markResident(target.upstream, target.slot, now)
		scheduler.dispatch(slot.adapter, now)
	}
	scheduler.processDue(now)
}

// loadSucceeded makes a loaded slot resident and sends the calls that wait for it.
func (scheduler *Scheduler) loadSucceeded(target slotRef, now time.Time) {
	upstream := &scheduler.upstreams[target.upstream]
	id := upstream.slots[target.slot].adapter
	upstream.failedLoads = 0
	entry := &scheduler.adapters[id]
	entry.pendingLoads--
	entry.failedLoads, entry.avoidUpstream, entry.retryAt = 0, none, time.Time{}
	scheduler.markResident(target.upstream, target.slot, now)
	scheduler.dispatch(id, now)
}

// loadFailed handles a load that failed or timed out. The slot changes to the given
// state: slotFree, or slotUncertain if the engine may still complete the load. The
// adapter enters backoff, and its waiting calls are refused after too many failures
// if no copy is usable.
func (scheduler *Scheduler) loadFailed(target slotRef, state slotState, now time.Time) {
	upstream := &scheduler.upstreams[target.upstream]
	slot := &upstream.slots[target.slot]
	id := slot.adapter
	entry := &scheduler.adapters[id]
	scheduler.stats.FailedLoads++
	entry.pendingLoads--
	entry.failedLoads++
	entry.avoidUpstream = target.upstream
	entry.retryAt = now.Add(placement.Backoff(entry.failedLoads))
	upstream.failedLoads++
	if upstream.failedLoads >= engineFailureLimit {
		upstream.loadsPausedUntil = now.Add(engineBackoff)
	}
	scheduler.popularity.Hold(id)
	if placement.RetriesExhausted(entry.failedLoads) && len(entry.copies) == 0 {
		scheduler.refuseLane(id, now)
	}
	slot.used = true
	if state == slotFree {
		scheduler.freeSlot(target.upstream, target.slot, now)
	} else {
		slot.state, slot.changedAt, slot.expiresAt = state, now, now.Add(uncertainSlotRetention)
		scheduler.updateHeaps(id, now)
	}
	scheduler.popularity.Release(id)
}

// LoadRefused handles the answer that an engine had no free slot for a Load. The slot
// is not reused for uncertainSlotRetention, because a load that never ended may
// occupy it. The load counts as failed and may be sent to another engine after the backoff of
// its adapter, which is zero for the first failure.
func (scheduler *Scheduler) LoadRefused(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, now time.Time) {
	scheduler.expireCalls(now)
	target, ok := scheduler.findSlot(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	scheduler.releaseBudget(slot)
	if slot.state == slotLoading {
		scheduler.loadFailed(target, slotUncertain, now)
	}
	scheduler.processDue(now)
}

// AdapterMissing handles the answer that an engine refused a call because it does not hold
// the adapter version. The copy is not used until an announcement reports it again.
func (scheduler *Scheduler) AdapterMissing(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, now time.Time) {
	scheduler.expireCalls(now)
	target, ok := scheduler.findSlot(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	if slot.state == slotResident {
		slot.state, slot.changedAt, slot.expiresAt = slotUncertain, now, now
		if scheduler.upstreams[target.upstream].copiesListed {
			scheduler.removeCopy(target.upstream, target.slot, now)
		}
	}
	scheduler.processDue(now)
}

// refuseLane refuses every call that waits for an adapter.
func (scheduler *Scheduler) refuseLane(id int32, now time.Time) {
	for {
		head, ok := scheduler.queue.Head(id)
		if !ok {
			return
		}
		scheduler.refuse(scheduler.removeWaiting(head, now), refusedAdapter)
	}
}

// EvictAnswered handles the result of an Evict, and after a success starts the load
// that the slot was freed for. An engine may still carry out an eviction that failed
// or was not answered, at any time. The copy is therefore never used again, and the
// eviction is requested again until it is confirmed.
func (scheduler *Scheduler) EvictAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, evicted bool, now time.Time) {
	scheduler.expireCalls(now)
	target, ok := scheduler.findSlot(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	if slot.state != slotEvicting {
		return
	}
	if evicted {
		scheduler.evictionSucceeded(target, now)
	} else {
		scheduler.evictionFailed(target, now)
	}
	scheduler.processDue(now)
}

// evictionSucceeded frees a slot and starts the load that waited for the eviction.
func (scheduler *Scheduler) evictionSucceeded(target slotRef, now time.Time) {
	upstream := &scheduler.upstreams[target.upstream]
	slot := &upstream.slots[target.slot]
	nextAdapter := slot.nextAdapter
	scheduler.freeSlot(target.upstream, target.slot, now)
	if nextAdapter == none {
		return
	}
	scheduler.popularity.Hold(nextAdapter)
	scheduler.cancelNextLoad(slot, now)
	if upstream.usable(now) {
		scheduler.sendLoad(nextAdapter, target, now)
	}
	scheduler.popularity.Release(nextAdapter)
}

// evictionFailed cancels the load that waited for an eviction, and sets the time at
// which the eviction is requested again.
func (scheduler *Scheduler) evictionFailed(target slotRef, now time.Time) {
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	slot.changedAt, slot.expiresAt = now, now.Add(evictRetryDelay)
	if slot.nextAdapter != none {
		scheduler.cancelNextLoad(slot, now)
	}
}

// retryEviction requests an eviction again.
func (scheduler *Scheduler) retryEviction(target slotRef, now time.Time) {
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	slot.changedAt, slot.expiresAt = now, now.Add(scheduler.config.LoadLimit)
	scheduler.appendSlotAction(Evict, target.upstream, slot.adapter)
}

// findSlot returns the slot of an engine that holds an adapter version in any state.
// It returns false if there is none or the incarnation is not the current one.
func (scheduler *Scheduler) findSlot(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion) (slotRef, bool) {
	upstreamIndex, known := scheduler.upstreamIndices[id]
	if !known || scheduler.upstreams[upstreamIndex].incarnation != incarnation {
		return slotRef{}, false
	}
	adapterID, known := scheduler.popularity.Find(name)
	if !known {
		return slotRef{}, false
	}
	for i, slot := range scheduler.upstreams[upstreamIndex].slots {
		if slot.adapter == adapterID {
			return slotRef{upstreamIndex, int32(i)}, true
		}
	}
	return slotRef{}, false
}
