package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/quarantine"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
)

// placer finds engines for weights that no known engine holds, or whose engines are busy.
type placer interface {
	// Place returns an engine for the weights of a query, or the reason why there is none.
	// It waits at most wait. more is set if other engines hold the weights already.
	Place(ctx context.Context, query fleet.Query, more bool, wait time.Duration) (core.UpstreamID, string)
}

// crashGuard knows which content of requests crashes upstreams.
type crashGuard interface {
	// Refuse returns true and the time until the refusal ends if the request must not be
	// sent to an upstream.
	Refuse(request conviction.Request) (time.Duration, bool)
	// Begin notes that the request is sent to an upstream that has not begun to answer it. It
	// returns false if the request must not be sent. Until release is called, cancel is
	// called as soon as the request must no longer run.
	Begin(request conviction.Request, cancel func()) (release func(), ok bool)
	// Passed reports that an upstream has answered the request, or goes on after it has
	// begun to.
	Passed(request conviction.Request)
	// Crashed reports the end of an upstream process, some time ago, with the requests that
	// it had not begun to answer or had just begun to.
	Crashed(upstream core.UpstreamID, born int64, ago time.Duration, requests []conviction.Request)
}

// admitter keeps the requests of all VMs within the limits that upstreams state.
type admitter interface {
	// Admit waits for a turn at an upstream that states a limit, at most for the time wait. If
	// there is none in that time, it returns false and the time until the next one.
	Admit(ctx context.Context, selected fleet.Selection, wait time.Duration) (time.Duration, bool)
	// ReportLimit reports that the limit of an upstream has changed.
	ReportLimit(selected fleet.Selection)
}

// quotas keeps the requests of workspaces within their limits on all VMs together.
type quotas interface {
	// Take takes the tokens of a request. If the workspace is at its limit, it returns false and
	// the time after which the caller is to return.
	Take(ctx context.Context, workspace *core.Workspace, tokens core.Tokens) (retryAfter time.Duration, ok bool)
	// Return gives back the tokens of a request that was not sent to any upstream, and that took them
	// at the time taken, a reading of package clock.
	Return(workspace *core.Workspace, tokens core.Tokens, taken time.Duration)
}

// originFinder knows which software versions began the streams of other VMs.
type originFinder interface {
	// FindOrigin returns the origin of the stream whose first event the answer to a request
	// brought. If that does not become known within the time wait, or the request is empty, the
	// origin is the only software version that the service had lately. It returns false if there
	// were several.
	FindOrigin(ctx context.Context, service core.ServiceID, request core.RequestID, wait time.Duration) (origin.Origin, bool)
}

// clients bounds what callers hold.
type clients interface {
	// Body returns the body of a request, whose reads fail with os.ErrDeadlineExceeded after the
	// time latest, or if the caller makes no progress. free ends these limits.
	Body(writer http.ResponseWriter, request *http.Request, latest time.Time) (body io.Reader, free func())
}

// Options holds the dependencies and limits of a Gateway.
type Options struct {
	Table   *fleet.Table
	Placer  placer
	Dialect Dialect
	// Clients may be nil; bodies must then arrive within the timeout of their route only.
	Clients clients
	// Bodies bounds the bodies of requests and responses that are held at the same time; zero
	// selects the default.
	Bodies core.Bytes
	// Repeats limits the sends after the first one of each request.
	Repeats retry.Limits
	// Recorder may be nil; no audit records are written then.
	Recorder recorder
	// Crashes may be nil; requests that crash upstreams are not recognised then.
	Crashes crashGuard
	// Limits may be nil; the limits of upstreams are not kept then.
	Limits admitter
	// Quotas may be nil; the limits of workspaces are not kept then.
	Quotas quotas
	// Origins may be nil; only streams that began on this VM are continued for callers then.
	Origins originFinder
	Logger  *log.Logger
}

// Gateway is the HTTP handler for the requests of callers. Use New.
type Gateway struct {
	options Options
	conns   h1.Pool
	// bodies limits the bodies of requests and responses that are held at the same time.
	bodies h1.Memory
	copies copyRequester
	losses lossWatch
	// paths knows which upstreams this VM reaches, and handovers the VMs that take requests over.
	paths     paths
	handovers handoverTable
	// stopping is the planned end of the process.
	stopping stopping
	// begun holds the origins of the streams that began on this VM.
	begun beginnings
	// routeTableWaiters counts the requests that wait for the first route table.
	routeTableWaiters atomic.Int32

	// started is the time at which the gateway was created.
	started time.Duration
	// lock has position 2 in the lock order. It guards budgets.
	lock    sync.Mutex
	budgets map[core.ServiceID]*retry.Budget
}

