package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/reach"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
)

// call is the state of one request of a caller while it is forwarded.
type call struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	incoming *http.Request
	request  Request
	route    *core.Route
	// workspace is that of the caller, nil if it has none.
	workspace *core.Workspace
	// handedWorkspace is the workspace that the VM has named which handed the request over.
	handedWorkspace core.WorkspaceID
	// index is the index of the route table that contains route, and tableNumber its number.
	index       *route.Index
	tableNumber core.ConfigNumber
	service     core.ServiceID
	maxConns    int
	body        []byte
	// memory is the part of the gateway's memory for bodies that this call holds.
	memory *h1.Reservation
	// traits are compared with those of other requests that were lost when upstreams ended.
	traits conviction.Request

	start    time.Time
	deadline time.Time
	counts   retry.SendCounts
	tried    []core.UpstreamID
	// prepared is set once the request may be sent, counted once it is counted in the retry
	// budget of a VM, and paid while the next send is taken from one.
	prepared, counted, paid bool
	// takenOver is set if another entry VM has handed the request over. That VM has made
	// sendsBefore sends, and its attempts have numbers up to attemptsBefore.
	takenOver                   bool
	sendsBefore, attemptsBefore int
	// needsOpen is set if no open connection is left while new ones fail, and dialAnyway once
	// no other VM has taken the request over for that.
	needsOpen, dialAnyway bool
	// committed is set once the response head has been sent to the caller.
	committed bool
	// position is the place in the stream up to which the caller has the events, also those
	// that it has named in its request.
	position origin.Position
	// software is the version of the upstream that wrote the events which were sent to the
	// caller, also in answer to an earlier request, empty if there are none.
	software core.SoftwareVersion
	// sentSoftware is the version of the upstream of the last send.
	sentSoftware sentSoftware
	// events is the number of events that were sent to the caller.
	events int
	// outcome is core.Ran once the last send has ended with a complete response, and 0
	// before. sentAt is the time at which that send started.
	outcome core.Outcome
	sentAt  time.Time
	// tokens were taken from the quota of the workspace for this request, at the time tokensAt.
	tokens   core.Tokens
	tokensAt time.Duration
	// retryAfter replaces the usual time after which a caller may return, if it is positive.
	retryAfter time.Duration
	// failure is an error response of an upstream that is forwarded if no other upstream
	// answers.
	failure *answer
}

// nextStep is what a call does after a send.
type nextStep uint8

const (
	// finished means that the response was forwarded.
	finished nextStep = iota
	// abandoned means that a part of the response could not be written to the caller.
	abandoned
	// tryAnother means that another upstream may be tried.
	tryAnother
)

const (
	// extraCopyCost is the cost of a send from which another copy of the weights is
	// requested: from there on requests queue in the engine.
	extraCopyCost = 1.2
	// waitForLoadCost is the cost from which a request itself waits for another copy: the
	// requests before it in the engine's queue take longer than a load.
	waitForLoadCost = 2.5
	// loadWait is the time that a load takes. A request waits for another copy if the prompts
	// before its own take longer to read.
	loadWait = 350 * time.Millisecond
	// placementWaitDivisor limits the wait for a load to the time until the deadline,
	// divided by it.
	placementWaitDivisor = 3
	maxPlacementWait     = 1500 * time.Millisecond
	// maxPlacements is the number of engines that are asked for in turn. The owner of a zone
	// learns that an engine has ended seconds after the requests that it has lost.
	maxPlacements    = 3
	minPlacementWait = 50 * time.Millisecond
)

