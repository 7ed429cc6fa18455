package room

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TicketID identifies a request on this VM.
type TicketID uint64

// Ticket is a request that may have to wait. Times are readings of a monotonic clock.
type Ticket struct {
	ID TicketID
	// Arrived is the time at which the request arrived at this VM, Objective the time after that
	// from which its answer is late, and Deadline the time from which it is useless.
	Arrived, Objective, Deadline time.Duration
	Rank                         int
	Share                        Share
	Tokens                       core.Tokens
	// Size is the time for which the request keeps a slot relative to the usual one; zero means 1.
	Size float64
	// Spread, from 0 to 1, differs among the requests.
	Spread float64
}

// Outcome is the end of the wait of a request.
type Outcome struct {
	Ticket   TicketID
	Decision Decision
	State    State
}

// Queue holds the requests of one service that wait on this VM. The zero value is ready to use. A
// Queue is not safe for concurrent use.
type Queue struct {
	waiting []Ticket
	shares  shares
	pacer   pacer
	// hold is the time for which a request of size 1 keeps its slot, as it was known last.
	hold time.Duration
	// reports counts the reports.
	reports int
	next    time.Duration
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int { return len(queue.waiting) }

// Next returns the time at which the waiting requests must be decided on again if nothing
// happens before, and false if none waits.
func (queue *Queue) Next() (time.Duration, bool) { return queue.next, len(queue.waiting) > 0 }

// Arrive decides on a request that arrives, and returns with the decision what it was made on. The
// request is in the queue after that if it waits.
func (queue *Queue) Arrive(now time.Duration, ticket Ticket, state State) (Decision, State) {
	sum, count := queue.shares.total(now)
	request := ticket.request(now, excess(queue.shares.used(now, ticket.Share), sum, count))
	state = queue.complete(now, request, state)
	decision := Decide(request, state)
	switch decision.Action {
	case Send:
		queue.sent(now, ticket, decision)
	case Wait:
		if len(queue.waiting) == 0 {
			queue.next = now + decision.After
		}
		queue.next = min(queue.next, now+decision.After)
		queue.waiting = append(queue.waiting, ticket)
	}
	return decision, state
}

// complete adds to the state what the queue knows.
func (queue *Queue) complete(now time.Duration, request Request, state State) State {
	queue.hold = state.hold()
	state.Waiting = len(queue.waiting)
	class := request.class()
	if request.late(state) {
		class += lateClass
	}
	state.Turn = queue.pacer.until(now, min(class, maxClass))
	state.Crowded = state.Load > 1 && !queue.pacer.allowsLast(request.size())
	return state
}

// Report notes a report of the requests of all VMs at the upstreams of the service, whose requests
// have the given objective. phase, from 0 to 1, differs among the VMs.
func (queue *Queue) Report(now, objective time.Duration, state State, phase float64) {
	if state.known() {
		queue.reports++
		queue.pacer.report(now, state, Request{Objective: objective}.target(state), phase+math.Phi*float64(queue.reports), len(queue.waiting) > 0)
	}
}

// sent counts a request that is sent.
func (queue *Queue) sent(now time.Duration, ticket Ticket, decision Decision) {
	queue.shares.sent(now, ticket.Share, ticket.Tokens)
	queue.pacer.sent(now, decision.Last)
}

// Remove removes a request whose caller has left. It returns false if it does not wait.
func (queue *Queue) Remove(id TicketID) bool {
	at := slices.IndexFunc(queue.waiting, func(ticket Ticket) bool { return ticket.ID == id })
	if at < 0 {
		return false
	}
	queue.waiting = slices.Delete(queue.waiting, at, at+1)
	return true
}

// request returns a ticket as input of the decision.
func (ticket Ticket) request(now time.Duration, excess float64) Request {
	return Request{
		ToObjective: ticket.Arrived + ticket.Objective - now, ToDeadline: ticket.Deadline - now, Objective: ticket.Objective,
		Rank: ticket.Rank, Size: ticket.Size, Excess: excess, Spread: ticket.Spread,
	}
}

// late reports whether the objective of the request has passed.
func (ticket Ticket) late(now time.Duration) bool { return now >= ticket.Arrived+ticket.Objective }

// review is the state of one pass over the waiting requests.
type review struct {
	queue *Queue
	now   time.Duration
	// used holds what the workspaces have used, and sum and count the total.
	used  map[core.WorkspaceID]float64
	sum   float64
	count int
	// sent is the number of requests that were sent in this pass.
	sent int
}

// sort orders requests: those that can still be answered within their objective first, then by
// rank, then those of the workspace that has used least, then by the time at which they have to be
// sent for their deadline. A large one is not put behind: it has to be sent sooner.
func (review *review) sort(tickets []Ticket) {
	slices.SortFunc(tickets, func(a, b Ticket) int {
		late := 0
		if aLate, bLate := a.late(review.now), b.late(review.now); aLate != bLate {
			late = 1
			if bLate {
				late = -1
			}
		}
		return cmp.Or(
			late, cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(review.used[a.Share.Workspace], review.used[b.Share.Workspace]),
			cmp.Compare(review.queue.due(a), review.queue.due(b)), cmp.Compare(a.ID, b.ID),
		)
	})
}

// due returns the time at which a request has to be sent to be answered before its deadline, if a
// slot is free.
func (queue *Queue) due(ticket Ticket) time.Duration {
	return ticket.Deadline - scale(queue.hold, Request{Size: ticket.Size}.size())
}

// add adds a request that is sent to what its workspace has used.
func (review *review) add(ticket Ticket, decision Decision) {
	review.sent++
	review.queue.sent(review.now, ticket, decision)
	review.used[ticket.Share.Workspace] = review.queue.shares.used(review.now, ticket.Share)
	review.sum, review.count = review.queue.shares.total(review.now)
}

// Review decides on all waiting requests in their order and removes those whose wait ends, which
// it returns. look returns the state for a request, and false if it no longer knows an upstream
// for it; the request is sent then, which finds out why.
func (queue *Queue) Review(now time.Duration, look func(Ticket) (State, bool)) []Outcome {
	if len(queue.waiting) == 0 {
		return nil
	}
	review := &review{queue: queue, now: now, used: make(map[core.WorkspaceID]float64)}
	review.sum, review.count = queue.shares.total(now)
	for _, ticket := range queue.waiting {
		review.used[ticket.Share.Workspace] = queue.shares.used(now, ticket.Share)
	}
	left := slices.Clone(queue.waiting)
	review.sort(left)
	kept := queue.waiting[:0]
	queue.next = math.MaxInt64
	var ended []Outcome
	for len(left) > 0 {
		ticket := left[0]
		left = left[1:]
		state, ok := look(ticket)
		if !ok {
			ended = append(ended, Outcome{Ticket: ticket.ID, Decision: Decision{Action: Send}})
			continue
		}
		state.Requests += review.sent
		state.Load += float64(review.sent) / float64(max(1, state.Slots))
		request := ticket.request(now, excess(review.used[ticket.Share.Workspace], review.sum, review.count))
		state = queue.complete(now, request, state)
		decision := Decide(request, state)
		switch decision.Action {
		case Wait:
			kept = append(kept, ticket)
			queue.next = min(queue.next, now+decision.After)
			continue
		case Send:
			review.add(ticket, decision)
			// Without reports all requests are sent, in any order: to sort 512 of them after
			// each send takes 56 ms of a whole core.
			if state.known() && len(review.used) > 1 {
				review.sort(left)
			}
		}
		ended = append(ended, Outcome{Ticket: ticket.ID, Decision: decision, State: state})
	}
	queue.waiting = kept
	return ended
}