// New returns a gateway and a function that stops its workers and closes its idle
// connections.
func New(options Options) (*Gateway, func()) {
	gateway := &Gateway{options: options, started: clock.Now(), budgets: make(map[core.ServiceID]*retry.Budget)}
	gateway.bodies.Limit = options.Bodies
	gateway.stopping.ended, gateway.stopping.end = context.WithCancel(context.Background())
	closeCopies := gateway.copies.start(options.Placer)
	closeLosses := gateway.losses.start(gateway)
	closePaths := gateway.paths.start(gateway)
	return gateway, func() {
		closeCopies()
		closeLosses()
		closePaths()
		gateway.handovers.conns.Close()
		gateway.stopping.end()
		gateway.conns.Close()
	}
}

// CloseIdle closes the connections that have been idle for as long as their upstreams allow.
func (gateway *Gateway) CloseIdle(now time.Time) {
	gateway.conns.CloseExpired(now)
	gateway.handovers.conns.CloseExpired(now)
}

// ServeHTTP forwards one request of a caller and writes the response.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	call := &call{gateway: gateway, writer: writer, incoming: incoming, start: time.Now()}
	call.serve()
}

// serve forwards the request and writes the response.
func (call *call) serve() {
	gateway, incoming := call.gateway, call.incoming
	call.request = gateway.options.Dialect.Parse(incoming)
	memory, release := gateway.bodies.Reserve()
	defer release()
	call.memory = memory
	index := gateway.waitForRoutes(call)
	if index == nil {
		call.refuse(http.StatusServiceUnavailable, "no route table is in force")
		return
	}
	// The VM that has handed a request over has checked its head, and may have added to it.
	if limit := index.Table().Limits.HeaderBytes; limit > 0 && !call.takenOver && headSize(incoming) > limit {
		call.refuse(http.StatusRequestHeaderFieldsTooLarge, "the head of the request is over the limit")
		return
	}
	call.index, call.tableNumber = index, index.Table().Number
	call.route = index.Match(incoming.Host, sentPath(incoming))
	if call.route == nil {
		call.refuse(http.StatusNotFound, "no route matches")
		return
	}
	if !call.identify(index.Workspaces()) {
		return
	}
	if !call.readBody(index.Table().Limits) {
		return
	}
	call.traits = conviction.NewRequest(call.fingerprint(), call.request.Parts)
	call.service = route.SelectTarget(call.route, string(call.request.ID))
	if !call.takeQuota() {
		return
	}
	call.run()
}

// sentPath returns the path of a request as its caller sent it, which is also what upstreams get. An
// encoded slash in it is data of a segment and separates none.
func sentPath(incoming *http.Request) string {
	if !strings.HasPrefix(incoming.RequestURI, "/") {
		return incoming.URL.EscapedPath() // a URL with scheme and host
	}
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	return path
}

// prepare finds the service that may continue the stream of the request and counts the request
// in the retry budget, before the first send. It returns the reason if the request must not be
// sent.
func (call *call) prepare() string {
	if call.prepared {
		return ""
	}
	if call.continues() {
		if reason := call.adoptOrigin(); reason != "" {
			call.gateway.options.Logger.Info("A stream is not continued.", "request", call.request.ID, "origin", call.request.Origin, "last_event", call.request.LastEvent, "reason", reason)
			return reason
		}
	}
	call.prepared = true
	if spec, ok := call.index.Table().Service(call.service); ok {
		call.maxConns = spec.MaxConns
	}
	if !call.counted {
		call.counted = true
		call.gateway.countRequest(call.service, call.start)
	}
	return ""
}

const (
	// routeTableTimeout is the longest time for which a request waits for the first route
	// table of this VM. After a restart of the whole deployment an election and a
	// confirmed read take about a second, and callers retry only once.
	routeTableTimeout = 1200 * time.Millisecond
	// maxRouteTableWaiters is the largest number of requests that wait for the first route
	// table.
	maxRouteTableWaiters = 512
)