// run sends the request to one upstream after another until one has answered, the
// deadline has passed, or no further send is possible or allowed.
func (call *call) run() {
	call.position = origin.PositionAfter(call.request.LastEvent)
	limit := call.route.Timeout
	if call.request.Patience > 0 {
		limit = min(limit, call.request.Patience)
	}
	deadline, ok := call.gateway.stopping.limit(time.Now(), call.start.Add(limit))
	if !ok {
		call.returnQuota()
		call.refuse(http.StatusServiceUnavailable, reasonStopping)
		return
	}
	call.deadline = deadline
	ctx, cancel := context.WithDeadline(call.incoming.Context(), call.deadline)
	defer cancel()
	defer context.AfterFunc(call.gateway.stopping.ended, cancel)()
	reason := ""
	for ctx.Err() == nil {
		if left, refused := call.refusedContent(); refused {
			reason, call.retryAfter = "the content of the request crashes upstreams", left
			break
		}
		service := call.service
		state, turn := call.gateway.paths.enter(service)
		if state == reach.Cut || call.needsOpen {
			call.gateway.paths.leave(service, turn)
			if call.lostPosition() {
				reason = unknownEvent
				break
			}
			runs := call.counts.Runs
			if call.leaveToOthers(ctx) == finished {
				return
			}
			if reason = noPath; call.counts.Runs > runs {
				reason = handoverLost
			}
			if !call.needsOpen || call.counts.Runs > 0 && !retry.Allowed(call.route, call.counts) {
				break
			}
			reason = ""
			call.needsOpen, call.dialAnyway = false, true
			continue
		}
		next, why := call.sendOnce(ctx, state)
		call.gateway.paths.leave(service, turn)
		if next == finished {
			requestCounts.Inc(call.kind().String(), "answered")
			return
		}
		if next == abandoned {
			reason = "the response could not be written to the caller"
			break
		}
		if reason = why; reason != "" {
			break
		}
	}
	if call.gateway.stopping.ended.Err() != nil {
		reason = reasonStopping
	}
	if reason == "" {
		reason = "the deadline passed before an upstream took the request"
	}
	call.returnQuota()
	call.answerFailure(ctx, reason)
}

// The reasons why a request ends at a VM that reaches no upstream of the service: no other VM takes
// it over, or one has and did not answer.
const (
	noPath       = "no upstream of the service can be reached"
	handoverLost = "the VM that took the request over did not answer"
)

// leaveToOthers hands the request over to another VM, or back to the one that has handed it over.
func (call *call) leaveToOthers(ctx context.Context) nextStep {
	if !call.takenOver {
		next := call.handOver(ctx)
		if next == finished {
			requestCounts.Inc(call.kind().String(), "handed over")
		}
		return next
	}
	if call.counts.Sends > call.sendsBefore {
		return tryAnother
	}
	call.decline()
	return finished
}

// sendOnce chooses an upstream and sends the request to it. It returns tryAnother and a reason
// if no further send is possible or allowed.
func (call *call) sendOnce(ctx context.Context, state reach.State) (nextStep, string) {
	if reason := call.prepare(); reason != "" {
		return tryAnother, reason
	}
	if reason := call.cannotContinue(); reason != "" {
		return tryAnother, reason
	}
	selection, reason, ok := call.chooseAdmitted(ctx)
	if !ok {
		return tryAnother, reason
	}
	first := call.counts.Sends == 0 || call.paid
	call.paid = false
	if !first && !call.gateway.allowRetry(call.service) {
		call.gateway.options.Table.Finish(selection)
		return tryAnother, "the budget of repeated sends is used up"
	}
	call.tried = append(call.tried, selection.Upstream)
	if err := call.recordStart(ctx, selection); err != nil {
		call.gateway.options.Table.Finish(selection)
		return tryAnother, err.Error()
	}
	runs := call.counts.Runs
	next, sent := call.send(ctx, selection, state == reach.Kept && !call.dialAnyway)
	call.recordEnd(sent, runs)
	call.gateway.options.Table.Finish(selection)
	if next == tryAnother && !retry.Allowed(call.route, call.counts) {
		return tryAnother, "the route allows no further send"
	}
	return next, ""
}

// refusedContent returns true and the time until the refusal ends if the content of the
// request crashes upstreams. It is checked before each send, since the verdict may come
// while the request is retried.
func (call *call) refusedContent() (time.Duration, bool) {
	if guard := call.gateway.options.Crashes; guard != nil {
		return guard.Refuse(call.traits)
	}
	return 0, false
}

