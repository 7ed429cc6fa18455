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
// idle; see Mitzenmacher, "How useful is old information?", 2000. Requests that a candidate cannot have
// answered since then stay with it: a suspended one keeps all, while the others have free
// slots. It returns whether the candidates
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
	mean, open := float64(others)/float64(slots), 0.0
	for _, candidate := range candidates {
		others -= candidate.stuck(hold, mean)
		open += candidate.openSlots()
	}
	for i := range candidates {
		candidate := &candidates[i]
		even := float64(others) * candidate.openSlots() / open
		_, rounding := math.Modf(math.Abs(phase) + math.Phi*float64(i))
		stuck := candidate.stuck(hold, mean)
		candidate.Others = stuck + int(even+keep*(float64(candidate.Others-stuck)-even)+rounding)
	}
	return true
}

// openSlots returns the number of slots that may be used.
func (candidate Candidate) openSlots() float64 { return candidate.slots() * orOne(candidate.Open) }

// stuckRatio is the number of reported requests by slot relative to the mean from which some of them
// may be stuck. Numbers that differ less result from the delay of the reports.
const stuckRatio = 1.5

// stuck returns how many of the reported requests the candidate still has after reportDelay beyond those
// in its slots, if it has far more by slot than the mean of the candidates.
func (candidate Candidate) stuck(hold time.Duration, mean float64) int {
	if float64(candidate.Others) <= stuckRatio*mean*candidate.slots() {
		return 0
	}
	answered := candidate.slots() * float64(reportDelay) / float64(hold)
	return max(0, candidate.Others-int(math.Ceil(min(candidate.slots()+answered, math.MaxInt32))))
}
