package room

import (
	"math"
	"time"
)

// maxAge is the age of a report from which the requests of other VMs are not relied on. A VM
// gets a report every 500 ms at the latest.
const maxAge = time.Second

const (
	// reservedPart is the part of the objective that a predicted answer must leave free. It covers
	// the requests that other VMs have sent since the last report: with 70 VMs and reports every
	// 80 ms, two or three for each of 6 slots at a service time of a fifth of the objective.
	reservedPart = 0.25
	// maxRanks is the number of ranks below the most urgent one that differ, and maxDoublings the
	// number of doublings of a workspace's use beyond its share that differ.
	maxRanks     = 3
	maxDoublings = 2
	// deadlinePart is the part of the time to the end of the answer by which a waiting request
	// is sent sooner than the prediction needs.
	deadlinePart = 0.25
)

// Request is a request that has not run.
type Request struct {
	// ToObjective is the time left until the answer, or the first event of a stream, is late, and
	// ToDeadline that until the whole answer is useless. Both may be negative.
	ToObjective, ToDeadline time.Duration
	// Objective is the whole time from the arrival until the answer is late.
	Objective time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Size is the time for which the request keeps a slot, relative to the usual one; zero means 1.
	Size float64
	// Excess is what its workspace uses relative to its share; up to 1 it is within the share.
	Excess float64
	// Spread, from 0 to 1, differs among the requests and spreads the times of their return.
	Spread float64
}

// State is what this VM knows of the upstreams that can serve a request.
type State struct {
	// Load is the requests at the best upstream and this one, divided by its slots. Up to 1 the
	// request finds a free slot.
	Load float64
	// Service is the time until the answer, or the first event of a stream, at a free slot, and
	// zero if it is unknown. Hold is the time for which a request keeps the slot, at least Service.
	Service, Hold time.Duration
	// Age is the age of the last report of other VMs' requests.
	Age time.Duration
	// Slots and Requests are the sums over the upstreams that can serve the request.
	Slots, Requests int
	// VMs is the number of entry VMs.
	VMs int
	// Turn is the time until this VM has a turn for the request, zero while none is needed. Crowded is
	// set if it has none even for a request whose time left is just enough.
	Turn    time.Duration
	Crowded bool
	// Waiting is the number of requests that wait on this VM.
	Waiting int
}

// known reports whether a decision can rely on the state.
func (state State) known() bool {
	return state.Service > 0 && state.Age <= maxAge && !math.IsNaN(state.Load) && !math.IsInf(state.Load, 0)
}

// hold returns the time for which a request keeps its slot.
func (state State) hold() time.Duration { return max(state.Service, state.Hold) }

// queueing returns the time that a request sent now waits at the upstream. The queue is served in
// the order of arrival, and Load-1 times the slots have to become free before.
func (state State) queueing() time.Duration {
	return scale(state.hold(), max(0, state.Load-1))
}

// end returns the predicted time until the end of the answer.
func (state State) end(size float64) time.Duration {
	return state.queueing() + max(state.Service, scale(state.hold(), size))
}

// drain returns the time in which the upstreams can serve all that is known to wait at them and on
// the VMs, if the others hold as many requests as this one.
func (state State) drain() time.Duration {
	atVMs := float64(state.Waiting*max(1, state.VMs)) / float64(max(1, state.Slots))
	return state.queueing() + scale(state.hold(), atVMs)
}

func scale(span time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(span)*factor, float64(time.Hour)))
}

// Action is what becomes of a request.
type Action uint8

// The actions.
const (
	// Send means that the request is sent now.
	Send Action = iota + 1
	// Wait means that it waits on this VM.
	Wait
	// Refuse means that it is refused, as it has not run.
	Refuse
)

// String returns the name of the action.
func (action Action) String() string {
	switch action {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// Decision is what becomes of a request, and when that must be decided again.
type Decision struct {
	Action Action
	// After is the time until a waiting request must be decided on again, whatever is reported
	// until then, or the time after which the caller of a refused one may return.
	After time.Duration
	// Last is set if the request is sent since its time left is just enough.
	Last bool
	// Full is set for a request that is refused since too many wait on this VM.
	Full bool
	// Limit is the load up to which the request is sent before its last moment.
	Limit float64
}

// Decide decides what becomes of a request. It is sent if a slot is free, if the answer is
// predicted within its objective with a reserve, or if the time to its deadline is just enough
// should the queue be as long as requests in time make it, for one objective. One that cannot be
// answered before its deadline is refused, and the others wait.
func Decide(request Request, state State) Decision {
	if !state.known() || state.Load <= 1 && state.Turn <= 0 {
		return Decision{Action: Send, Limit: 1}
	}
	limit := request.limit(state)
	if state.end(request.size()) > request.ToDeadline {
		return Decision{Action: Refuse, After: request.comeback(state), Limit: limit}
	}
	latest := request.latest(state)
	turn := time.Duration(math.MaxInt64)
	if state.Load <= limit && latest > 0 {
		turn = state.Turn
	}
	switch {
	case turn <= 0:
		return Decision{Action: Send, Limit: limit}
	case latest > request.Objective:
		return Decision{Action: Wait, After: min(turn, latest-request.Objective), Limit: limit}
	case state.Crowded && latest > 0 && !request.late(state):
		return Decision{Action: Wait, After: min(turn, latest), Limit: limit}
	case state.Crowded:
		return Decision{Action: Refuse, After: request.comeback(state), Limit: limit}
	}
	return Decision{Action: Send, Last: true, Limit: limit}
}

// late reports whether the answer misses its objective even at a free slot.
func (request Request) late(state State) bool { return request.ToObjective < state.Service }

// size returns the time for which the request keeps a slot, relative to the usual one.
func (request Request) size() float64 {
	if request.Size <= 0 {
		return 1
	}
	return request.Size
}

// latest returns the time until the request has to be sent to be answered before its deadline.
func (request Request) latest(state State) time.Duration {
	return request.ToDeadline - scale(state.end(request.size()), 1+deadlinePart)
}

// limit returns the load up to which the answer is predicted within the objective, less the
// reserve, and 1 for a request that is late.
func (request Request) limit(state State) float64 {
	left := request.ToObjective - scale(request.Objective, reservedPart) - state.Service
	return 1 + max(0, float64(left)/float64(state.hold()))
}

// target returns the load to keep while more requests arrive than the upstreams serve: half of
// the queue with which a new request is answered within its objective.
func (request Request) target(state State) float64 {
	request.ToObjective = request.Objective
	return (1 + request.limit(state)) / 2
}

// comeback returns the time after which the caller of a refused request may return: when what
// waits is expected to be served, and up to as much later.
func (request Request) comeback(state State) time.Duration {
	return scale(max(state.drain(), state.hold()), 1+min(1, max(0, request.Spread)))
}
