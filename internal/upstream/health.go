package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// probeTimeout bounds the probe that checks whether an upstream's process is alive.
	probeTimeout = time.Second
	// failuresToEject is the number of consecutive failures after which an upstream is
	// ejected: it gets no new calls although it still announces itself.
	failuresToEject = 2
	// minEjection and maxEjection bound the time of an ejection after consecutive
	// failures.
	minEjection = time.Second
	maxEjection = 16 * time.Second
	// crashEjection equals core.AnnouncementLease: when the lease has expired, a process
	// that has ended gets no new calls anyway.
	crashEjection = 3 * time.Second
)

// healthTracker counts consecutive failures of upstreams by address. The zero value is
// ready to use.
type healthTracker struct {
	// mutex guards entries. No other lock is acquired while it is held.
	mutex   sync.Mutex
	entries map[string]*upstreamHealth
}

// upstreamHealth holds the consecutive failures of one upstream and the end of its
// ejection, which is zero if it was never ejected.
type upstreamHealth struct {
	failures     int
	ejectedUntil time.Time
}

func (tracker *healthTracker) recordSuccess(address string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	delete(tracker.entries, address)
}

// recordFailure counts a failure. At failuresToEject consecutive failures the address is
// ejected for minEjection; each further failure doubles the time, up to maxEjection. A
// crash ejects the address for crashEjection at least, at once.
func (tracker *healthTracker) recordFailure(address string, crashed bool, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.entries == nil {
		tracker.entries = make(map[string]*upstreamHealth)
	}
	entry, ok := tracker.entries[address]
	if !ok {
		entry = &upstreamHealth{}
		tracker.entries[address] = entry
	}
	if crashed {
		entry.ejectedUntil = laterOf(entry.ejectedUntil, now.Add(crashEjection))
	}
	if now.Before(entry.ejectedUntil) {
		return // failures during an ejection are not counted, since their calls were sent before it
	}
	entry.failures++
	if excess := entry.failures - failuresToEject; excess >= 0 {
		entry.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(excess, 4)))
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (tracker *healthTracker) isEjected(address string, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	entry, ok := tracker.entries[address]
	return ok && now.Before(entry.ejectedUntil)
}

// Ejected reports whether an upstream should get no new calls for now, since it crashed
// or failed several times in a row. After consecutive failures, one more failure after
// the end of the ejection ejects it again.
func (client *Client) Ejected(address string) bool {
	return client.health.isEjected(address, time.Now())
}

// recordResult records the result of a call for the health of its upstream. Any result
// other than a lost connection counts as a success. A lost connection counts as a failure
// unless ctx has ended; it also closes the idle connections to the upstream, since all of them
// may have failed without notice.
func (client *Client) recordResult(ctx context.Context, address string, failure *CallError) {
	switch {
	case failure == nil || !failure.Lost:
		client.health.recordSuccess(address)
	case ctx.Err() == nil:
		client.health.recordFailure(address, failure.Crashed, time.Now())
		client.conns.CloseIdle(h1.Key{Address: address})
	}
}

// probeCrashed opens a new connection and reports whether the process at the address has
// ended: the connection is refused or, for an engine, closed, or the engine answers with
// an incarnation other than the given one, unless that is empty. A process that does not
// answer in time counts as alive, since it may only be unreachable.
func (client *Client) probeCrashed(ctx context.Context, address string, kind core.GroupKind, incarnation core.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if kind != core.EngineGroup {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	answered, err := client.Ask(ctx, address)
	if err != nil {
		var failure *CallError
		return errors.As(err, &failure) && closedByPeer(failure.Err)
	}
	return incarnation != "" && answered != incarnation
}

// closedByPeer reports whether err means that the peer refused or closed the connection,
// as opposed to a timeout.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
