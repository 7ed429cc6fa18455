package selection

import "time"

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
	// Reading is the time that the upstream needs for the prompts that it was sent and has not
	// read. It reads one after another, so a short prompt waits behind a long one. Objective is
	// the time in which the first event of the request should arrive, zero if there is none.
	Reading, Objective time.Duration
	// Limited is set while the upstream states a limit of requests a second.
	Limited bool
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

// Load returns the relative load with one more request. Up to 1 the request finds a free slot.
func (candidate Candidate) Load() float64 {
	return float64(candidate.Running+candidate.Others+1) / float64(max(1, candidate.Slots))
}

// Cost returns the cost of sending one more request to the candidate. It is 1/Slots for an
// idle candidate in the zone of the entry VM. A relative load above 1 means that the
// request has to wait.
func (candidate Candidate) Cost() float64 {
	cost := candidate.Load()
	if !candidate.Local {
		cost += remoteCost
	}
	if candidate.Silent {
		cost += silentCost
	}
	if candidate.Objective > 0 {
		cost += float64(candidate.Reading) / float64(candidate.Objective)
	}
	if candidate.Limited {
		cost += limitedCost
	}
	return cost + faultCost*candidate.Faults
}

// Choose returns the index and the cost of the candidate with the lowest cost, and -1 and 0
// if there are no candidates. The search begins at the index start modulo the number of
// candidates, so that increasing start rotates among candidates of equal cost.
func Choose(candidates []Candidate, start int) (int, float64) {
	chosen, lowest := -1, 0.0
	for i := range candidates {
		index := (i + start) % len(candidates)
		if cost := candidates[index].Cost(); chosen < 0 || cost < lowest {
			chosen, lowest = index, cost
		}
	}
	return chosen, lowest
}
