package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// memory is the time for which a limit is kept without news of it. Every response of the
	// upstream states it again.
	memory = time.Minute
	// maxEntries bounds the upstreams with a limit.
	maxEntries = 4096
	// rateTolerance is the relative change of a rate from which it is news.
	rateTolerance = 0.05
)

// Process identifies an upstream process.
type Process struct {
	Upstream core.UpstreamID
	Born     int64
}

// Statement is what an upstream process has stated, the given time ago.
type Statement struct {
	Process Process
	Limit   core.RequestLimit
	Age     time.Duration
}

// entry is the state of one upstream process.
type entry struct {
	limit  core.RequestLimit
	at     time.Duration
	bucket Bucket
}

// Table holds the limits of upstreams and the turns that were granted. The zero value is
// ready to use. Times are readings of a monotonic clock that continues while the machine is
// suspended. A Table is not safe for concurrent use.
type Table struct {
	entries map[Process]*entry
	// expired is the time of the last removal of old entries.
	expired time.Duration
}

// Observe stores a statement unless a younger one is known. It returns whether it is news.
func (table *Table) Observe(now time.Duration, statement Statement) bool {
	if table.entries == nil {
		table.entries = make(map[Process]*entry)
	}
	table.expire(now)
	at := now - statement.Age
	current := table.entries[statement.Process]
	if current == nil {
		if len(table.entries) >= maxEntries {
			return false
		}
		current = &entry{at: math.MinInt64}
		table.entries[statement.Process] = current
	}
	if at < current.at {
		return false
	}
	news := Differ(current.limit, statement.Limit)
	if statement.Limit.Rate > current.limit.Rate {
		// The next turn at a rate of zero is seconds away.
		current.bucket.next = min(current.bucket.next, now+Interval(statement.Limit.Rate))
	}
	current.limit, current.at = statement.Limit, at
	return news
}

// Differ reports whether the change from one limit to another is to be reported.
func Differ(before, after core.RequestLimit) bool {
	difference := math.Abs(float64(before.Rate - after.Rate))
	return before.Stated != after.Stated || difference > rateTolerance*float64(before.Rate)
}

// expire removes the entries without news for memory.
func (table *Table) expire(now time.Duration) {
	if now-table.expired < memory/4 {
		return
	}
	table.expired = now
	for process, current := range table.entries {
		if now-current.at >= memory {
			delete(table.entries, process)
		}
	}
}

// Reserve takes the next turn of an upstream process and returns the time until it. If that
// is longer than wait, it takes none and returns false. A process without a limit needs no
// turn.
func (table *Table) Reserve(now time.Duration, process Process, wait time.Duration) (time.Duration, bool) {
	current := table.entries[process]
	if current == nil || !current.limit.Stated {
		return 0, true
	}
	return current.bucket.Reserve(now, Interval(current.limit.Rate), wait)
}

// Statements returns all limits that are known, sorted by upstream.
func (table *Table) Statements(now time.Duration) []Statement {
	var all []Statement
	for process, current := range table.entries {
		all = append(all, Statement{Process: process, Limit: current.limit, Age: now - current.at})
	}
	slices.SortFunc(all, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Process.Upstream, b.Process.Upstream), cmp.Compare(a.Process.Born, b.Process.Born))
	})
	return all
}
