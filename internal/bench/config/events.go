package config

import (
	"container/heap"
	"time"
)

// eventQueue runs functions in the order of their virtual times, and functions with the
// same time in the order in which they were scheduled.
type eventQueue struct {
	now       time.Time
	queue     eventHeap
	scheduled uint64
}

// event is a function scheduled at a virtual time. sequence orders events with the same
// time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (events eventHeap) Len() int      { return len(events) }
func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events eventHeap) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}

// Push appends an event; it is called by package heap.
func (events *eventHeap) Push(item any) { *events = append(*events, item.(event)) }

// Pop removes and returns the last event; it is called by package heap.
func (events *eventHeap) Pop() any {
	last := (*events)[len(*events)-1]
	(*events)[len(*events)-1] = event{}
	*events = (*events)[:len(*events)-1]
	return last
}

// schedule runs a function once, after the given delay.
func (queue *eventQueue) schedule(delay time.Duration, run func()) {
	queue.scheduled++
	heap.Push(&queue.queue, event{queue.now.Add(delay), queue.scheduled, run})
}

// scheduleEvery runs a function periodically, for the first time after the offset.
func (queue *eventQueue) scheduleEvery(offset, interval time.Duration, run func()) {
	queue.schedule(offset, func() {
		run()
		queue.scheduleEvery(interval, interval, run)
	})
}

// runUntil runs all events up to and including the given time and sets the clock to it.
func (queue *eventQueue) runUntil(end time.Time) {
	for len(queue.queue) > 0 && !queue.queue[0].at.After(end) {
		next := heap.Pop(&queue.queue).(event)
		queue.now = next.at
		next.run()
	}
	queue.now = end
}
