package selection

import (
	"math"
	"time"
)

// Candidate is an upstream that can serve a request.
type Candidate struct {
	// Local is set for an upstream in the zone of the entry VM.
	Local bool
	// Running is the number of requests in flight from this VM, and Others the last
	// reported number from other VMs.
	Running, Others int
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int
	// Faults is the fraction of recent answers that failed, from 0 to 1.
	Faults float64
	// Silent is set while announcements of the upstream are overdue.
	Silent bool
	// Reading is the time that an upstream of median speed needs for the prompts that this one was
	// sent and has not read. It reads one after another, so a short prompt waits behind a long one. Objective is
	// the time in which the first event of the request should arrive, zero if there is none.
	Reading, Objective time.Duration
	// Limited is set while the upstream states a limit of requests a second.
	Limited bool
	// Speed is the speed relative to the median of the service, and Open the share of the
	// slots that may be used. Zero means 1.
	Speed, Open float64
	// Size is the work of the request: 1 keeps a slot at an upstream of median speed for as
	// long as the average request does.
	Size float64
}

// Costs that are added to the relative load of a candidate, in which 1 is a fully used
// upstream.
const (
	// remoteCost accounts for the traffic between zones and the higher latency.
	remoteCost = 0.35
	// faultCost is multiplied by Candidate.Faults. It makes an upstream that fails half
	// of its requests as unattractive as one with a full queue.
	faultCost  = 3.0
	silentCost = 1.5
	// limitedCost leaves the turns at an upstream that states a limit to the requests that no
	// other upstream can serve, as long as the others have free slots.
	limitedCost = 1.0
)

// Load returns the requests at the candidate with one more, divided by the slots that may be
// used. Up to 1 the request finds a free slot.
func (candidate Candidate) Load() float64 {
	return candidate.requests() / candidate.openSlots()
}

// requests returns the number of requests with one more.
func (candidate Candidate) requests() float64 {
	return float64(candidate.Running + candidate.Others + 1)
}

// slots returns the number of slots.
func (candidate Candidate) slots() float64 { return float64(max(1, candidate.Slots)) }

// orOne returns the value, and 1 instead of zero.
func orOne(value float64) float64 {
	if value == 0 {
		return 1
	}
	return value
}

// Bound is the least cost that a candidate has for a request of any size. It changes only with
// the candidate's requests, slots, speed and share, so it can be kept between choices.
type Bound struct {
	// Cost is the cost for a request of size zero.
	Cost float64
	// Slowness is added for a request of size 1. It is negative for a fast candidate.
	Slowness float64
}

// For returns the least cost for a request of the given size.
func (bound Bound) For(size float64) float64 { return bound.Cost + size*bound.Slowness }

// Bound returns the least cost of the candidate: without faults, and as if it were neither silent
// nor limited.
func (candidate Candidate) Bound() Bound {
	speed := orOne(candidate.Speed)
	// Requests take longer at a slow candidate, so each is a larger part of its capacity. Slots
	// that may not be used look like those of a full upstream.
	bound := Bound{Cost: candidate.Load() / speed, Slowness: 1/speed - 1}
	if !candidate.Local {
		bound.Cost += remoteCost
	}
	return bound
}

// Cost returns the cost of sending one more request to the candidate. It is 1/Slots for an
// idle candidate of median speed in the zone of the entry VM. A relative load above 1 means
// that the request has to wait.
func (candidate Candidate) Cost() float64 {
	cost := candidate.Bound().For(candidate.Size)
	if candidate.Silent {
		cost += silentCost
	}
	if candidate.Objective > 0 {
		cost += float64(candidate.Reading) / orOne(candidate.Speed) / float64(candidate.Objective)
	}
	if candidate.Limited {
		cost += limitedCost
	}
	return cost + faultCost*candidate.Faults
}

// Position is the index of a candidate's bound.
type Position int32

// Choose returns the position and the cost of the candidate with the lowest cost among those at
// the given positions, and -1 and 0 if there is none. cost returns the cost of a candidate, and
// false if it cannot serve the request; it is called only for candidates whose bound is below the
// lowest cost so far. The search begins at the index start modulo the number of positions, so that
// increasing start rotates among candidates of equal cost.
func Choose(bounds []Bound, positions []Position, start int, size float64, cost func(Position) (float64, bool)) (Position, float64) {
	if len(positions) == 0 {
		return -1, 0
	}
	first := start % len(positions)
	chosen, lowest := Position(-1), math.Inf(1)
	for _, part := range [2][]Position{positions[first:], positions[:first]} {
		for _, position := range part {
			if bounds[position].For(size) >= lowest {
				continue
			}
			if next, ok := cost(position); ok && next < lowest {
				chosen, lowest = position, next
			}
		}
	}
	if chosen < 0 {
		return -1, 0
	}
	return chosen, lowest
}
