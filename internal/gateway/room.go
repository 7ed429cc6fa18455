package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/room"
)

const (
	// maxWaiting is the number of requests that wait on this VM for room at the upstreams of all
	// services.
	maxWaiting = 512
	// noRoom is the reason of refusals of requests that cannot be answered before their deadline.
	noRoom = "the upstreams have no room before the deadline"
	// tooManyWait is the reason of refusals while maxWaiting requests wait.
	tooManyWait = "too many requests wait for room at the upstreams"
	// meanWeight is the weight of one request in the mean times and sizes of a service.
	meanWeight = 0.05
	// minSize and maxSize bound the size of a request relative to the mean of its service.
	minSize, maxSize = 0.25, 8
)

// waiter is a request that waits.
type waiter struct {
	query fleet.Query
	// state is what was known of the upstreams last, and known is not set once there were none.
	state room.State
	known bool
	// outcome gets the end of the wait.
	outcome chan room.Outcome
}

// serviceRoom holds the waiting requests of one service.
type serviceRoom struct {
	queue   room.Queue
	waiters map[room.TicketID]*waiter
	// objective is the shortest one of the routes to the service in the route table with the
	// number routes.
	objective time.Duration
	routes    core.ConfigNumber
	// afterFirst is the mean time from the first event of a stream to its end without that of the
	// writes to the caller, and tokens the mean size of a request, zero before the first one.
	afterFirst, tokens mean
}

// mean is an exponential moving average. The first value counts fully.
type mean float64

func (average *mean) observe(value float64) {
	if *average == 0 {
		*average = mean(value)
		return
	}
	*average += meanWeight * (mean(value) - *average)
}

// waitingRoom holds the requests that wait for room at the upstreams. One goroutine decides on
// them, after a report of other VMs' requests, after the end of a send, and at the times that the
// decisions name.
type waitingRoom struct {
	gateway *Gateway
	// phase, from 0 to 1, differs among the VMs.
	phase float64
	// wake has an element if the waiting requests must be decided on.
	wake chan struct{}

	// lock has position 3 in the lock order. It guards the fields below.
	lock       sync.Mutex
	services   map[core.ServiceID]*serviceRoom
	waiting    int
	lastTicket room.TicketID
}

