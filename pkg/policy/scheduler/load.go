package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
)

// noAdapter is the adapter version of calls that need no adapter.
var noAdapter core.AdapterVersion

// prefetchReserve is the number of load starts in the budget that prefetches leave
// for loads that calls wait for.
const prefetchReserve = 1

// updateHeaps updates the membership and position of one adapter in the heaps from
// its state.
func (scheduler *Scheduler) updateHeaps(id int32, now time.Time) {
	entry := &scheduler.adapters[id]
	if entry.anyUpstream {
		return
	}
	needed := scheduler.needsLoad(id)
	inBackoff := entry.retryAt.After(now)
	if needed && !inBackoff {
		scheduler.updateDemand(id, now)
	}
	updateMembership((*demandOrder)(scheduler), &scheduler.demandHeap, id, entry.demandPosition, needed && !inBackoff)
	updateMembership((*backoffOrder)(scheduler), &scheduler.backoffHeap, id, entry.backoffPosition, needed && inBackoff)
	updateMembership((*coldOrder)(scheduler), &scheduler.coldHeap, id, entry.coldPosition, entry.occupiedSlots == 0 && entry.pendingLoads == 0)
}

// updateMembership adds id to a heap or restores its position there if isMember is
// set, and otherwise removes it. The argument position is its current position in the
// heap, or none.
func updateMembership(order indexheap.Order, heap *indexheap.Heap, id, position int32, isMember bool) {
	switch {
	case isMember && position == none:
		heap.Push(order, id)
	case isMember:
		heap.Fix(order, position)
	case position != none:
		heap.Remove(order, position)
	}
}

// needsLoad reports whether an adapter with waiting calls should be loaded: it has no
// usable copy, or its copies are full and one more would shorten the wait enough. It
// returns false while a load of the adapter is pending.
func (scheduler *Scheduler) needsLoad(id int32) bool {
	entry := &scheduler.adapters[id]
	waiting := scheduler.queue.LaneLen(id)
	if waiting == 0 || entry.pendingLoads > 0 {
		return false
	}
	if len(entry.copies) == 0 {
		return true
	}
	totalBatchSize := 0
	for _, resident := range entry.copies {
		upstream := &scheduler.upstreams[resident.upstream]
		if upstream.load().HasCapacity() {
			return false
		}
		totalBatchSize += upstream.batchSize
	}
	return placement.NeedsExtraCopy(scheduler.latencyModel.QueueDelay(waiting, totalBatchSize), scheduler.budget.ExpectedLoadTime())
}

// updateDemand computes the demand for an adapter from its waiting calls. At least
// one call must wait.
func (scheduler *Scheduler) updateDemand(id int32, now time.Time) {
	entry := &scheduler.adapters[id]
	head, _ := scheduler.queue.Head(id)
	call := scheduler.queue.Entry(head)
	entry.demand = placement.Demand{
		Priority: call.Priority,
		Waiting:  scheduler.queue.LaneLen(id),
		Arrivals: float64(scheduler.popularity.Forecast(id, now)) * scheduler.budget.ExpectedLoadTime().Seconds(),
		Copies:   len(entry.copies),
		Since:    call.Arrived,
	}
}

// startLoads starts the loads that the budget allows, those that calls wait for in
// the order of demandHeap. It stops at an adapter without a copy that no slot can
// take, so that no smaller demand goes first. It prefetches once no demand is left.
func (scheduler *Scheduler) startLoads(now time.Time) {
	for scheduler.budget.Allows(now, 0) {
		id, ok := scheduler.demandHeap.Top()
		if !ok {
			break
		}
		target, ok := scheduler.cheapestSlot(id, scheduler.adapters[id].demand.Work(), now)
		if !ok && scheduler.adapters[id].demand.Copies == 0 {
			return
		}
		if !ok {
			// No slot can take one more copy, so the calls wait for the existing ones.
			scheduler.demandHeap.Remove((*demandOrder)(scheduler), 0)
			continue
		}
		scheduler.requestLoad(id, target, now)
	}
	if scheduler.demandHeap.Len() == 0 {
		scheduler.prefetch(now)
	}
}

// prefetch loads the most popular adapters that are resident nowhere, as long as the
// budget allows more than prefetchReserve starts and placement.ShouldPrefetch holds for the
// adapter and the one that it replaces.
func (scheduler *Scheduler) prefetch(now time.Time) {
	for scheduler.budget.Allows(now, prefetchReserve) {
		id, ok := scheduler.coldHeap.Top()
		if !ok || scheduler.adapters[id].retryAt.After(now) {
			return
		}
		gain := scheduler.popularity.Forecast(id, now)
		if !placement.ShouldPrefetch(gain, 0) {
			return
		}
		target, ok := scheduler.cheapestSlot(id, 0, now)
		if !ok {
			return
		}
		slot := &scheduler.upstreams[target.upstream].slots[target.slot]
		if slot.adapter != none && !placement.ShouldPrefetch(gain, scheduler.popularity.Forecast(slot.adapter, now)) {
			return
		}
		scheduler.stats.Prefetches++
		scheduler.requestLoad(id, target, now)
	}
}

