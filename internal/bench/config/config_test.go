package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

// TestWays guards against a measurement that does not tell the ways apart: after a
// cut, push alone leaves nodes behind until the next change.
func TestWays(t *testing.T) {
	is := is.New(t)
	used := measure(24, 70*time.Second, lease.Techniques{})
	push := measure(24, 70*time.Second, lease.Techniques{NoCatchUp: true})
	poll := measure(24, 70*time.Second, lease.Techniques{NoPush: true})
	is.Equal(used.missing, 0)
	is.True(used.slowest < deadline)
	is.True(push.slowest > used.slowest)
	is.True(poll.median > used.median)
	is.Equal(used.changes, push.changes) // the same work for every way
}

// TestOrder guards against events that run before their time or out of order.
func TestOrder(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	events := &events{now: start}
	var seen []time.Duration
	note := func() { seen = append(seen, events.now.Sub(start)) }
	events.after(3*time.Second, note)
	events.after(time.Second, note)
	events.every(2*time.Second, 2*time.Second, note)
	events.until(start.Add(5 * time.Second))
	is.Equal(seen, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second})
}
