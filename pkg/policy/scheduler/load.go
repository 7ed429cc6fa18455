package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
)

// noAdapter is the name under which calls without an adapter wait.
var noAdapter core.AdapterVersion

// prefetchReserve is the number of load starts that prefetches leave for calls
// that wait.
const prefetchReserve = 1

// review brings the heaps in line with the state of one adapter.
func (scheduler *Scheduler) review(id int32, now time.Time) {
	entry := &scheduler.adapters[id]
	if entry.anywhere {
		return
	}
	wanted := scheduler.wanted(id)
	late := entry.retryAt.After(now)
	if wanted && !late {
		scheduler.describe(id, now)
	}
	member((*demandOrder)(scheduler), &scheduler.demands, id, entry.demandAt, wanted && !late)
	member((*delayedOrder)(scheduler), &scheduler.delayed, id, entry.delayedAt, wanted && late)
	member((*coldOrder)(scheduler), &scheduler.cold, id, entry.coldAt, entry.occupied == 0 && entry.loading == 0)
}

// member makes id a member of a heap, or not, and restores the order.
func member(order indexheap.Order, heap *indexheap.Heap, id, at int32, want bool) {
	switch {
	case want && at == none:
		heap.Push(order, id)
	case want:
		heap.Fix(order, at)
	case at != none:
		heap.Remove(order, at)
	}
}

// wanted reports whether calls wait for a load of an adapter.
func (scheduler *Scheduler) wanted(id int32) bool {
	entry := &scheduler.adapters[id]
	waiting := scheduler.queue.LaneLen(id)
	if waiting == 0 || entry.loading > 0 {
		return false
	}
	if len(entry.copies) == 0 {
		return true
	}
	batch := 0
	for _, copied := range entry.copies {
		upstream := &scheduler.upstreams[copied.upstream]
		if upstream.load().Room() {
			return false
		}
		batch += upstream.batch
	}
	return placement.WantsCopy(scheduler.model.Drain(waiting, batch), scheduler.budget.Expected())
}

func (scheduler *Scheduler) describe(id int32, now time.Time) {
	entry := &scheduler.adapters[id]
	head, _ := scheduler.queue.Head(id)
	call := scheduler.queue.Entry(head)
	entry.demand = placement.Demand{
		Priority: call.Priority,
		Waiting:  scheduler.queue.LaneLen(id),
		Arrivals: float64(scheduler.names.Forecast(id, now)) * scheduler.budget.Expected().Seconds(),
		Copies:   len(entry.copies),
		Since:    call.Arrived,
	}
}

// place orders the loads that the budget allows: those that calls wait for, then
// prefetches.
func (scheduler *Scheduler) place(now time.Time) {
	for scheduler.budget.Allows(now, 0) {
		id, ok := scheduler.demands.Top()
		if !ok {
			break
		}
		to, ok := scheduler.site(id, scheduler.adapters[id].demand.Work(), now)
		if !ok && scheduler.adapters[id].demand.Copies == 0 {
			return
		}
		if !ok {
			// One more copy finds no place; its calls are served where they are.
			scheduler.demands.Remove((*demandOrder)(scheduler), 0)
			continue
		}
		scheduler.order(id, to, now)
	}
	if scheduler.demands.Len() == 0 {
		scheduler.prefetch(now)
	}
}

// prefetch loads the most popular adapters that are resident nowhere while the
// budget has starts to spare and the gain is clear.
func (scheduler *Scheduler) prefetch(now time.Time) {
	for scheduler.budget.Allows(now, prefetchReserve) {
		id, ok := scheduler.cold.Top()
		if !ok || scheduler.adapters[id].retryAt.After(now) {
			return
		}
		gain := scheduler.names.Forecast(id, now)
		if !placement.Worth(gain, 0) {
			return
		}
		to, ok := scheduler.site(id, 0, now)
		if !ok {
			return
		}
		slot := &scheduler.upstreams[to.upstream].slots[to.slot]
		if slot.adapter != none && !placement.Worth(gain, scheduler.names.Forecast(slot.adapter, now)) {
			return
		}
		scheduler.stats.Prefetches++
		scheduler.order(id, to, now)
	}
}

