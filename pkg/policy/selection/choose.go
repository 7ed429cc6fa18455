package selection

// Candidate is an upstream that can serve a request.
type Candidate struct {
	// Local is set for an upstream in the zone of the entry VM.
	Local bool
	// Running is the number of requests in flight from this VM, and Others the number
	// from other VMs, as last reported.
	Running, Others int
	Slots           int
	// Faults is the share of recent answers that failed, from 0 to 1.
	Faults float64
	// Silent is set while the announcements of the upstream are missing.
	Silent bool
}

// The costs of a candidate beside its load, in units of a full upstream.
const (
	// remoteCost stands for the bytes between zones and the longer way.
	remoteCost = 0.35
	// faultCost makes an upstream that fails every second request as unattractive as
	// one with a full queue.
	faultCost  = 3.0
	silentCost = 1.5
)

// Cost returns the cost of sending one more request to the candidate. An idle one in the
// own zone costs 1/Slots; from 1 on a request waits.
func (candidate Candidate) Cost() float64 {
	cost := float64(candidate.Running+candidate.Others+1) / float64(max(1, candidate.Slots))
	if !candidate.Local {
		cost += remoteCost
	}
	if candidate.Silent {
		cost += silentCost
	}
	return cost + faultCost*candidate.Faults
}

// Choose returns the index and the cost of the cheapest candidate, and -1 if there is
// none. Equal candidates take turns as start grows.
func Choose(candidates []Candidate, start int) (int, float64) {
	chosen, least := -1, 0.0
	for i := range candidates {
		at := (i + start) % len(candidates)
		if cost := candidates[at].Cost(); chosen < 0 || cost < least {
			chosen, least = at, cost
		}
	}
	return chosen, least
}