// cheapestSlot returns the slot with the lowest placement.LoadCost for a load of an
// adapter, where work is the number of calls whose wait the load shortens. It returns
// false if no slot can take the adapter.
func (scheduler *Scheduler) cheapestSlot(id int32, work float64, now time.Time) (slotRef, bool) {
	cheapest, cheapestCost := slotRef{none, none}, 0.0
	loadTime := scheduler.budget.ExpectedLoadTime()
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if !scheduler.canLoad(int32(i), id, now) {
			continue
		}
		slot := placement.CandidateSlot{
			FirstToken: scheduler.latencyModel.FirstToken(upstream.load(), 0),
			Fill:       upstream.load().Fill(),
			Avoid:      scheduler.adapters[id].avoidUpstream == int32(i),
		}
		for j := range upstream.slots {
			if !scheduler.canReplace(upstream, &upstream.slots[j]) {
				continue
			}
			slot.Keep, slot.Others = scheduler.copyValue(&upstream.slots[j], now)
			cost := placement.LoadCost(slot, work, loadTime, scheduler.config.Batching)
			if cheapest.upstream == none || cost < cheapestCost {
				cheapest, cheapestCost = slotRef{int32(i), int32(j)}, cost
			}
		}
	}
	return cheapest, cheapest.upstream != none
}

// canLoad reports whether an upstream may be asked to load an adapter: it is usable,
// not in backoff, and no slot of it holds the adapter or is to load it.
func (scheduler *Scheduler) canLoad(upstreamIndex, id int32, now time.Time) bool {
	upstream := &scheduler.upstreams[upstreamIndex]
	if !upstream.copiesListed || !upstream.usable(now) || upstream.loadsPausedUntil.After(now) {
		return false
	}
	for i := range upstream.slots {
		if upstream.slots[i].adapter == id || upstream.slots[i].nextAdapter == id {
			return false
		}
	}
	return true
}

// canReplace reports whether a slot is free or holds a copy that may be evicted. A
// copy may be evicted if it is not pinned, no call waits for its adapter, and the
// engine has sent minEvictAnnouncements.
func (scheduler *Scheduler) canReplace(upstream *upstream, slot *slot) bool {
	switch slot.state {
	case slotFree:
		return true
	case slotResident:
		return upstream.announcements >= minEvictAnnouncements && !slot.pinned() && scheduler.queue.LaneLen(slot.adapter) == 0
	default:
		return false
	}
}

// copyValue returns the expected arrival rate of the adapter in a slot and the number
// of its other copies. Both are zero for a free slot.
func (scheduler *Scheduler) copyValue(slot *slot, now time.Time) (core.RequestsPerSecond, int) {
	if slot.adapter == none {
		return 0, 0
	}
	return scheduler.forecast(slot.adapter, now), len(scheduler.adapters[slot.adapter].copies) - 1
}

// maxForecastAge is the time for which a computed forecast is reused. A forecast
// falls slowly between calls, and computing it for each of 600 slots took 40 us per
// load decision.
const maxForecastAge = 500 * time.Millisecond

// forecast returns the expected arrival rate of an adapter, computed at most
// maxForecastAge ago.
func (scheduler *Scheduler) forecast(id int32, now time.Time) core.RequestsPerSecond {
	entry := &scheduler.adapters[id]
	if entry.forecastAt.IsZero() || now.Sub(entry.forecastAt) > maxForecastAge {
		entry.forecast, entry.forecastAt = scheduler.popularity.Forecast(id, now), now
	}
	return entry.forecast
}

// requestLoad sends a load into a free slot. If the slot holds a copy, it requests
// the eviction of the copy and reserves the load in the budget.
func (scheduler *Scheduler) requestLoad(id int32, target slotRef, now time.Time) {
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	if slot.state == slotFree {
		scheduler.sendLoad(id, target, now)
		return
	}
	scheduler.budget.Reserve()
	scheduler.adapters[id].pendingLoads++
	scheduler.popularity.Hold(id)
	slot.nextAdapter = id
	scheduler.removeCopy(target.upstream, target.slot, now)
	slot.state, slot.changedAt, slot.expiresAt = slotEvicting, now, now.Add(scheduler.config.LoadLimit)
	scheduler.stats.Evictions++
	scheduler.appendSlotAction(Evict, target.upstream, slot.adapter)
	scheduler.updateHeaps(id, now)
}

// sendLoad appends the Load action for a free slot if the budget allows the load.
func (scheduler *Scheduler) sendLoad(id int32, target slotRef, now time.Time) {
	if !scheduler.budget.Take(now) {
		return
	}
	scheduler.adapters[id].pendingLoads++
	scheduler.occupySlot(target.upstream, target.slot, id, slotLoading, now)
	slot := &scheduler.upstreams[target.upstream].slots[target.slot]
	slot.expiresAt, slot.inBudget = now.Add(scheduler.config.LoadLimit), true
	scheduler.stats.Loads++
	scheduler.appendSlotAction(Load, target.upstream, id)
	scheduler.updateHeaps(id, now)
}

// appendSlotAction appends a Load or Evict action for an adapter and the current
// incarnation of an upstream.
func (scheduler *Scheduler) appendSlotAction(kind ActionKind, upstreamIndex, id int32) {
	upstream := &scheduler.upstreams[upstreamIndex]
	scheduler.actions = append(scheduler.actions, Action{
		Kind: kind, Upstream: upstream.id, Incarnation: upstream.incarnation, Adapter: scheduler.popularity.Name(id),
	})
}
