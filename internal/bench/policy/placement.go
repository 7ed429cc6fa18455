package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// loadTime is the time of one load at full speed in both deployments.
const loadTime = 250 * time.Millisecond

// Deployment1 is the fleet of deployment 1: 20 engines with 8 slots, 3,000
// adapters, 7 loads/s with 3 at full speed at once, a morning burst, a shift of
// the popularity, restarts and 5% failed loads.
func Deployment1(exponent float64) Setup {
	return Setup{
		Engines: 20, Slots: 8, Batch: 16,
		Share:    budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25, LoadTime: loadTime},
		Failures: 0.05,
		Restarts: []time.Duration{200 * time.Second, 500 * time.Second, 700 * time.Second},
		Workload: Workload{
			Adapters: 3000, Exponent: exponent, Length: 15 * time.Minute, PerSecond: 10,
			Burst: 2, BurstFrom: 300 * time.Second, BurstTo: 360 * time.Second, Shift: 600 * time.Second,
			MinTokens: 10, MaxTokens: 50, Deadline: 10 * time.Second,
		},
	}
}

// StallWeights of the two deployments.
const (
	stallWeight1 = 0.9
	stallWeight2 = 0.2
)

// placementSeed is fixed so that every run gives the same figures.
const placementSeed = 1

// Exponents of the Zipf laws that the placement figures cover.
var exponents = []float64{0.9, 1.0, 1.1, 1.2}

// Placement measures waits for adapters in deployment 1.
func Placement() []Figure {
	var figures []Figure
	for _, exponent := range exponents {
		figures = append(figures, placementFigures(exponent)...)
	}
	return figures
}

func placementFigures(exponent float64) []Figure {
	setup := Deployment1(exponent)
	name := func(figure string) string { return fmt.Sprintf("placement.zipf%.1f.%s", exponent, figure) }
	ours := RunScheduler(setup, stallWeight1, placementSeed)
	least := RunBaseline(setup, LeastLoaded, placementSeed)
	copied := RunBaseline(setup, LeastLoadedCopy, placementSeed)
	hashed := RunBaseline(setup, StaticHash, placementSeed)
	requests := setup.Workload.requests(placementSeed)
	bound := max(clairvoyantWait(requests, setup.Engines*setup.Slots, loadTime), pricedWait(setup, requests))
	known := knownRatesWait(setup, requests, placementSeed)
	beside := func(value func(Result) float64) string {
		return fmt.Sprintf("%v=%.4g %v=%.4g %v=%.4g", LeastLoaded, value(least), LeastLoadedCopy, value(copied), StaticHash, value(hashed))
	}
	total := func(result Result) float64 { return result.TotalWait.Seconds() }
	return append([]Figure{
		{Name: name("wait_of_lru"), Value: total(ours) / total(least), Unit: "ratio", Bound: 0.5, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", total(ours)/total(copied), total(ours)/total(hashed))},
		{Name: name("wait_of_clairvoyant"), Value: total(ours) / bound.Seconds(), Unit: "ratio", Bound: 1.3, Beside: fmt.Sprintf("clairvoyant=%.4gs %v=%.3g", bound.Seconds(), LeastLoadedCopy, total(copied)/bound.Seconds())},
		info(name("wait_of_known_rates"), total(ours)/known.Seconds(), "ratio", fmt.Sprintf("known_rates=%.4gs without a store limit", known.Seconds())),
		{Name: name("violations"), Value: float64(ours.Violations + ours.Unaccounted), Unit: "calls", Bound: 0, Beside: "-"},
		info(name("wait_total"), total(ours), "s", beside(total)),
	}, details(name, ours, beside)...)
}

// details are the figures without a bound.
func details(name func(string) string, ours Result, beside func(func(Result) float64) string) []Figure {
	var figures []Figure
	for _, detail := range []struct {
		name, unit string
		value      func(Result) float64
	}{
		{"wait_p95", "s", func(result Result) float64 { return result.WaitP95.Seconds() }},
		{"batch_fill", "ratio", func(result Result) float64 { return result.Fill }},
		{"loads", "loads", func(result Result) float64 { return float64(result.Loads) }},
		{"wasted_loads", "loads", func(result Result) float64 { return float64(result.Wasted) }},
		{"refusals", "calls", func(result Result) float64 { return float64(result.Refused) }},
		{"first_token_p95", "s", func(result Result) float64 { return result.FirstP95.Seconds() }},
		{"first_token_in_time", "ratio", func(result Result) float64 { return result.FirstInTime }},
	} {
		figures = append(figures, info(name(detail.name), detail.value(ours), detail.unit, beside(detail.value)))
	}
	return figures
}

// RunScheduler plays a setup against the scheduler.
func RunScheduler(setup Setup, stallWeight float64, seed uint64) Result {
	return run(setup, seed, func(now time.Time) dispatcher {
		return scheduler.New(scheduler.Config{Batching: batching.Setting{StallWeight: stallWeight}, Budget: setup.Share}, now)
	})
}

// RunBaseline plays a setup against a baseline.
func RunBaseline(setup Setup, routing Baseline, seed uint64) Result {
	return run(setup, seed, func(now time.Time) dispatcher { return newBaseline(routing, setup.Share, now) })
}
