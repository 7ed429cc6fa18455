package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// call is one request of a caller on its way.
type call struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	incoming *http.Request
	request  Request
	route    *core.Route
	// number is that of the route table that route stands in.
	number   core.ConfigNumber
	service  core.ServiceID
	maxConns int
	body     []byte

	start    time.Time
	deadline time.Time
	history  retry.History
	tried    []core.UpstreamID
	// committed is set once the head of the answer has gone to the caller.
	committed bool
	// lastEvent is the last event that the caller was sent, or had before.
	lastEvent string
	// ended is set to Ran once the last send has ended with a whole answer, and sent is
	// the time at which that send began.
	ended core.Outcome
	sent  time.Time
	// failure is the answer of an upstream that is passed on if no other one is had.
	failure *answer
}

// next tells what a call does after a send.
type next uint8

const (
	// finished means that the caller has its answer, or is gone.
	finished next = iota
	// again means that another upstream may be tried.
	again
)

const (
	// overloadCost is the cost of a send from which another copy of the weights is asked
	// for: requests begin to wait in the engine.
	overloadCost = 1.2
	// queueCost is the cost from which a request waits for another copy itself: those
	// before it in the engine's queue take longer than a load.
	queueCost = 2.5
	// placeShare is the part of the time left for which a load is waited for.
	placeShare = 3
	maxPlace   = 1500 * time.Millisecond
	minPlace   = 50 * time.Millisecond
)

// run sends the request until it is answered.
func (call *call) run() {
	call.lastEvent = call.request.LastEvent
	limit := call.route.Timeout
	if call.request.Patience > 0 {
		limit = min(limit, call.request.Patience)
	}
	call.deadline = call.start.Add(limit)
	ctx, cancel := context.WithDeadline(call.incoming.Context(), call.deadline)
	defer cancel()
	reason := ""
	for ctx.Err() == nil {
		pick, why, ok := call.choose(ctx)
		if !ok {
			reason = why
			break
		}
		first := call.history.Sends == 0
		if !first && !call.gateway.mayRepeat(call.service) {
			call.gateway.parts.Table.Finish(pick)
			reason = "the budget of repeated sends is used up"
			break
		}
		call.tried = append(call.tried, pick.Upstream)
		if err := call.begin(ctx, pick); err != nil {
			call.gateway.parts.Table.Finish(pick)
			reason = err.Error()
			break
		}
		runs := call.history.Runs
		outcome := call.send(ctx, pick)
		call.end(pick, runs)
		call.gateway.parts.Table.Finish(pick)
		if outcome == finished {
			requestCounts.Inc(call.kind().String(), "answered")
			return
		}
		if !retry.May(call.route, call.history) {
			reason = "the route allows no further send"
			break
		}
	}
	call.giveUp(ctx, reason)
}

// choose returns the upstream of the next send. Weights that no engine holds, or only full
// ones, are asked for at the owner of the zone's engines.
func (call *call) choose(ctx context.Context) (fleet.Pick, string, bool) {
	query := fleet.Query{Service: call.service, Weights: call.request.Weights, Exclude: call.tried, Request: call.request.ID}
	table := call.gateway.parts.Table
	pick, ok := table.Choose(clock.Now(), query)
	if ok && (pick.Cost < overloadCost || query.Weights.Adapter == "") {
		return pick, "", true
	}
	if ok && pick.Cost < queueCost {
		call.gateway.copies.ask(query, pick.Upstream)
		return pick, "", true
	}
	if query.Weights.Model == "" {
		return pick, "no upstream of the service can be reached", ok
	}
	excluded := query
	if ok {
		excluded.Exclude = append(slices.Clone(query.Exclude), pick.Upstream)
	}
	wait := min(maxPlace, time.Until(call.deadline)/placeShare)
	if wait < minPlace {
		return pick, "no engine holds the weights", ok
	}
	upstream, why := call.gateway.parts.Placer.Place(ctx, excluded, ok, wait)
	if upstream == "" {
		return pick, why, ok
	}
	placed, reserved := table.Reserve(clock.Now(), upstream, query)
	if !reserved {
		return pick, "the engine that was found left", ok
	}
	if ok {
		table.Finish(pick)
	}
	return placed, "", true
}

// The times after which a caller whose request has not run may come back.
const (
	retryAfter      = 300 * time.Millisecond
	retryAfterStart = time.Second
)

// giveUp gives the caller its final answer after no upstream did.
func (call *call) giveUp(ctx context.Context, reason string) {
	if call.incoming.Context().Err() != nil {
		call.log("gone", 0, "the caller left")
		panic(http.ErrAbortHandler)
	}
	switch {
	case call.committed:
		call.log("broken", 0, reason)
		panic(http.ErrAbortHandler)
	case call.failure != nil:
		call.log("failed", call.failure.status, reason)
		call.failure.write(call.writer)
	case call.history.Runs == 0:
		call.refuse(http.StatusServiceUnavailable, reason)
	case ctx.Err() != nil:
		call.refuse(http.StatusGatewayTimeout, "no answer in time")
	default:
		call.refuse(http.StatusBadGateway, reason)
	}
}

// refuse answers with a status of the gateway's own.
func (call *call) refuse(status int, reason string) {
	after := retryAfter
	if call.route == nil {
		after = retryAfterStart
	}
	if status != http.StatusServiceUnavailable {
		after = 0
	}
	call.log("refused", status, reason)
	header := call.writer.Header()
	call.gateway.parts.Dialect.Refuse(header, call.request, after)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	call.writer.WriteHeader(status)
	_, _ = call.writer.Write([]byte(reason + "\n"))
}

// log writes one line on a request that was not answered by its first upstream.
func (call *call) log(outcome string, status int, reason string) {
	var name core.RouteName
	if call.route != nil {
		name = call.route.Name
	}
	requestCounts.Inc(call.kind().String(), outcome)
	call.gateway.parts.Logger.Info("A request ended.", "request", call.request.ID, "outcome", outcome, "status", status, "reason", reason,
		"route", name, "service", call.service, "weights", call.request.Weights.String(), "sends", call.history.Sends, "runs", call.history.Runs,
		"tried", call.tried, "routes_number", call.gateway.parts.Table.Number(), "millis", time.Since(call.start).Milliseconds())
}