// chooseUpstream returns the upstream of the next send, and counts the request as running
// there until Finish is called. It returns the reason and false if there is none. If no
// engine holds the weights, or only engines with long queues, it asks the owners of the
// zones' engines for another engine and waits for it; not if turnsFirst is set and an upstream that
// holds the weights is only passed over for the limit that it states.
func (call *call) chooseUpstream(ctx context.Context, query fleet.Query, turnsFirst bool) (fleet.Selection, string, bool) {
	table := call.gateway.options.Table
	selection, ok := table.Select(clock.Now(), query)
	if ok && (selection.Cost < extraCopyCost && selection.Reading < loadWait || query.Weights.Adapter == "") {
		return selection, "", true
	}
	if ok && selection.Cost < waitForLoadCost && selection.Reading < loadWait {
		call.gateway.copies.request(query, selection.Upstream)
		return selection, "", true
	}
	if !ok && query.Origin.Continues && !table.HasSoftware(query) {
		return selection, noSoftware, false
	}
	if !ok && turnsFirst && len(table.HeldBack(clock.Now(), query)) > 0 {
		return selection, heldBack, false
	}
	if query.Weights.Model == "" {
		return selection, noPath, ok
	}
	excluded := query
	if ok {
		excluded.Exclude = append(slices.Clone(query.Exclude), selection.Upstream)
	}
	for range maxPlacements {
		wait := min(maxPlacementWait, time.Until(call.deadline)/placementWaitDivisor)
		if ok && selection.Cost < waitForLoadCost {
			wait = min(wait, selection.Reading)
		}
		if wait < minPlacementWait {
			return selection, "no engine holds the weights", ok
		}
		upstream, why := call.gateway.options.Placer.Place(ctx, excluded, ok, wait)
		if upstream == "" {
			return selection, why, ok
		}
		placed, reserved := table.Reserve(clock.Now(), upstream, query)
		if reserved && ok {
			table.Finish(selection)
		}
		if reserved {
			return placed, "", true
		}
		excluded.Exclude = append(slices.Clone(excluded.Exclude), upstream)
	}
	return selection, "the engines that were found left", ok
}

// The times after which a caller may retry a request that has not run. retryAfterNoRoutes
// applies while no route is known.
const (
	retryAfter         = 300 * time.Millisecond
	retryAfterNoRoutes = time.Second
)

// answerFailure sends the final response when no upstream has answered the request. It
// aborts the connection if the caller has disconnected or part of a response was sent.
func (call *call) answerFailure(ctx context.Context, reason string) {
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
	case call.counts.Runs == 0:
		call.refuse(http.StatusServiceUnavailable, reason)
	case ctx.Err() != nil:
		call.refuse(http.StatusGatewayTimeout, "no answer in time")
	default:
		call.refuse(http.StatusBadGateway, reason)
	}
}

// refuse sends a response that the gateway itself generates.
func (call *call) refuse(status int, reason string) {
	after := retryAfter
	switch {
	case call.retryAfter > 0:
		after = call.retryAfter
	case call.route == nil:
		after = retryAfterNoRoutes
	}
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		after = 0
	}
	call.log("refused", status, reason)
	header := call.writer.Header()
	call.gateway.options.Dialect.SetRefusalHeaders(header, call.request, after)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	call.writer.WriteHeader(status)
	_, _ = call.writer.Write([]byte(reason + "\n"))
}

// log counts and logs a request that did not get a successful response.
func (call *call) log(outcome string, status int, reason string) {
	var name core.RouteName
	if call.route != nil {
		name = call.route.Name
	}
	requestCounts.Inc(call.kind().String(), outcome)
	fields := []any{
		"request", call.request.ID, "outcome", outcome, "status", status, "reason", reason,
		"route", name, "service", call.service, "weights", call.request.Weights.String(), "sends", call.counts.Sends, "runs", call.counts.Runs,
		"tried", call.tried, "last_event", call.request.LastEvent, "software_before", call.software, "routes_number", call.gateway.options.Table.RoutesNumber(), "millis", time.Since(call.start).Milliseconds(),
	}
	if workspace := call.workspaceID(); workspace != "" {
		fields = append(fields, "workspace", workspace)
	}
	call.gateway.options.Logger.Info("A request ended.", fields...)
}
