package policy

import (
	"math"
	"time"
)

// binPrices holds the prices per time bin: load for each load that starts in the bin,
// and slot for each second that a slot is in use. The unit is seconds of waiting.
type binPrices struct{ load, slot []float64 }

// lagrangianBound evaluates the bound of lagrangianWait.
type lagrangianBound struct {
	setup Setup
	// calls holds the requests of each adapter, sorted by arrival time.
	calls [][]request
	bins  int
	binPrices
	// slotPriceSum is the integral of the slot price up to the start of each bin.
	slotPriceSum []float64
	// starts is the number of load starts and occupied the slot seconds that the best
	// plans use in each bin.
	starts, occupied []float64
	plans            []plan
}

// plan is the cheapest continuation from one call of an adapter.
type plan struct {
	cost float64
	// start is the start time of the load, in seconds, if the adapter is not resident.
	start float64
	// last is the index of the last call that the plan serves or refuses.
	last int
	// keep is set if the adapter stays resident until the next call.
	keep bool
	// refuse is set if the call is refused.
	refuse bool
}

const (
	// binLength is the width of the price bins in seconds.
	binLength = 2.0
	// iterations limits the search for good prices. Any prices give a valid bound, so
	// stopping early only makes it weaker.
	iterations = 600
	// Step sizes of the search, in seconds of waiting.
	loadStep = 0.6
	slotStep = 0.004
)

// lagrangianWait returns a lower bound on the total wait for adapters that also takes
// the limits of the store into account. Like clairvoyantWait it covers every policy
// that loads an adapter only while a call for it waits, even one that knows all
// future calls.
//
// The bound is a Lagrangian dual. A feasible schedule satisfies two constraints: at
// most engines*slots slots are in use at any time, and the store starts no more loads
// than its rate and burst allow. Relax both constraints: charge nonnegative prices for
// each load start and each second of a slot, and subtract the maximum payment of any
// feasible schedule. The payments of a feasible schedule never exceed that maximum, so
// its wait is at least its wait plus its payments minus the maximum payment, and that
// is at least the minimum over all schedules. The relaxed problem has no constraint
// that couples the adapters, so each adapter is planned separately by dynamic
// programming over its calls. This holds for any prices; a subgradient search finds
// good ones. One pool of slots instead of one per engine, loads that never fail,
// engines that never restart and prompt tokens without cost only lower the bound. A
// call may be refused at the cost of its whole deadline, as the simulations count it.
func lagrangianWait(setup Setup, requests []request) time.Duration {
	bound := newLagrangianBound(setup, requests)
	best := 0.0
	for iteration := range iterations {
		value := bound.evaluate()
		best = max(best, value)
		bound.updatePrices(1 / math.Sqrt(float64(iteration+1)))
	}
	return time.Duration(best * float64(time.Second))
}

func newLagrangianBound(setup Setup, requests []request) *lagrangianBound {
	bound := &lagrangianBound{setup: setup, calls: make([][]request, setup.Workload.Adapters)}
	for _, request := range requests {
		bound.calls[request.adapter] = append(bound.calls[request.adapter], request)
	}
	length := (setup.Workload.Length + setup.Workload.Deadline + time.Minute).Seconds()
	bound.bins = int(length/binLength) + 1
	for _, list := range []*[]float64{&bound.load, &bound.slot, &bound.slotPriceSum, &bound.starts, &bound.occupied} {
		*list = make([]float64, bound.bins+1)
	}
	return bound
}

// evaluate returns the dual value of the current prices, in seconds, and updates starts
// and occupied for the best plans.
func (bound *lagrangianBound) evaluate() float64 {
	clear(bound.starts)
	clear(bound.occupied)
	for bin := range bound.bins {
		bound.slotPriceSum[bin+1] = bound.slotPriceSum[bin] + bound.slot[bin]*binLength
	}
	value := 0.0
	for _, calls := range bound.calls {
		if len(calls) > 0 {
			value += bound.solve(calls)
			bound.countUsage(calls)
		}
	}
	return value - bound.maxPayment()
}

// maxPayment returns the maximum payment of any feasible schedule, in seconds.
func (bound *lagrangianBound) maxPayment() float64 {
	slots := float64(bound.setup.Engines * bound.setup.Slots)
	payment, previous := 0.0, 0.0
	for bin := range bound.bins {
		payment += float64(bound.setup.Share.PerSecond) * binLength * bound.load[bin]
		payment += bound.setup.Share.Burst() * max(0, bound.load[bin]-previous)
		payment += slots * binLength * bound.slot[bin]
		previous = bound.load[bin]
	}
	return payment
}

// solve fills plans with the cheapest plan from each call of an adapter on and returns
// the cost for all its calls. Entry 2i is for call i with the adapter not resident,
// entry 2i+1 with the adapter resident.
func (bound *lagrangianBound) solve(calls []request) float64 {
	for len(bound.plans) < 2*len(calls)+2 {
		bound.plans = append(bound.plans, plan{})
	}
	bound.plans[2*len(calls)], bound.plans[2*len(calls)+1] = plan{}, plan{}
	for i := len(calls) - 1; i >= 0; i-- {
		bound.plans[2*i+1] = bound.residentPlan(calls, i, calls[i].at.Seconds())
		bound.plans[2*i] = bound.missingPlan(calls, i)
	}
	return bound.plans[0].cost
}