// start runs the goroutine and returns a function that stops it.
func (waiting *waitingRoom) start(gateway *Gateway) func() {
	ctx, cancel := context.WithCancel(context.Background())
	waiting.gateway, waiting.phase = gateway, rand.Float64() //nolint:gosec // no secret
	waiting.services = make(map[core.ServiceID]*serviceRoom)
	waiting.wake = make(chan struct{}, 1)
	var running sync.WaitGroup
	running.Go(func() { waiting.run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

func (waiting *waitingRoom) run(ctx context.Context) {
	timer := time.NewTimer(math.MaxInt64)
	defer timer.Stop()
	for {
		reported := false
		select {
		case <-ctx.Done():
			return
		case <-waiting.gateway.options.Table.Reported():
			reported = true
		case <-waiting.wake:
		case <-timer.C:
		}
		timer.Reset(waiting.review(reported))
	}
}

// ended decides on the waiting requests of a service after the end of a send.
func (waiting *waitingRoom) ended(call *call) {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	service := waiting.service(call)
	if call.outcome == core.Ran && !call.firstEventAt.IsZero() && len(call.tried) == 1 {
		service.afterFirst.observe(max(1, float64(time.Since(call.firstEventAt)-call.writing)))
		if call.request.Tokens > 0 {
			service.tokens.observe(float64(call.request.Tokens))
		}
	}
	if service.queue.Len() > 0 {
		waiting.signal()
	}
}

// signal wakes the goroutine.
func (waiting *waitingRoom) signal() {
	select {
	case waiting.wake <- struct{}{}:
	default:
	}
}

// service returns the state of the service of a call. The caller holds the lock.
func (waiting *waitingRoom) service(call *call) *serviceRoom {
	service := waiting.services[call.service]
	if service == nil {
		service = &serviceRoom{waiters: make(map[room.TicketID]*waiter)}
		waiting.services[call.service] = service
	}
	if service.routes != call.tableNumber {
		service.routes, service.objective = call.tableNumber, shortestObjective(call.index.Table(), call.service)
	}
	return service
}

// shortestObjective returns the shortest objective of the routes to a service, zero if none has
// one.
func shortestObjective(table *core.RouteTable, service core.ServiceID) time.Duration {
	shortest := time.Duration(0)
	for _, route := range table.Routes {
		leads := slices.ContainsFunc(route.Targets, func(target core.RouteTarget) bool { return target.Service == service })
		if leads && route.Objective > 0 && (shortest == 0 || route.Objective < shortest) {
			shortest = route.Objective
		}
	}
	return shortest
}

// state returns an outlook as input of the decision. The caller holds the lock.
func (waiting *waitingRoom) state(service *serviceRoom, outlook fleet.Outlook, vms int) room.State {
	first := outlook.Best.Service
	return room.State{
		Load: outlook.Load, Service: first, Hold: first + time.Duration(service.afterFirst), Age: outlook.Age,
		Slots: outlook.Slots, Requests: outlook.Requests, VMs: vms,
	}
}

// review decides on all waiting requests and returns the time until it must be called again. What
// the table knows is read first, since its lock comes before the one of the waiting requests.
func (waiting *waitingRoom) review(reported bool) time.Duration {
	table := waiting.gateway.options.Table
	vms, now := table.EntryVMs(), clock.Now()
	queries := waiting.queries()
	outlooks := make(map[core.ServiceID]fleet.Outlook, len(queries))
	for name := range queries {
		if outlook, ok := table.Look(now, fleet.Query{Service: name}); reported && ok {
			outlooks[name] = outlook
		}
		lookAll(table, now, queries[name])
	}
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	next := time.Duration(math.MaxInt64)
	for name, service := range waiting.services {
		if outlook, ok := outlooks[name]; ok && service.objective > 0 {
			service.queue.Report(now, service.objective, waiting.state(service, outlook, vms), waiting.phase)
		}
		for id, pending := range queries[name] {
			if waiter := service.waiters[id]; waiter != nil {
				waiter.state, waiter.known = waiting.state(service, pending.outlook, vms), pending.known
			}
		}
		for _, outcome := range service.queue.Review(now, func(ticket room.Ticket) (room.State, bool) {
			waiter := service.waiters[ticket.ID]
			return waiter.state, waiter.known
		}) {
			service.waiters[outcome.Ticket].outcome <- outcome
			delete(service.waiters, outcome.Ticket)
			waiting.waiting--
			roomWaiting.Add(-1)
		}
		if at, ok := service.queue.Next(); ok {
			next = min(next, max(0, at-now))
		}
	}
	return next
}

// lookAll sets the outlooks of waiting requests to one service. Requests that have not been sent and
// need the same weights have the same one.
func lookAll(table *fleet.Table, now time.Duration, queries map[room.TicketID]*pendingQuery) {
	same := make(map[core.WeightKey]*pendingQuery)
	for _, pending := range queries {
		plain := len(pending.query.Exclude) == 0 && pending.query.Origin == (origin.Requirement{})
		if first := same[pending.query.Weights]; plain && first != nil {
			pending.outlook, pending.known = first.outlook, first.known
			continue
		}
		pending.outlook, pending.known = table.Look(now, pending.query)
		if plain {
			same[pending.query.Weights] = pending
		}
	}
}

// pendingQuery is the query of a waiting request and its outlook.
type pendingQuery struct {
	query   fleet.Query
	outlook fleet.Outlook
	known   bool
}

// queries returns the queries of the waiting requests, by service.
func (waiting *waitingRoom) queries() map[core.ServiceID]map[room.TicketID]*pendingQuery {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	queries := make(map[core.ServiceID]map[room.TicketID]*pendingQuery, len(waiting.services))
	for name, service := range waiting.services {
		queries[name] = make(map[room.TicketID]*pendingQuery, len(service.waiters))
		for id, waiter := range service.waiters {
			queries[name][id] = &pendingQuery{query: waiter.query}
		}
	}
	return queries
}

// awaitRoom waits until the request may be sent, if the upstreams have more requests than slots. It
// returns true if it may be, the reason if the request is refused, and neither if the caller has left,
// the deadline has passed or the path to the upstreams was lost. A request that may have run, or that
// continues a stream, does not wait: it could not be refused.
func (call *call) awaitRoom(ctx context.Context) (string, bool) {
	if call.counts.Runs > 0 || call.events > 0 || call.continues() || call.route.Objective <= 0 {
		return "", true
	}
	waiting, table := &call.gateway.waiting, call.gateway.options.Table
	query := fleet.Query{Service: call.service, Weights: call.request.Weights, Exclude: slices.Clone(call.tried), Origin: call.origin(), Request: call.request.ID, Tokens: call.request.Tokens}
	now := clock.Now()
	outlook, ok := table.Look(now, query)
	if !ok {
		return "", true // an engine has to be found first
	}
	if query.Weights.Adapter != "" && outlook.Best.Cost >= extraCopyCost {
		if outlook.Best.Cost >= waitForLoadCost {
			return "", true // the request waits for another copy of the weights instead
		}
		call.gateway.copies.request(query, outlook.Best.Upstream)
	}
	waiter := &waiter{query: query, known: true, outcome: make(chan room.Outcome, 1)}
	ticket, decision := waiting.arrive(call, waiter, now, outlook, table.EntryVMs())
	if decision.Action == room.Send {
		return "", true
	}
	if decision.Action == room.Refuse {
		return call.refuseForRoom(room.Outcome{Decision: decision, State: waiter.state}, now, "at arrival"), false
	}
	reached, free := call.gateway.paths.whileReached(ctx, call.service)
	defer free()
	waiting.signal() // sets the timer
	select {
	case <-reached.Done():
	case <-call.gateway.stopping.begun.Done():
	case outcome := <-waiter.outcome:
		reason := call.endWait(outcome, now)
		return reason, reason == "" && reached.Err() == nil
	}
	if waiting.remove(call.service, ticket) {
		roomWaits.Inc(call.kind().String(), "left")
		if call.gateway.stopping.begun.Err() != nil {
			return reasonStopping, false
		}
		return "", false
	}
	reason := call.endWait(<-waiter.outcome, now)
	return reason, reason == "" && reached.Err() == nil
}

// arrive decides on a request that arrives.
func (waiting *waitingRoom) arrive(call *call, waiter *waiter, now time.Duration, outlook fleet.Outlook, vms int) (room.TicketID, room.Decision) {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	service := waiting.service(call)
	waiter.state = waiting.state(service, outlook, vms)
	waiting.lastTicket++
	ticket := call.ticket(now, waiting.lastTicket, service)
	decision, state := service.queue.Arrive(now, ticket, waiter.state)
	waiter.state = state
	if decision.Action != room.Wait {
		return ticket.ID, decision
	}
	if waiting.waiting >= maxWaiting {
		service.queue.Remove(ticket.ID)
		return ticket.ID, room.Decision{Action: room.Refuse, After: retryAfter + time.Duration(ticket.Spread*float64(retryAfter)), Full: true}
	}
	waiting.waiting++
	roomWaiting.Add(1)
	service.waiters[ticket.ID] = waiter
	return ticket.ID, decision
}

// ticket returns the request as input of the decision.
func (call *call) ticket(now time.Duration, id room.TicketID, service *serviceRoom) room.Ticket {
	ticket := room.Ticket{
		ID: id, Arrived: now - time.Since(call.start), Objective: call.route.Objective, Deadline: now + time.Until(call.deadline), Rank: call.rank(),
		Share: room.Share{Workspace: call.workspaceID()}, Tokens: call.request.Tokens,
		Spread: float64(xxhash.Sum64String(string(call.request.ID))) / math.MaxUint64,
	}
	if call.workspace != nil {
		ticket.Share.Weight = float64(call.workspace.Quota.Rate)
		ticket.Tokens = call.workspace.Quota.Cost(call.request.Tokens)
	}
	if call.request.Tokens > 0 && service.tokens > 0 {
		// Most of the time for which a request keeps its slot does not depend on its tokens.
		more := fleet.SlotTime(call.request.Tokens) - fleet.SlotTime(core.Tokens(service.tokens))
		ticket.Size = min(maxSize, max(minSize, 1+more))
	}
	return ticket
}

// remove removes a request whose wait ends without a decision. It returns false if it has been
// decided on.
func (waiting *waitingRoom) remove(name core.ServiceID, ticket room.TicketID) bool {
	waiting.lock.Lock()
	defer waiting.lock.Unlock()
	service := waiting.services[name]
	if !service.queue.Remove(ticket) {
		return false
	}
	delete(service.waiters, ticket)
	waiting.waiting--
	roomWaiting.Add(-1)
	return true
}

// endWait counts the end of a wait and returns the reason if the request is refused.
func (call *call) endWait(outcome room.Outcome, since time.Duration) string {
	roomWaitSeconds[call.kind()].Update((clock.Now() - since).Seconds())
	if outcome.Decision.Action == room.Refuse {
		return call.refuseForRoom(outcome, since, "after a wait")
	}
	if outcome.Decision.Last {
		roomWaits.Inc(call.kind().String(), "sent at the last moment")
	} else {
		roomWaits.Inc(call.kind().String(), "sent")
	}
	return ""
}

// refuseForRoom counts and logs a refusal with what it was decided on, and returns the reason.
func (call *call) refuseForRoom(outcome room.Outcome, since time.Duration, when string) string {
	reason := noRoom
	if outcome.Decision.Full {
		reason, when = tooManyWait, "full"
	}
	call.retryAfter = outcome.Decision.After
	roomRefusals.Inc(call.kind().String(), when)
	state := outcome.State
	call.gateway.options.Logger.Info("A request finds no room.", "request", call.request.ID, "service", call.service, "when", when, "load", state.Load,
		"load_limit", outcome.Decision.Limit, "requests", state.Requests, "slots", state.Slots, "service_millis", state.Service.Milliseconds(), "hold_millis", state.Hold.Milliseconds(),
		"age_millis", state.Age.Milliseconds(), "turn_millis", state.Turn.Milliseconds(), "crowded", state.Crowded, "waiting", state.Waiting, "vms", state.VMs, "rank", call.rank(),
		"workspace", call.workspaceID(), "waited_millis", (clock.Now() - since).Milliseconds(), "objective_left_millis", (call.route.Objective - time.Since(call.start)).Milliseconds(),
		"deadline_left_millis", time.Until(call.deadline).Milliseconds(), "retry_after_millis", call.retryAfter.Milliseconds())
	return reason
}
