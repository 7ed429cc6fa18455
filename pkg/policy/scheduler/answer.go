package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
)

// LoadAnswered takes in the answer to a Load. Answers for another incarnation, or
// for a slot that was given away since, change nothing.
func (scheduler *Scheduler) LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time) {
	scheduler.expire(now)
	to, ok := scheduler.locate(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	scheduler.settleLoad(slot)
	switch {
	case slot.state == slotLoading && loaded:
		scheduler.loaded(to, now)
	case slot.state == slotLoading:
		scheduler.loadFailed(to, slotFree, now)
	case slot.state == slotUncertain && loaded:
		scheduler.confirm(to.upstream, to.slot, now)
		scheduler.dispatch(slot.adapter, now)
	}
	scheduler.settle(now)
}

func (scheduler *Scheduler) loaded(to place, now time.Time) {
	upstream := &scheduler.upstreams[to.upstream]
	id := upstream.slots[to.slot].adapter
	upstream.failures = 0
	entry := &scheduler.adapters[id]
	entry.loading--
	entry.failures, entry.avoid, entry.retryAt = 0, none, time.Time{}
	scheduler.confirm(to.upstream, to.slot, now)
	scheduler.dispatch(id, now)
}

// loadFailed ends a load that failed or ran out of time. A slot whose load may
// still arrive becomes uncertain instead of free.
func (scheduler *Scheduler) loadFailed(to place, state slotState, now time.Time) {
	upstream := &scheduler.upstreams[to.upstream]
	slot := &upstream.slots[to.slot]
	id := slot.adapter
	entry := &scheduler.adapters[id]
	scheduler.stats.FailedLoads++
	entry.loading--
	entry.failures++
	entry.avoid = to.upstream
	entry.retryAt = now.Add(placement.Backoff(entry.failures))
	upstream.failures++
	if upstream.failures >= engineFailures {
		upstream.loadAfter = now.Add(engineBackoff)
	}
	scheduler.names.Hold(id)
	if placement.GivesUp(entry.failures) && len(entry.copies) == 0 {
		scheduler.refuseLane(id, now)
	}
	slot.used = true
	if state == slotFree {
		scheduler.vacate(to.upstream, to.slot, now)
	} else {
		slot.state, slot.changed, slot.limit = state, now, now.Add(settleAfter)
		scheduler.review(id, now)
	}
	scheduler.names.Release(id)
}

// LoadRefused takes in that an engine had no free slot for a Load. The slot is left
// alone for a while, because a load that never ended may occupy it, and the load
// goes elsewhere at once.
func (scheduler *Scheduler) LoadRefused(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, now time.Time) {
	scheduler.expire(now)
	to, ok := scheduler.locate(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	scheduler.settleLoad(slot)
	if slot.state == slotLoading {
		scheduler.loadFailed(to, slotUncertain, now)
	}
	scheduler.settle(now)
}

// Absent takes in that an engine refused a call because it does not hold the adapter
// version. The copy is not used again before an announcement shows it.
func (scheduler *Scheduler) Absent(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, now time.Time) {
	scheduler.expire(now)
	to, ok := scheduler.locate(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	if slot.state == slotResident {
		slot.state, slot.changed, slot.limit = slotUncertain, now, now
		if scheduler.upstreams[to.upstream].indexed {
			scheduler.unlist(to.upstream, to.slot, now)
		}
	}
	scheduler.settle(now)
}

// refuseLane refuses every call that waits for an adapter.
func (scheduler *Scheduler) refuseLane(id int32, now time.Time) {
	for {
		head, ok := scheduler.queue.Head(id)
		if !ok {
			return
		}
		scheduler.refuse(scheduler.discard(head, now), refusedAdapter)
	}
}

// EvictAnswered takes in the answer to an Evict, and starts the load that the
// slot was emptied for. An eviction that failed or was not answered may still be
// carried out at any time, so its copy is never used again and the order is
// repeated until it is confirmed.
func (scheduler *Scheduler) EvictAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, evicted bool, now time.Time) {
	scheduler.expire(now)
	to, ok := scheduler.locate(id, incarnation, name)
	if !ok {
		return
	}
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	if slot.state != slotEvicting {
		return
	}
	if evicted {
		scheduler.evicted(to, now)
	} else {
		scheduler.evictFailed(to, now)
	}
	scheduler.settle(now)
}

func (scheduler *Scheduler) evicted(to place, now time.Time) {
	upstream := &scheduler.upstreams[to.upstream]
	slot := &upstream.slots[to.slot]
	next := slot.next
	scheduler.vacate(to.upstream, to.slot, now)
	if next == none {
		return
	}
	scheduler.names.Hold(next)
	scheduler.abandonNext(slot, now)
	if upstream.usable(now) {
		scheduler.load(next, to, now)
	}
	scheduler.names.Release(next)
}

func (scheduler *Scheduler) evictFailed(to place, now time.Time) {
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	slot.changed, slot.limit = now, now.Add(evictRetry)
	if slot.next != none {
		scheduler.abandonNext(slot, now)
	}
}

// repeatEvict orders an eviction again.
func (scheduler *Scheduler) repeatEvict(to place, now time.Time) {
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	slot.changed, slot.limit = now, now.Add(scheduler.config.LoadLimit)
	scheduler.emit(Evict, to.upstream, slot.adapter)
}

// locate returns the slot of an engine that holds an adapter version in any state.
func (scheduler *Scheduler) locate(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion) (place, bool) {
	at, known := scheduler.index[id]
	if !known || scheduler.upstreams[at].incarnation != incarnation {
		return place{}, false
	}
	adapter, known := scheduler.names.Find(name)
	if !known {
		return place{}, false
	}
	for i, slot := range scheduler.upstreams[at].slots {
		if slot.adapter == adapter {
			return place{at, int32(i)}, true
		}
	}
	return place{}, false
}
