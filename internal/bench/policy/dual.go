package policy

import (
	"math"
	"time"
)

// Prices of one bin of time: of a load that starts in it, and of a second of one
// place in it. Both are counted in seconds of waiting.
type prices struct{ load, place []float64 }

// priced evaluates the pricedWait bound.
type priced struct {
	setup Setup
	// calls holds the requests of each adapter in order.
	calls [][]request
	bins  int
	prices
	// held is the integral of prices.place up to the start of each bin.
	held []float64
	// starts and occupied count what the best plans use, per bin.
	starts, occupied []float64
	plans            []plan
}

// plan is the best continuation from one call of an adapter.
type plan struct {
	cost float64
	// missing is set for the plan of a call that finds its adapter not resident.
	start float64
	last  int
	keep  bool
	drop  bool
}

const (
	// binLength is the width of the price bins, in seconds.
	binLength = 2.0
	// rounds bounds the search for good prices. Any prices give a valid bound, so
	// ending early only makes it weaker.
	rounds = 600
	// Step widths of the search, in seconds of waiting.
	loadStep  = 0.6
	placeStep = 0.004
)

// pricedWait returns a lower bound on the total wait for adapters that also counts
// the limits of the store. Like clairvoyantWait it covers every policy that loads
// an adapter only while a call for it waits, even one that knows all future calls.
//
// Why it is a bound: it is a Lagrangian dual. A schedule must keep two limits:
// at most engines*slots places are in use at any time, and the store starts no
// more loads than its rate and burst allow. Replace both limits by prices that are
// never negative, one for a load start and one for a second of a place, and
// refund the most that any schedule within the limits could pay. For a schedule
// within the limits the payments never exceed the refund, so its wait is at least
// its wait plus payments minus refund, and that is at least the minimum over all
// schedules, which no longer share anything: each adapter is planned on its own by
// dynamic programming over its calls. This holds for any prices; a search picks
// good ones. Pools instead of engines, loads that never fail, engines that never
// restart and prompt tokens that cost nothing make the bound only lower. A call
// may be refused at the price of its whole deadline, as the measured runs count it.
func pricedWait(setup Setup, requests []request) time.Duration {
	bound := newPriced(setup, requests)
	best := 0.0
	for round := range rounds {
		value := bound.evaluate()
		best = max(best, value)
		bound.improve(1 / math.Sqrt(float64(round+1)))
	}
	return time.Duration(best * float64(time.Second))
}

func newPriced(setup Setup, requests []request) *priced {
	bound := &priced{setup: setup, calls: make([][]request, setup.Workload.Adapters)}
	for _, request := range requests {
		bound.calls[request.adapter] = append(bound.calls[request.adapter], request)
	}
	length := (setup.Workload.Length + setup.Workload.Deadline + time.Minute).Seconds()
	bound.bins = int(length/binLength) + 1
	for _, list := range []*[]float64{&bound.load, &bound.place, &bound.held, &bound.starts, &bound.occupied} {
		*list = make([]float64, bound.bins+1)
	}
	return bound
}

// evaluate returns the dual value of the present prices and counts what the best
// plans use.
func (bound *priced) evaluate() float64 {
	clear(bound.starts)
	clear(bound.occupied)
	for bin := range bound.bins {
		bound.held[bin+1] = bound.held[bin] + bound.place[bin]*binLength
	}
	value := 0.0
	for _, calls := range bound.calls {
		if len(calls) > 0 {
			value += bound.solve(calls)
			bound.replay(calls)
		}
	}
	return value - bound.refund()
}

// refund returns the most that a schedule within the limits can pay.
func (bound *priced) refund() float64 {
	places := float64(bound.setup.Engines * bound.setup.Slots)
	refund, before := 0.0, 0.0
	for bin := range bound.bins {
		refund += float64(bound.setup.Share.PerSecond) * binLength * bound.load[bin]
		refund += bound.setup.Share.Burst() * max(0, bound.load[bin]-before)
		refund += places * binLength * bound.place[bin]
		before = bound.load[bin]
	}
	return refund
}

// solve fills plans with the least cost from each call of an adapter on. Entry
// 2i is for a call that finds its adapter missing, 2i+1 for one that finds it.
func (bound *priced) solve(calls []request) float64 {
	for len(bound.plans) < 2*len(calls)+2 {
		bound.plans = append(bound.plans, plan{})
	}
	bound.plans[2*len(calls)], bound.plans[2*len(calls)+1] = plan{}, plan{}
	for i := len(calls) - 1; i >= 0; i-- {
		bound.plans[2*i+1] = bound.after(calls, i, calls[i].at.Seconds())
		bound.plans[2*i] = bound.missing(calls, i)
	}
	return bound.plans[0].cost
}

