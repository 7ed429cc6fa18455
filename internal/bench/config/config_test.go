package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

// TestDistributionVariants guards against a simulation that does not distinguish the
// variants. With push alone, a node that was partitioned stays out of date until the
// next change.
func TestDistributionVariants(t *testing.T) {
	is := is.New(t)
	catchUp := measure(24, 70*time.Second, lease.DeliveryOptions{})
	push := measure(24, 70*time.Second, lease.DeliveryOptions{NoCatchUp: true})
	poll := measure(24, 70*time.Second, lease.DeliveryOptions{NoPush: true})
	is.Equal(catchUp.missing, 0)
	is.True(catchUp.slowest < deadline)
	is.True(push.slowest > catchUp.slowest)
	is.True(poll.median > catchUp.median)
	is.Equal(catchUp.changes, push.changes) // both variants run the same workload
}

// TestOrder guards against events that run early or out of order.
func TestOrder(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := &eventQueue{now: start}
	var seen []time.Duration
	record := func() { seen = append(seen, queue.now.Sub(start)) }
	queue.schedule(3*time.Second, record)
	queue.schedule(time.Second, record)
	queue.scheduleEvery(2*time.Second, 2*time.Second, record)
	queue.runUntil(start.Add(5 * time.Second))
	is.Equal(seen, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second})
}
