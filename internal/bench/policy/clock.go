package policy

import (
	"container/heap"
	"time"
)

// epoch is the start of every run on the virtual clock.
var epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// clock runs events in the order of their times, and in the order in which they
// were added for equal times.
type clock struct {
	now    time.Time
	events events
	added  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

func newClock() *clock { return &clock{now: epoch} }

func (clock *clock) at(when time.Time, run func()) {
	clock.added++
	heap.Push(&clock.events, event{when, clock.added, run})
}

func (clock *clock) after(wait time.Duration, run func()) { clock.at(clock.now.Add(wait), run) }

// until runs all events up to the given time.
func (clock *clock) until(end time.Time) {
	for len(clock.events) > 0 && !clock.events[0].at.After(end) {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.run()
	}
}

type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(a, b int) bool {
	if events[a].at.Equal(events[b].at) {
		return events[a].order < events[b].order
	}
	return events[a].at.Before(events[b].at)
}

func (events events) Swap(a, b int) { events[a], events[b] = events[b], events[a] }

func (events *events) Push(added any) { *events = append(*events, added.(event)) }

func (events *events) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	(*events)[last] = event{}
	*events = (*events)[:last]
	return popped
}