// after returns the best plan once the adapter is resident at a time and all calls
// up to the one numbered last are served.
func (bound *priced) after(calls []request, last int, at float64) plan {
	runs := float64(calls[last].tokens) * emptyStep.Seconds()
	best := plan{cost: bound.rent(at, at+runs) + bound.plans[2*last+2].cost, last: last}
	if last+1 < len(calls) {
		kept := bound.rent(at, calls[last+1].at.Seconds()) + bound.plans[2*last+3].cost
		if kept < best.cost {
			best = plan{cost: kept, last: last, keep: true}
		}
	}
	return best
}

// missing returns the best plan for a call that finds its adapter not resident:
// refuse it, or start a load when it arrives or at the start of a later bin. Within
// a bin the cost grows with the start, as prices of places stay below 1.
func (bound *priced) missing(calls []request, i int) plan {
	deadline := bound.setup.Workload.Deadline.Seconds()
	load := bound.setup.Share.LoadTime.Seconds()
	arrived := calls[i].at.Seconds()
	best := plan{cost: deadline + bound.plans[2*i+2].cost, last: i, drop: true}
	last := i
	waited, waiting := 0.0, 0.0
	for start := arrived; start <= arrived+deadline-load; start = (math.Floor(start/binLength) + 1) * binLength {
		for ; last < len(calls) && calls[last].at.Seconds() <= start+load; last++ {
			waited += calls[last].at.Seconds()
			waiting++
		}
		plan := bound.after(calls, last-1, start+load)
		plan.cost += waiting*(start+load) - waited + bound.load[bound.bin(start)] + bound.rent(start, start+load)
		if plan.cost < best.cost {
			plan.start = start
			best = plan
		}
	}
	return best
}

// replay counts the load starts and places of the best plan of an adapter.
func (bound *priced) replay(calls []request) {
	load := bound.setup.Share.LoadTime.Seconds()
	for i, resident := 0, false; i < len(calls); {
		at, chosen := calls[i].at.Seconds(), bound.plans[2*i]
		if resident {
			chosen = bound.plans[2*i+1]
		} else if chosen.drop {
			i++
			continue
		} else {
			bound.starts[bound.bin(chosen.start)]++
			at = chosen.start
		}
		end := at + float64(calls[chosen.last].tokens)*emptyStep.Seconds()
		if !resident {
			end += load
		}
		if chosen.keep {
			end = calls[chosen.last+1].at.Seconds()
		}
		bound.occupy(at, end)
		resident = chosen.keep
		i = chosen.last + 1
	}
}

func (bound *priced) occupy(from, to float64) {
	for from < to {
		bin := bound.bin(from)
		end := to
		if bin < bound.bins-1 {
			end = min(to, float64(bin+1)*binLength)
		}
		bound.occupied[bin] += end - from
		from = end
	}
}

// improve moves the prices towards limits that the best plans break.
func (bound *priced) improve(step float64) {
	places := float64(bound.setup.Engines*bound.setup.Slots) * binLength
	rate := float64(bound.setup.Share.PerSecond) * binLength
	for bin := range bound.bins {
		bound.load[bin] = max(0, bound.load[bin]+step*loadStep*(bound.starts[bin]-rate)/rate)
		bound.place[bin] = min(1, max(0, bound.place[bin]+step*placeStep*(bound.occupied[bin]-places)/places))
	}
}

func (bound *priced) bin(at float64) int { return min(bound.bins-1, int(at/binLength)) }

// rent returns the price of one place over a span.
func (bound *priced) rent(from, to float64) float64 {
	if to <= from {
		return 0
	}
	return bound.upTo(to) - bound.upTo(from)
}

func (bound *priced) upTo(at float64) float64 {
	bin := bound.bin(at)
	return bound.held[bin] + bound.place[bin]*(at-float64(bin)*binLength)
}

// knownRatesWait returns the wait of a policy that always holds the adapters with
// the highest true rates, and knows nothing of single calls. Under independent
// references no policy without knowledge of single calls has fewer misses (rule A0
// of Aho, Denning and Ullman). It is no bound for a policy that knows the future;
// it shows what part of the distance to clairvoyantWait is knowledge.
func knownRatesWait(setup Setup, requests []request, seed uint64) time.Duration {
	ranks := setup.Workload.ranks(seed)
	misses := 0
	seen := make(map[int]bool)
	shifted := false
	first := make(map[int]time.Duration)
	for _, request := range requests {
		after := setup.Workload.Shift > 0 && request.at >= setup.Workload.Shift
		if after && !shifted {
			shifted = true
			ranks = setup.Workload.shifted(ranks)
			kept := make(map[int]bool)
			for adapter := range seen {
				kept[adapter] = ranks[adapter] < setup.Engines*setup.Slots
			}
			seen = kept
		}
		if began, ok := first[request.adapter]; ok && request.at < began+loadTime {
			continue
		}
		first[request.adapter] = request.at
		if ranks[request.adapter] >= setup.Engines*setup.Slots || !seen[request.adapter] {
			misses++
			seen[request.adapter] = ranks[request.adapter] < setup.Engines*setup.Slots
		}
	}
	return time.Duration(misses) * loadTime
}
