package h1

import (
	"fmt"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Bounds of the head of a response. An upstream may send bytes without end until the
// connection is closed, and the memory of a VM holds some hundred connections.
const (
	// maxHeadBytes bounds the status line and the headers of one response.
	maxHeadBytes = 16 << 10
	// maxLineBytes bounds one line of a head.
	maxLineBytes = 8 << 10
	// maxHeadLines bounds the lines of a head.
	maxHeadLines = 128
	// maxInformational bounds the informational responses (1xx) before a response.
	maxInformational = 4
)

// BoundError reports a response, or the body of a request, that exceeds a bound on what is
// read. The connection must be closed.
type BoundError struct {
	// Part is the part of the message that is too large, and Unit what is counted in it.
	Part, Unit string
	Limit      int64
}

// overBound counts the messages that exceeded a bound.
var overBound = telemetry.NewCounterFamily("dandelionring_messages_over_bound_total", "part", "unit")

// NewBoundError returns a BoundError and counts it in the metrics.
func NewBoundError(part, unit string, limit int64) *BoundError {
	overBound.Inc(part, unit)
	return &BoundError{Part: part, Unit: unit, Limit: limit}
}

// CountOverBound counts in the metrics what exceeded a bound without being a BoundError.
func CountOverBound(part, unit string) { overBound.Inc(part, unit) }

// Error returns the part and its bound.
func (err *BoundError) Error() string {
	return fmt.Sprintf("the %s of the message has more than %d %s", err.Part, err.Limit, err.Unit)
}

// ErrMemory is returned if the memory for bodies is used up.
var ErrMemory = errors.New("the memory for bodies is used up")

// DefaultMemory is the limit of a Memory whose Limit is zero. It leaves an entry VM of
// 184 MB enough for its connections and tables.
const DefaultMemory core.Bytes = 32 << 20

const (
	// smallBody is the size in bytes up to which a body is counted apart, so that large bodies
	// that use the memory up leave room for the usual ones.
	smallBody = 16 << 10
	// smallShare is the part of the limit, as 1/n, that small bodies, and the beginnings of
	// large ones, may take beside it. Without a limit of their own, 4,000 callers with 16 KiB
	// each would take 64 MB.
	smallShare = 4
)

// Memory limits the bytes of bodies that are held at the same time. The zero value has the
// limit DefaultMemory. Its methods are safe for concurrent use.
type Memory struct {
	// Limit is the largest number of bytes, DefaultMemory if it is zero. A quarter of it comes
	// on top for the first 16 KiB of all bodies.
	Limit       core.Bytes
	used, small atomic.Int64
}

// limit returns the limit in force.
func (memory *Memory) limit() int64 {
	if memory.Limit == 0 {
		return int64(DefaultMemory)
	}
	return int64(memory.Limit)
}

// Reserve returns a reservation of no bytes and a function that frees what it has grown to.
func (memory *Memory) Reserve() (*Reservation, func()) {
	reservation := &Reservation{memory: memory}
	return reservation, reservation.release
}

// Reservation is the part of a Memory that one request holds. It is not safe for
// concurrent use.
type Reservation struct {
	memory *Memory
	// bytes and small are what the reservation takes of the limit and of the part for small
	// bodies.
	bytes, small int64
}

// Hold makes the reservation hold what a buffer of a stream exceeds 16 KiB, the capacity in
// bytes. The rest is bounded by the number of streams, and usual events must pass also while the
// memory is used up. The reservation does not shrink. It returns ErrMemory, and changes nothing,
// if the memory is used up.
func (reservation *Reservation) Hold(capacity int) error {
	added := int64(capacity) - smallBody - reservation.bytes
	if added <= 0 {
		return nil
	}
	if !reservation.growLarge(added) {
		return ErrMemory
	}
	return nil
}

// growLarge adds bytes to what the reservation takes of the limit. It returns false and adds
// nothing if the memory is used up.
func (reservation *Reservation) growLarge(bytes int64) bool {
	if reservation.memory.used.Add(bytes) > reservation.memory.limit() {
		reservation.memory.used.Add(-bytes)
		return false
	}
	reservation.bytes += bytes
	return true
}

// grow adds bytes of a body to the reservation, first to the part for small bodies. It returns
// false and adds nothing if the memory is used up.
func (reservation *Reservation) grow(bytes int64) bool {
	memory := reservation.memory
	small := min(bytes, smallBody-reservation.small)
	if small > 0 && memory.small.Add(small) > memory.limit()/smallShare {
		memory.small.Add(-small)
		small = 0
	}
	if large := bytes - small; large > 0 && !reservation.growLarge(large) {
		memory.small.Add(-small)
		return false
	}
	reservation.small += small
	return true
}

// shrink frees bytes of a body that are no longer held.
func (reservation *Reservation) shrink(bytes int64) {
	large := min(bytes, reservation.bytes)
	reservation.memory.used.Add(-large)
	reservation.memory.small.Add(large - bytes)
	reservation.bytes -= large
	reservation.small -= bytes - large
}

// release frees the bytes of the reservation.
func (reservation *Reservation) release() {
	reservation.memory.used.Add(-reservation.bytes)
	reservation.memory.small.Add(-reservation.small)
	reservation.bytes, reservation.small = 0, 0
}
