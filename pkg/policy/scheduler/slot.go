package scheduler

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// slotState is the state of a slot as the scheduler knows it.
type slotState uint8

const (
	slotFree slotState = iota
	slotLoading
	slotResident
	slotEvicting
	// slotUncertain means that the engine may or may not hold the adapter: the last
	// load was not answered, the engine had no free slot for it, or the engine denied
	// or no longer reports that it holds the adapter. An answer or a later
	// announcement resolves the state.
	slotUncertain
)

// slot holds the state of one adapter slot of an engine.
type slot struct {
	state   slotState
	adapter int32
	// nextAdapter is loaded once the current adapter is evicted.
	nextAdapter int32
	// pins counts the owner's calls that were assigned to the slot and have not ended.
	// untrackedCalls counts the calls that may run but whose end the owner will not
	// see: those that an announcement showed when the copy was adopted, and those
	// whose connection was lost.
	pins           int
	untrackedCalls int
	// untrackedSince is the time of the last increase of untrackedCalls.
	untrackedSince time.Time
	// changedAt is the time of the last request to the engine, answer, or change of
	// state for the slot.
	changedAt time.Time
	// expiresAt is the time at which a load fails or an eviction is requested again
	// unless it was answered, and until which an uncertain slot is not freed.
	expiresAt time.Time
	// used is set once a call was assigned to the copy, and for copies that do not
	// count as wasted loads: failed and adopted ones.
	used bool
	// inBudget is set while the load is counted as in transit by the budget.
	inBudget bool
}

// pinned reports whether a call may still run on the copy.
func (slot *slot) pinned() bool { return slot.pins > 0 || slot.untrackedCalls > 0 }

// occupySlot puts an adapter into a free slot with the given state.
func (scheduler *Scheduler) occupySlot(upstreamIndex, slotIndex, id int32, state slotState, now time.Time) {
	slot := &scheduler.upstreams[upstreamIndex].slots[slotIndex]
	slot.adapter, slot.state, slot.changedAt, slot.used = id, state, now, false
	scheduler.popularity.Hold(id)
	scheduler.adapters[id].occupiedSlots++
}

// freeSlot makes a slot free. The caller must have called removeCopy if the slot was
// among the copies of its adapter.
func (scheduler *Scheduler) freeSlot(upstreamIndex, slotIndex int32, now time.Time) {
	slot := &scheduler.upstreams[upstreamIndex].slots[slotIndex]
	id := slot.adapter
	if !slot.used {
		scheduler.stats.WastedLoads++
	}
	scheduler.upstreams[upstreamIndex].slotFreedAt = now
	slot.adapter, slot.state, slot.changedAt = none, slotFree, now
	slot.untrackedCalls = 0
	scheduler.adapters[id].occupiedSlots--
	scheduler.updateHeaps(id, now)
	scheduler.popularity.Release(id)
}

// addCopy adds a resident slot of a usable upstream to the copies of its adapter.
func (scheduler *Scheduler) addCopy(upstreamIndex, slotIndex int32, now time.Time) {
	id := scheduler.upstreams[upstreamIndex].slots[slotIndex].adapter
	entry := &scheduler.adapters[id]
	if len(entry.copies) == 0 {
		entry.residentSince = now
	}
	entry.copies = append(entry.copies, slotRef{upstreamIndex, slotIndex})
	scheduler.updateHeaps(id, now)
}

// removeCopy removes a slot from the copies of its adapter.
func (scheduler *Scheduler) removeCopy(upstreamIndex, slotIndex int32, now time.Time) {
	id := scheduler.upstreams[upstreamIndex].slots[slotIndex].adapter
	entry := &scheduler.adapters[id]
	for i, candidate := range entry.copies {
		if candidate == (slotRef{upstreamIndex, slotIndex}) {
			last := len(entry.copies) - 1
			entry.copies[i] = entry.copies[last]
			entry.copies = entry.copies[:last]
			break
		}
	}
	scheduler.updateHeaps(id, now)
}

// markResident makes a slot resident after the engine confirmed the load or reported
// the adapter.
func (scheduler *Scheduler) markResident(upstreamIndex, slotIndex int32, now time.Time) {
	upstream := &scheduler.upstreams[upstreamIndex]
	slot := &upstream.slots[slotIndex]
	slot.state, slot.changedAt = slotResident, now
	if upstream.copiesListed {
		scheduler.addCopy(upstreamIndex, slotIndex, now)
	}
}

// clearSlots frees every slot of an upstream and removes the pins, because the
// incarnation has ended.
func (scheduler *Scheduler) clearSlots(upstreamIndex int32, now time.Time) {
	slots := scheduler.upstreams[upstreamIndex].slots
	for i := range slots {
		slot := &slots[i]
		scheduler.releaseBudget(slot)
		if slot.nextAdapter != none {
			scheduler.cancelNextLoad(slot, now)
		}
		if slot.adapter == none {
			continue
		}
		if slot.state == slotLoading {
			scheduler.adapters[slot.adapter].pendingLoads--
		}
		slot.pins = 0
		scheduler.freeSlot(upstreamIndex, int32(i), now)
	}
}

