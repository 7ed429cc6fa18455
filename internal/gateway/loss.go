package gateway

import (
	"context"
	"io"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
)

const (
	// lossWindow is the time for which the requests that were lost at an upstream are
	// collected. The connections to a process that ends are closed within a few
	// milliseconds.
	lossWindow = 20 * time.Millisecond
	// maxLosses bounds the number of upstreams that are checked at the same time.
	maxLosses = 256
)

// endedUpstreams counts the upstream processes that ended while they had requests of this
// VM, by the result of the check that followed the loss of a connection, and by whether one
// of the requests had received fewer than passedEvents events.
var endedUpstreams = telemetry.NewCounterFamily("dandelionring_lost_upstreams_total", "result", "unanswered")

// closedByUpstream reports whether an error states that the upstream has closed or reset
// the connection. A connection that only times out says nothing about the process.
func closedByUpstream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// loss holds the requests that were lost at one upstream process.
type loss struct {
	at       time.Time
	service  core.ServiceID
	requests []core.RequestID
	// suspects holds those that the upstream had not begun to answer, or had just begun to.
	suspects []conviction.Request
}

// lossWatch finds out whether an upstream process has ended after connections to it were
// lost: an upstream may also break off a single response. The zero value checks nothing
// until start is called.
type lossWatch struct {
	gateway *Gateway
	ctx     context.Context
	running sync.WaitGroup

	// lock has position 3 in the lock order. It guards pending.
	lock    sync.Mutex
	pending map[h1.Key]*loss
}

// start enables the checks and returns a function that stops them.
func (watch *lossWatch) start(gateway *Gateway) func() {
	ctx, cancel := context.WithCancel(context.Background())
	watch.gateway, watch.ctx, watch.pending = gateway, ctx, make(map[h1.Key]*loss)
	return func() {
		cancel()
		watch.running.Wait()
	}
}

// add notes that the upstream has closed the connection of an attempt before the end of the
// response. The first loss at an upstream starts a check.
func (watch *lossWatch) add(attempt *attempt) {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	current := watch.pending[attempt.key]
	if current == nil {
		if len(watch.pending) >= maxLosses || watch.ctx.Err() != nil {
			return
		}
		current = &loss{at: time.Now(), service: attempt.call.service}
		watch.pending[attempt.key] = current
		watch.running.Go(func() { watch.check(attempt.selection, attempt.key) })
	}
	current.requests = append(current.requests, attempt.call.request.ID)
	if attempt.events < passedEvents {
		current.suspects = append(current.suspects, attempt.call.traits)
	}
}

// take removes the losses at an upstream and returns them.
func (watch *lossWatch) take(key h1.Key) *loss {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	current := watch.pending[key]
	delete(watch.pending, key)
	return current
}

// check collects the losses at an upstream for lossWindow and opens a connection to it. If
// that is refused, the process has ended. Unless the end was announced, the requests that
// may have caused it are reported.
func (watch *lossWatch) check(selection fleet.Selection, key h1.Key) {
	timer := time.NewTimer(lossWindow)
	defer timer.Stop()
	select {
	case <-watch.ctx.Done():
		return
	case <-timer.C:
	}
	conn, err := watch.gateway.conns.Dial(watch.ctx, key)
	lost := watch.take(key)
	logger := watch.gateway.options.Logger
	unanswered := strconv.FormatBool(len(lost.suspects) > 0)
	switch {
	case err == nil:
		watch.gateway.conns.Drop(key, conn)
		endedUpstreams.Inc("alive", unanswered)
		logger.Info("An upstream closed connections but still accepts new ones.", "upstream", key.Upstream, "requests", len(lost.requests))
	case errors.Is(err, syscall.ECONNREFUSED) && watch.gateway.paths.failing(lost.service):
		endedUpstreams.Inc("not reached", unanswered)
		logger.Info("An upstream refuses connections, as all others do.", "upstream", key.Upstream, "requests", len(lost.requests))
	case errors.Is(err, syscall.ECONNREFUSED):
		endedUpstreams.Inc("ended", unanswered)
		watch.gateway.options.Table.MarkEnded(selection)
		logger.Info("An upstream process has ended.", "upstream", key.Upstream, "born", key.Born, "requests", lost.requests, "unanswered", len(lost.suspects))
		if guard := watch.gateway.options.Crashes; guard != nil && !watch.gateway.options.Table.EndExpected(selection) {
			guard.Crashed(key.Upstream, key.Born, time.Since(lost.at), lost.suspects)
		}
	case watch.ctx.Err() == nil:
		endedUpstreams.Inc("unknown", unanswered)
		logger.Info("It is not known whether an upstream process has ended.", "upstream", key.Upstream, "requests", len(lost.requests), "error", err)
	}
}
