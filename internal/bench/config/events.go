package config

import (
	"container/heap"
	"time"
)

// events runs functions in the order of their virtual times.
type events struct {
	now   time.Time
	queue queue
	count uint64
}

type event struct {
	at    time.Time
	count uint64
	run   func()
}

type queue []event

func (queue queue) Len() int      { return len(queue) }
func (queue queue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

func (queue queue) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].count < queue[j].count
	}
	return queue[i].at.Before(queue[j].at)
}

// Push appends an event.
func (queue *queue) Push(item any) { *queue = append(*queue, item.(event)) }

// Pop removes the last event.
func (queue *queue) Pop() any {
	last := (*queue)[len(*queue)-1]
	(*queue)[len(*queue)-1] = event{}
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// after runs a function after the given time.
func (events *events) after(delay time.Duration, run func()) {
	events.count++
	heap.Push(&events.queue, event{events.now.Add(delay), events.count, run})
}

// every runs a function at regular times, the first after the offset.
func (events *events) every(offset, interval time.Duration, run func()) {
	events.after(offset, func() {
		run()
		events.every(interval, interval, run)
	})
}

// until runs all events up to the given time.
func (events *events) until(end time.Time) {
	for len(events.queue) > 0 && !events.queue[0].at.After(end) {
		next := heap.Pop(&events.queue).(event)
		events.now = next.at
		next.run()
	}
	events.now = end
}
