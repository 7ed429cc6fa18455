package scheduler

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

type slotState uint8

const (
	slotFree slotState = iota
	slotLoading
	slotResident
	slotEvicting
	// slotUncertain is a slot whose last order has no answer, or whose adapter the
	// engine no longer reports. A later announcement settles it.
	slotUncertain
)

// slot is one place for an adapter on an engine.
type slot struct {
	state   slotState
	adapter int32
	// next is loaded once the present adapter is evicted.
	next int32
	// pins counts the owner's calls that were assigned and have not ended. foreign
	// counts calls that announcements showed and whose end the owner cannot know.
	pins    int
	foreign int
	// foreignAt is the time since when the foreign calls are known.
	foreignAt time.Time
	// changed is the time of the last order or answer.
	changed time.Time
	// limit is the time until which a load or an eviction must be answered, and the
	// time before which an uncertain slot is not free.
	limit time.Time
	// used is set once a call ran on the copy.
	used bool
	// counted is set while the load occupies a place of the budget.
	counted bool
}

func (slot *slot) pinned() bool { return slot.pins > 0 || slot.foreign > 0 }

// occupy gives a slot to an adapter.
func (scheduler *Scheduler) occupy(at, index, id int32, state slotState, now time.Time) {
	slot := &scheduler.upstreams[at].slots[index]
	slot.adapter, slot.state, slot.changed, slot.used = id, state, now, false
	scheduler.names.Hold(id)
	scheduler.adapters[id].occupied++
}

// vacate frees a slot. The caller has unlisted it.
func (scheduler *Scheduler) vacate(at, index int32, now time.Time) {
	slot := &scheduler.upstreams[at].slots[index]
	id := slot.adapter
	if !slot.used {
		scheduler.stats.WastedLoads++
	}
	scheduler.upstreams[at].emptied = now
	slot.adapter, slot.state, slot.changed = none, slotFree, now
	slot.foreign = 0
	scheduler.adapters[id].occupied--
	scheduler.review(id, now)
	scheduler.names.Release(id)
}

// list adds a resident slot of a usable upstream to the copies of its adapter.
func (scheduler *Scheduler) list(at, index int32, now time.Time) {
	id := scheduler.upstreams[at].slots[index].adapter
	entry := &scheduler.adapters[id]
	if len(entry.copies) == 0 {
		entry.available = now
	}
	entry.copies = append(entry.copies, place{at, index})
	scheduler.review(id, now)
}

func (scheduler *Scheduler) unlist(at, index int32, now time.Time) {
	id := scheduler.upstreams[at].slots[index].adapter
	entry := &scheduler.adapters[id]
	for i, copied := range entry.copies {
		if copied == (place{at, index}) {
			last := len(entry.copies) - 1
			entry.copies[i] = entry.copies[last]
			entry.copies = entry.copies[:last]
			break
		}
	}
	scheduler.review(id, now)
}

// confirm makes a slot resident after the engine said so.
func (scheduler *Scheduler) confirm(at, index int32, now time.Time) {
	upstream := &scheduler.upstreams[at]
	slot := &upstream.slots[index]
	slot.state, slot.changed = slotResident, now
	if upstream.indexed {
		scheduler.list(at, index, now)
	}
}

// clearSlots ends an incarnation: every slot is empty and every pin is gone.
func (scheduler *Scheduler) clearSlots(at int32, now time.Time) {
	slots := scheduler.upstreams[at].slots
	for i := range slots {
		slot := &slots[i]
		scheduler.settleLoad(slot)
		if slot.next != none {
			scheduler.abandonNext(slot, now)
		}
		if slot.adapter == none {
			continue
		}
		if slot.state == slotLoading {
			scheduler.adapters[slot.adapter].loading--
		}
		slot.pins = 0
		scheduler.vacate(at, int32(i), now)
	}
}

// abandonNext ends the reservation of the load that follows an eviction.
func (scheduler *Scheduler) abandonNext(slot *slot, now time.Time) {
	id := slot.next
	slot.next = none
	scheduler.budget.Unreserve()
	scheduler.adapters[id].loading--
	scheduler.review(id, now)
	scheduler.names.Release(id)
}

// settleLoad returns the place of a load in the budget.
func (scheduler *Scheduler) settleLoad(slot *slot) {
	if slot.counted {
		slot.counted = false
		scheduler.budget.Done()
	}
}

// reconcile compares the slots with an announcement. Slots that were changed by
// an order after the report was made keep their state.
func (scheduler *Scheduler) reconcile(at int32, announcement *core.Announcement, now time.Time) {
	report := now.Add(-announcement.ReportAge - reportMargin)
	scheduler.note(announcement.Resident)
	slots := scheduler.upstreams[at].slots
	for i := range slots {
		slot := &slots[i]
		if slot.adapter == none {
			continue
		}
		running, resident := scheduler.reported[slot.adapter]
		delete(scheduler.reported, slot.adapter)
		if slot.changed.After(report) {
			continue
		}
		scheduler.correct(at, int32(i), resident, now)
		if slot.foreign > 0 && !slot.foreignAt.After(report) {
			slot.foreign = min(slot.foreign, running)
		}
	}
	// A report from before an eviction may still show the evicted adapter.
	if scheduler.upstreams[at].emptied.After(report) {
		return
	}
	for _, resident := range announcement.Resident {
		scheduler.adopt(at, resident, now)
	}
}

// note enters the adapters of a report into reported, with the calls that run. The
// ids may be new; they are held by no slot until adopt.
func (scheduler *Scheduler) note(list []core.Resident) {
	clear(scheduler.reported)
	for _, resident := range list {
		if id := scheduler.adapter(resident.AdapterVersion); id != none {
			scheduler.reported[id] = resident.Running
		}
	}
}

// correct sets a slot to what the engine reports.
func (scheduler *Scheduler) correct(at, index int32, resident bool, now time.Time) {
	slot := &scheduler.upstreams[at].slots[index]
	switch {
	case slot.state == slotUncertain && resident:
		scheduler.confirm(at, index, now)
	case slot.state == slotEvicting && !resident && slot.next == none:
		scheduler.vacate(at, index, now)
	case slot.state == slotUncertain && slot.pins == 0 && !slot.limit.After(now):
		scheduler.vacate(at, index, now)
	case slot.state == slotResident && !resident:
		slot.state, slot.limit = slotUncertain, now
		if scheduler.upstreams[at].indexed {
			scheduler.unlist(at, index, now)
		}
		if slot.pins == 0 {
			scheduler.vacate(at, index, now)
		}
	}
}

// adopt takes over a copy that no slot holds, such as one from before this VM owned
// the group.
func (scheduler *Scheduler) adopt(at int32, resident core.Resident, now time.Time) {
	id, known := scheduler.names.Find(resident.AdapterVersion)
	if !known {
		return
	}
	if _, unheld := scheduler.reported[id]; !unheld {
		return
	}
	delete(scheduler.reported, id)
	slots := scheduler.upstreams[at].slots
	vacant := slices.IndexFunc(slots, func(slot slot) bool { return slot.state == slotFree })
	if vacant < 0 {
		return
	}
	scheduler.occupy(at, int32(vacant), id, slotUncertain, now)
	slot := &slots[vacant]
	slot.foreign, slot.foreignAt, slot.used = resident.Running, now, true
	scheduler.confirm(at, int32(vacant), now)
}
