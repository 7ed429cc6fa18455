package selection

import (
	"math"
	"time"
)

// reportDelay is the age of what a VM has heard of the others: they report every 80 ms, and so does
// the VM itself, so it is half of that on average at the report and as much again at its use.
const reportDelay = 120 * time.Millisecond

// Discount evens out the reported requests of other VMs among overloaded candidates, the more the
// shorter a request keeps its slot, for the time hold. Otherwise all VMs send to the upstream that
// had the fewest requests when they last heard, and it gets them all while the others fall
// idle; see Mitzenmacher, "How useful is old information?", 2000. It returns whether the candidates
// have no free slot on average; if they have, or hold is unknown, it changes nothing. phase differs
// among the calls and rounds the numbers.
func Discount(candidates []Candidate, hold time.Duration, phase float64) (overloaded bool) {
	others, requests, slots := 0, 0, 0
	for _, candidate := range candidates {
		others += candidate.Others
		requests += candidate.Others + candidate.Running
		slots += max(1, candidate.Slots)
	}
	if requests < slots || len(candidates) == 0 {
		return false
	}
	if hold <= 0 {
		return true
	}
	keep := math.Exp(-float64(reportDelay) / float64(hold))
	for i := range candidates {
		candidate := &candidates[i]
		even := float64(others) * candidate.slots() / float64(slots)
		_, rounding := math.Modf(math.Abs(phase) + math.Phi*float64(i))
		candidate.Others = int(even + keep*(float64(candidate.Others)-even) + rounding)
	}
	return true
}
