package policy

import (
	"container/heap"
	"time"
)

// epoch is the time at which every simulation starts.
var epoch = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// clock is the virtual clock of a simulation. It runs events in the order of their
// times; events with equal times run in the order in which they were added.
type clock struct {
	now          time.Time
	events       events
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newClock() *clock { return &clock{now: epoch} }

// at schedules run for the given time.
func (clock *clock) at(when time.Time, run func()) {
	clock.lastSequence++
	heap.Push(&clock.events, event{when, clock.lastSequence, run})
}

// after schedules run for the given duration from now.
func (clock *clock) after(wait time.Duration, run func()) { clock.at(clock.now.Add(wait), run) }

// runUntil runs all events up to and including the given time.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.events) > 0 && !clock.events[0].at.After(end) {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.run()
	}
}

// events is a heap with the next event on top.
type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(a, b int) bool {
	if events[a].at.Equal(events[b].at) {
		return events[a].sequence < events[b].sequence
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