// residentPlan returns the best plan if the adapter is resident at a time and all calls
// up to index last are served.
func (bound *lagrangianBound) residentPlan(calls []request, last int, at float64) plan {
	running := float64(calls[last].tokens) * emptyStepTime.Seconds()
	best := plan{cost: bound.slotCost(at, at+running) + bound.plans[2*last+2].cost, last: last}
	if last+1 < len(calls) {
		kept := bound.slotCost(at, calls[last+1].at.Seconds()) + bound.plans[2*last+3].cost
		if kept < best.cost {
			best = plan{cost: kept, last: last, keep: true}
		}
	}
	return best
}

// missingPlan returns the best plan for call i with its adapter not resident: refuse
// the call, or start a load when it arrives or at the start of a later bin. Other start
// times need no check: within a bin the cost does not decrease with the start time, as
// slot prices are at most 1.
func (bound *lagrangianBound) missingPlan(calls []request, i int) plan {
	deadline := bound.setup.Workload.Deadline.Seconds()
	load := bound.setup.Share.LoadTime.Seconds()
	arrived := calls[i].at.Seconds()
	best := plan{cost: deadline + bound.plans[2*i+2].cost, last: i, refuse: true}
	last := i
	waited, waiting := 0.0, 0.0
	for start := arrived; start <= arrived+deadline-load; start = (math.Floor(start/binLength) + 1) * binLength {
		for ; last < len(calls) && calls[last].at.Seconds() <= start+load; last++ {
			waited += calls[last].at.Seconds()
			waiting++
		}
		plan := bound.residentPlan(calls, last-1, start+load)
		plan.cost += waiting*(start+load) - waited + bound.load[bound.binAt(start)] + bound.slotCost(start, start+load)
		if plan.cost < best.cost {
			plan.start = start
			best = plan
		}
	}
	return best
}

// countUsage adds the load starts and slot seconds of the best plan of an adapter to
// starts and occupied.
func (bound *lagrangianBound) countUsage(calls []request) {
	load := bound.setup.Share.LoadTime.Seconds()
	for i, resident := 0, false; i < len(calls); {
		at, chosen := calls[i].at.Seconds(), bound.plans[2*i]
		if resident {
			chosen = bound.plans[2*i+1]
		} else if chosen.refuse {
			i++
			continue
		} else {
			bound.starts[bound.binAt(chosen.start)]++
			at = chosen.start
		}
		end := at + float64(calls[chosen.last].tokens)*emptyStepTime.Seconds()
		if !resident {
			end += load
		}
		if chosen.keep {
			end = calls[chosen.last+1].at.Seconds()
		}
		bound.addOccupancy(at, end)
		resident = chosen.keep
		i = chosen.last + 1
	}
}

// addOccupancy adds the use of one slot over a time span to occupied.
func (bound *lagrangianBound) addOccupancy(from, to float64) {
	for from < to {
		bin := bound.binAt(from)
		end := to
		if bin < bound.bins-1 {
			end = min(to, float64(bin+1)*binLength)
		}
		bound.occupied[bin] += end - from
		from = end
	}
}

// updatePrices takes a subgradient step: it raises the prices in bins in which the best
// plans exceed the constraints and lowers the others.
func (bound *lagrangianBound) updatePrices(step float64) {
	slots := float64(bound.setup.Engines*bound.setup.Slots) * binLength
	rate := float64(bound.setup.Share.PerSecond) * binLength
	for bin := range bound.bins {
		bound.load[bin] = max(0, bound.load[bin]+step*loadStep*(bound.starts[bin]-rate)/rate)
		bound.slot[bin] = min(1, max(0, bound.slot[bin]+step*slotStep*(bound.occupied[bin]-slots)/slots))
	}
}

// binAt returns the index of the bin that contains a time in seconds.
func (bound *lagrangianBound) binAt(at float64) int { return min(bound.bins-1, int(at/binLength)) }

// slotCost returns the price of one slot over a time span.
func (bound *lagrangianBound) slotCost(from, to float64) float64 {
	if to <= from {
		return 0
	}
	return bound.slotCostUntil(to) - bound.slotCostUntil(from)
}

// slotCostUntil returns the price of one slot from the start of the simulation to at.
func (bound *lagrangianBound) slotCostUntil(at float64) float64 {
	bin := bound.binAt(at)
	return bound.slotPriceSum[bin] + bound.slot[bin]*(at-float64(bin)*binLength)
}

// knownRatesWait returns the total wait of a policy that always holds the adapters with
// the highest true request rates but does not know individual future calls. Under the
// independent reference model, no policy without knowledge of individual calls has
// fewer misses (algorithm A0 of Aho, Denning and Ullman). It is not a bound for a
// policy that knows the future; it shows how much of the gap to clairvoyantWait is due
// to that knowledge.
func knownRatesWait(setup Setup, requests []request, seed uint64) time.Duration {
	ranks := setup.Workload.ranks(seed)
	misses := 0
	resident := make(map[int]bool)
	shifted := false
	windowStart := make(map[int]time.Duration)
	for _, request := range requests {
		afterShift := setup.Workload.Shift > 0 && request.at >= setup.Workload.Shift
		if afterShift && !shifted {
			shifted = true
			ranks = setup.Workload.shiftedRanks(ranks)
			kept := make(map[int]bool)
			for adapter := range resident {
				kept[adapter] = ranks[adapter] < setup.Engines*setup.Slots
			}
			resident = kept
		}
		if start, ok := windowStart[request.adapter]; ok && request.at < start+loadTime {
			continue
		}
		windowStart[request.adapter] = request.at
		if ranks[request.adapter] >= setup.Engines*setup.Slots || !resident[request.adapter] {
			misses++
			resident[request.adapter] = ranks[request.adapter] < setup.Engines*setup.Slots
		}
	}
	return time.Duration(misses) * loadTime
}