// waitForRoutes returns the route table in force. If there is none, it waits for the first
// one, and returns nil if none arrives in time or too many requests wait already.
func (gateway *Gateway) waitForRoutes(call *call) *route.Index {
	if index := gateway.options.Table.Routes(); index != nil {
		return index
	}
	if gateway.routeTableWaiters.Add(1) > maxRouteTableWaiters {
		gateway.routeTableWaiters.Add(-1)
		return nil
	}
	defer gateway.routeTableWaiters.Add(-1)
	wait := routeTableTimeout
	if call.request.Patience > 0 {
		wait = min(wait, call.request.Patience/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-gateway.options.Table.RoutesReady():
	case <-call.incoming.Context().Done():
	case <-timer.C:
	}
	return gateway.options.Table.Routes()
}

// budget returns the retry budget of a service. The caller must hold gateway.lock.
func (gateway *Gateway) budget(service core.ServiceID) *retry.Budget {
	budget := gateway.budgets[service]
	if budget == nil {
		budget = &retry.Budget{Started: gateway.started}
		budget.SetLimits(gateway.options.Repeats)
		gateway.budgets[service] = budget
	}
	return budget
}

// countRequest adds one request to the retry budget of a service, at the time at which its head
// was read: its body and the first route table may take longer than the budget allows for.
func (gateway *Gateway) countRequest(service core.ServiceID, start time.Time) {
	at := clock.Now() - time.Since(start)
	gateway.lock.Lock()
	defer gateway.lock.Unlock()
	gateway.budget(service).AddRequest(at)
}

// allowRetry takes one retry from the retry budget of a service. It returns false if the
// budget is used up.
func (gateway *Gateway) allowRetry(service core.ServiceID) bool {
	vms := gateway.options.Table.EntryVMs()
	gateway.lock.Lock()
	defer gateway.lock.Unlock()
	return gateway.budget(service).Allow(clock.Now(), vms)
}

// fingerprint returns the hash of the request's content. The headers are not part of it:
// the id differs in each repeat.
func (call *call) fingerprint() core.Fingerprint {
	return quarantine.Fingerprint(quarantine.Content{
		Service: core.ServiceID(call.incoming.Host), Method: call.incoming.Method, Path: call.incoming.RequestURI, Body: call.body,
	})
}

// defaultBodyBytes limits the body of a request if the operators set no limit.
const defaultBodyBytes core.Bytes = 8 << 20

// readBody reads the whole body, so that it can be sent more than once. It returns false
// if it has refused the request.
func (call *call) readBody(limits core.CallerLimits) bool {
	if call.incoming.Body == nil || call.incoming.ContentLength == 0 {
		return true
	}
	body, free := call.limitBody()
	defer free()
	limit := int64(defaultBodyBytes)
	if limits.BodyBytes > 0 {
		limit = int64(limits.BodyBytes)
	}
	if call.incoming.ContentLength > limit {
		call.refuseBody(http.StatusRequestEntityTooLarge, "the body is over the limit")
		return false
	}
	var err error
	call.body, err = h1.ReadStated(body, call.incoming.ContentLength, limit, call.memory)
	var tooLarge *h1.BoundError
	switch {
	case errors.As(err, &tooLarge):
		call.refuseBody(http.StatusRequestEntityTooLarge, "the body is over the limit")
	case errors.Is(err, h1.ErrMemory):
		call.refuseBody(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.refuseBody(http.StatusRequestTimeout, "the body was not received in time")
	case err != nil:
		call.refuseBody(http.StatusBadRequest, "the body was not received whole")
	}
	return err == nil
}

// limitBody returns the body with its limits, and a function that ends them. A body that arrives
// after the timeout of the route is too late for any response.
func (call *call) limitBody() (body io.Reader, free func()) {
	latest := call.start.Add(call.route.Timeout)
	if clients := call.gateway.options.Clients; clients != nil {
		return clients.Body(call.writer, call.incoming, latest)
	}
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(latest)
	return call.incoming.Body, func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// refuseBody refuses a request whose body was not read completely. The connection is
// closed: otherwise the server would wait for the rest of the body before it sends the
// response.
func (call *call) refuseBody(status int, reason string) {
	call.writer.Header().Set("Connection", "close")
	call.refuse(status, reason)
}