// cancelNextLoad removes the load that follows the eviction of a slot, together with
// its reservation in the budget.
func (scheduler *Scheduler) cancelNextLoad(slot *slot, now time.Time) {
	id := slot.nextAdapter
	slot.nextAdapter = none
	scheduler.budget.Unreserve()
	scheduler.adapters[id].pendingLoads--
	scheduler.updateHeaps(id, now)
	scheduler.popularity.Release(id)
}

// releaseBudget ends the load of a slot in the budget. It does nothing if the budget
// does not count the load.
func (scheduler *Scheduler) releaseBudget(slot *slot) {
	if slot.inBudget {
		slot.inBudget = false
		scheduler.budget.EndLoad()
	}
}

// reconcile updates the slots of an upstream from an announcement. Slots that were
// changed after the load report was made keep their state.
func (scheduler *Scheduler) reconcile(upstreamIndex int32, announcement *core.Announcement, now time.Time) {
	reportedAt := now.Add(-announcement.ReportAge - reportDelayMargin)
	scheduler.collectReported(announcement.Resident)
	slots := scheduler.upstreams[upstreamIndex].slots
	for i := range slots {
		slot := &slots[i]
		if slot.adapter == none {
			continue
		}
		running, resident := scheduler.reportedRunning[slot.adapter]
		delete(scheduler.reportedRunning, slot.adapter)
		if slot.changedAt.After(reportedAt) {
			continue
		}
		scheduler.reconcileSlot(upstreamIndex, int32(i), resident, now)
		if slot.untrackedCalls > 0 && !slot.untrackedSince.After(reportedAt) {
			slot.untrackedCalls = min(slot.untrackedCalls, running)
		}
	}
	// A report that was made before an eviction may still list the evicted adapter.
	if scheduler.upstreams[upstreamIndex].slotFreedAt.After(reportedAt) {
		return
	}
	for _, resident := range announcement.Resident {
		scheduler.adoptCopy(upstreamIndex, resident, now)
	}
}

// collectReported fills reportedRunning from the adapters of a load report and their
// numbers of running calls. Adapter versions that are new get an id, which no slot
// holds before adoptCopy.
func (scheduler *Scheduler) collectReported(list []core.Resident) {
	clear(scheduler.reportedRunning)
	for _, resident := range list {
		if id := scheduler.adapterID(resident.AdapterVersion); id != none {
			scheduler.reportedRunning[id] = resident.Running
		}
	}
}

// reconcileSlot updates the state of a slot from a load report. The argument resident
// tells whether the report lists the adapter of the slot.
func (scheduler *Scheduler) reconcileSlot(upstreamIndex, slotIndex int32, resident bool, now time.Time) {
	slot := &scheduler.upstreams[upstreamIndex].slots[slotIndex]
	switch {
	case slot.state == slotUncertain && resident:
		scheduler.markResident(upstreamIndex, slotIndex, now)
	case slot.state == slotEvicting && !resident && slot.nextAdapter == none:
		scheduler.freeSlot(upstreamIndex, slotIndex, now)
	case slot.state == slotUncertain && slot.pins == 0 && !slot.expiresAt.After(now):
		scheduler.freeSlot(upstreamIndex, slotIndex, now)
	case slot.state == slotResident && !resident:
		slot.state, slot.expiresAt = slotUncertain, now
		if scheduler.upstreams[upstreamIndex].copiesListed {
			scheduler.removeCopy(upstreamIndex, slotIndex, now)
		}
		if slot.pins == 0 {
			scheduler.freeSlot(upstreamIndex, slotIndex, now)
		}
	}
}

// adoptCopy assigns a free slot to a reported adapter that no slot holds, such as one
// that was loaded before this VM owned the group.
func (scheduler *Scheduler) adoptCopy(upstreamIndex int32, resident core.Resident, now time.Time) {
	id, known := scheduler.popularity.Find(resident.AdapterVersion)
	if !known {
		return
	}
	if _, unheld := scheduler.reportedRunning[id]; !unheld {
		return
	}
	delete(scheduler.reportedRunning, id)
	slots := scheduler.upstreams[upstreamIndex].slots
	freeIndex := slices.IndexFunc(slots, func(slot slot) bool { return slot.state == slotFree })
	if freeIndex < 0 {
		return
	}
	scheduler.occupySlot(upstreamIndex, int32(freeIndex), id, slotUncertain, now)
	slot := &slots[freeIndex]
	slot.untrackedCalls, slot.untrackedSince, slot.used = resident.Running, now, true
	scheduler.markResident(upstreamIndex, int32(freeIndex), now)
}
