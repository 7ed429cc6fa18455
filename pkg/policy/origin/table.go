package origin

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// retention is the time for which the origin of a stream is kept. Callers take a broken
	// stream up within the time that they wait for its answer, which is some seconds.
	retention = 2 * time.Minute
	// maxStreams bounds the streams of one table. At the design size a control VM gets the
	// records of 650 streams a second, which fill it in 100 s. An entry has about 200 bytes.
	maxStreams = 65536
	// maxIDLength bounds the ID of a request, which its caller chooses, in bytes. A stream that
	// began with a longer one is not continued for its caller.
	maxIDLength = 128
)

// Origin is the send of a request that brought the first event of a stream, or may have.
type Origin struct {
	Service  core.ServiceID
	Software core.SoftwareVersion
	// Send is the number of the send among those of its request, the first one being 1. Only
	// the last send of a request can have brought events if the sends went to upstreams with
	// different software.
	Send int
}

// Newer reports whether the origin is a later send of the same request.
func (origin Origin) Newer(other Origin) bool { return origin.Send > other.Send }

// entry is the origin of one stream and the time at which it became known.
type entry struct {
	origin Origin
	since  time.Duration
}

// Table holds the origins of the streams that began last, by the request that brought the
// first event. The zero value is empty. Times are readings of a monotonic clock that continues
// while the machine is suspended. A Table is not safe for concurrent use.
type Table struct {
	entries map[core.RequestID]entry
	// order holds the requests in the order in which they became known. Those before first
	// were removed.
	order []core.RequestID
	first int
}

// Add stores the origin of a stream, unless the ID of the request is too long. It keeps a later send of the same request. The oldest
// streams are removed if there are too many.
func (table *Table) Add(now time.Duration, request core.RequestID, origin Origin) {
	table.removeExpired(now)
	if len(request) > maxIDLength {
		return
	}
	if known, ok := table.entries[request]; ok {
		if origin.Newer(known.origin) {
			table.entries[request] = entry{origin, known.since}
		}
		return
	}
	if table.entries == nil {
		table.entries = make(map[core.RequestID]entry)
	}
	for len(table.entries) >= maxStreams {
		table.removeFirst()
	}
	table.entries[request] = entry{origin, now}
	table.order = append(table.order, request)
}

// Find returns the origin of a stream. It returns false if that is not known, or not any more.
func (table *Table) Find(now time.Duration, request core.RequestID) (Origin, bool) {
	known, ok := table.entries[request]
	if !ok || now-known.since >= retention {
		return Origin{}, false
	}
	return known.origin, true
}

// Stream is the origin of the stream of a request.
type Stream struct {
	Request core.RequestID
	Origin  Origin
}

// Recent returns the streams that became known lately, and false if there are more than limit.
func (table *Table) Recent(now time.Duration, limit int) ([]Stream, bool) {
	var recent []Stream
	for _, request := range table.order[table.first:] {
		if known := table.entries[request]; now-known.since < memory {
			if len(recent) == limit {
				return nil, false
			}
			recent = append(recent, Stream{request, known.origin})
		}
	}
	return recent, true
}

// Len returns the number of streams in the table.
func (table *Table) Len() int { return len(table.entries) }

// removeExpired removes the streams that are known for longer than retention.
func (table *Table) removeExpired(now time.Duration) {
	for table.first < len(table.order) && now-table.entries[table.order[table.first]].since >= retention {
		table.removeFirst()
	}
}

// removeFirst removes the stream that has been known for the longest time. It frees the removed
// part of order once that is the larger one.
func (table *Table) removeFirst() {
	delete(table.entries, table.order[table.first])
	table.order[table.first] = ""
	table.first++
	if 2*table.first > len(table.order) {
		table.order = append([]core.RequestID(nil), table.order[table.first:]...)
		table.first = 0
	}
}