// site returns the cheapest slot for an adapter.
func (scheduler *Scheduler) site(id int32, work float64, now time.Time) (place, bool) {
	best, bestCost := place{none, none}, 0.0
	load := scheduler.budget.Expected()
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if !scheduler.loadable(int32(i), id, now) {
			continue
		}
		site := placement.Site{
			FirstToken: scheduler.model.FirstToken(upstream.load(), 0),
			Fill:       upstream.load().Fill(),
			Avoid:      scheduler.adapters[id].avoid == int32(i),
		}
		for j := range upstream.slots {
			if !scheduler.replaceable(upstream, &upstream.slots[j]) {
				continue
			}
			site.Keep, site.Others = scheduler.worth(&upstream.slots[j], now)
			cost := placement.Cost(site, work, load, scheduler.config.Batching)
			if best.upstream == none || cost < bestCost {
				best, bestCost = place{int32(i), int32(j)}, cost
			}
		}
	}
	return best, best.upstream != none
}

// loadable reports whether an upstream may be asked to load an adapter.
func (scheduler *Scheduler) loadable(at, id int32, now time.Time) bool {
	upstream := &scheduler.upstreams[at]
	if !upstream.indexed || !upstream.usable(now) || upstream.loadAfter.After(now) {
		return false
	}
	for i := range upstream.slots {
		if upstream.slots[i].adapter == id || upstream.slots[i].next == id {
			return false
		}
	}
	return true
}

// replaceable reports whether a slot may be given to another adapter.
func (scheduler *Scheduler) replaceable(upstream *upstream, slot *slot) bool {
	switch slot.state {
	case slotFree:
		return true
	case slotResident:
		return upstream.announcements >= evictAfter && !slot.pinned() && scheduler.queue.LaneLen(slot.adapter) == 0
	default:
		return false
	}
}

func (scheduler *Scheduler) worth(slot *slot, now time.Time) (core.RequestsPerSecond, int) {
	if slot.adapter == none {
		return 0, 0
	}
	return scheduler.forecast(slot.adapter, now), len(scheduler.adapters[slot.adapter].copies) - 1
}

// forecastAge is how long a forecast is used again. It falls slowly between calls,
// and computing it for each of 600 slots took 40 us per load decision.
const forecastAge = 500 * time.Millisecond

// forecast returns the expected arrival rate of an adapter.
func (scheduler *Scheduler) forecast(id int32, now time.Time) core.RequestsPerSecond {
	entry := &scheduler.adapters[id]
	if entry.forecastAt.IsZero() || now.Sub(entry.forecastAt) > forecastAge {
		entry.forecast, entry.forecastAt = scheduler.names.Forecast(id, now), now
	}
	return entry.forecast
}

// order starts a load, after an eviction if the slot is taken.
func (scheduler *Scheduler) order(id int32, to place, now time.Time) {
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	if slot.state == slotFree {
		scheduler.load(id, to, now)
		return
	}
	scheduler.budget.Reserve()
	scheduler.adapters[id].loading++
	scheduler.names.Hold(id)
	slot.next = id
	scheduler.unlist(to.upstream, to.slot, now)
	slot.state, slot.changed, slot.limit = slotEvicting, now, now.Add(scheduler.config.LoadLimit)
	scheduler.stats.Evictions++
	scheduler.emit(Evict, to.upstream, slot.adapter)
	scheduler.review(id, now)
}

// load sends the order for a load into a free slot, if the budget still allows it.
func (scheduler *Scheduler) load(id int32, to place, now time.Time) {
	if !scheduler.budget.Take(now) {
		return
	}
	scheduler.adapters[id].loading++
	scheduler.occupy(to.upstream, to.slot, id, slotLoading, now)
	slot := &scheduler.upstreams[to.upstream].slots[to.slot]
	slot.limit, slot.counted = now.Add(scheduler.config.LoadLimit), true
	scheduler.stats.Loads++
	scheduler.emit(Load, to.upstream, id)
	scheduler.review(id, now)
}

func (scheduler *Scheduler) emit(kind ActionKind, at, id int32) {
	upstream := &scheduler.upstreams[at]
	scheduler.actions = append(scheduler.actions, Action{
		Kind: kind, Upstream: upstream.id, Incarnation: upstream.incarnation, Adapter: scheduler.names.Name(id),
	})
}
