package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
)

// placer finds an engine for weights that no known engine holds.
type placer interface {
	Place(ctx context.Context, query fleet.Query, more bool, wait time.Duration) (core.UpstreamID, string)
}

// Parts are what a Gateway works with.
type Parts struct {
	Table   *fleet.Table
	Placer  placer
	Dialect Dialect
	// Repeats bounds the sends beyond the first of each request.
	Repeats retry.Limits
	// Recorder may be nil: no records are kept then.
	Recorder recorder
	Logger   *log.Logger
}

// Gateway answers callers. Use New.
type Gateway struct {
	parts  Parts
	conns  h1.Pool
	copies copies
	// waiting counts the requests that wait for the first route table.
	waiting atomic.Int32

	// lock is table 2 of the lock order.
	lock    sync.Mutex
	budgets map[core.ServiceID]*retry.Budget
}

// New returns a gateway and a function that closes its idle connections.
func New(parts Parts) (*Gateway, func()) {
	gateway := &Gateway{parts: parts, budgets: make(map[core.ServiceID]*retry.Budget)}
	closeCopies := gateway.copies.start(parts.Placer)
	return gateway, func() {
		closeCopies()
		gateway.conns.Close()
	}
}

// Trim closes connections that have been idle for as long as their upstreams allow.
func (gateway *Gateway) Trim(now time.Time) { gateway.conns.Trim(now) }

// ServeHTTP answers one request of a caller.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	call := &call{gateway: gateway, writer: writer, incoming: incoming, start: time.Now()}
	call.request = gateway.parts.Dialect.Parse(incoming)
	index := gateway.routes(call)
	if index == nil {
		call.refuse(http.StatusServiceUnavailable, "no route table is in force")
		return
	}
	if limit := index.Table().Limits.HeaderBytes; limit > 0 && headBytes(incoming) > limit {
		call.refuse(http.StatusRequestHeaderFieldsTooLarge, "the head of the request is over the limit")
		return
	}
	call.number = index.Table().Number
	call.route = index.Match(incoming.Host, incoming.URL.Path)
	if call.route == nil {
		call.refuse(http.StatusNotFound, "no route matches")
		return
	}
	if !call.readBody(index.Table().Limits) {
		return
	}
	call.service = route.Target(call.route, string(call.request.ID))
	if spec, ok := index.Table().Service(call.service); ok {
		call.maxConns = spec.MaxConns
	}
	gateway.count(call.service)
	call.run()
}

const (
	// firstRoutesWait is the time for which a request waits for the first route table of
	// this VM. An election and a confirmed read take about a second after a restart of the
	// whole deployment, and callers come back only once.
	firstRoutesWait = 1200 * time.Millisecond
	// maxWaiting bounds the requests that wait for the first route table.
	maxWaiting = 512
)

// routes returns the route table in force, and nil if there is none in time.
func (gateway *Gateway) routes(call *call) *route.Index {
	if index := gateway.parts.Table.Routes(); index != nil {
		return index
	}
	if gateway.waiting.Add(1) > maxWaiting {
		gateway.waiting.Add(-1)
		return nil
	}
	defer gateway.waiting.Add(-1)
	wait := firstRoutesWait
	if call.request.Patience > 0 {
		wait = min(wait, call.request.Patience/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-gateway.parts.Table.HasRoutes():
	case <-call.incoming.Context().Done():
	case <-timer.C:
	}
	return gateway.parts.Table.Routes()
}

func (gateway *Gateway) budget(service core.ServiceID) *retry.Budget {
	budget := gateway.budgets[service]
	if budget == nil {
		budget = &retry.Budget{}
		budget.SetLimits(gateway.parts.Repeats)
		gateway.budgets[service] = budget
	}
	return budget
}

func (gateway *Gateway) count(service core.ServiceID) {
	gateway.lock.Lock()
	defer gateway.lock.Unlock()
	gateway.budget(service).Request(clock.Now())
}

// mayRepeat takes one send from this VM's share of the budget of a service.
func (gateway *Gateway) mayRepeat(service core.ServiceID) bool {
	vms := gateway.parts.Table.EntryVMs()
	gateway.lock.Lock()
	defer gateway.lock.Unlock()
	return gateway.budget(service).Allow(clock.Now(), vms)
}

// readBody reads the whole body, so that it can be sent again. It returns false after it
// has answered the caller.
func (call *call) readBody(limits core.CallerLimits) bool {
	if call.incoming.Body == nil || call.incoming.ContentLength == 0 {
		return true
	}
	// A body that is not there when the answer is due is of no use.
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(call.start.Add(call.route.Timeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	reader := io.Reader(call.incoming.Body)
	if limits.BodyBytes > 0 {
		if call.incoming.ContentLength > int64(limits.BodyBytes) {
			call.refuseBody(http.StatusRequestEntityTooLarge, "the body is over the limit")
			return false
		}
		reader = http.MaxBytesReader(call.writer, call.incoming.Body, int64(limits.BodyBytes))
	}
	var err error
	if call.incoming.ContentLength > 0 {
		call.body = make([]byte, call.incoming.ContentLength)
		_, err = io.ReadFull(reader, call.body)
	} else {
		call.body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		call.refuseBody(http.StatusRequestEntityTooLarge, "the body is over the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.refuseBody(http.StatusRequestTimeout, "the body was not received in time")
	case err != nil:
		call.refuseBody(http.StatusBadRequest, "the body was not received whole")
	}
	return err == nil
}

// refuseBody refuses a request whose body was not read. The connection is closed: the
// server would otherwise wait for the rest of the body before it sends the answer.
func (call *call) refuseBody(status int, reason string) {
	call.writer.Header().Set("Connection", "close")
	call.refuse(status, reason)
}
