package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// loadTime is the duration of one load at full speed in both deployments.
const loadTime = 250 * time.Millisecond

// Deployment1 returns the setup of deployment 1 with the given Zipf exponent: 20
// engines with 8 slots, 3,000 adapters, 7 loads/s with 3 at full speed at once, a burst
// of calls, a shift of the adapters' popularity, restarts and 5% failed loads.
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

// StallWeight settings of the two deployments.
const (
	deployment1StallWeight = 0.9
	deployment2StallWeight = 0.2
)

// firstSeed is the seed of the benchmarks, and the first one where several seeds are
// averaged. It is fixed so that every run gives the same results.
const firstSeed = 1

// zipfExponents are the exponents of the Zipf distributions that Placement covers.
var zipfExponents = []float64{0.9, 1.0, 1.1, 1.2}

// Placement measures the waits for adapters in deployment 1 and compares them with the
// baselines and the lower bounds.
func Placement() []Figure {
	var figures []Figure
	for _, exponent := range zipfExponents {
		figures = append(figures, placementFigures(exponent)...)
	}
	return figures
}

func placementFigures(exponent float64) []Figure {
	setup := Deployment1(exponent)
	name := func(figure string) string { return fmt.Sprintf("placement.zipf%.1f.%s", exponent, figure) }
	schedulerResult := RunScheduler(setup, deployment1StallWeight, firstSeed)
	leastLoaded := RunBaseline(setup, LeastLoaded, firstSeed)
	leastLoadedCopy := RunBaseline(setup, LeastLoadedCopy, firstSeed)
	staticHash := RunBaseline(setup, StaticHash, firstSeed)
	requests := setup.Workload.requests(firstSeed)
	bound := max(clairvoyantWait(requests, setup.Engines*setup.Slots, loadTime), lagrangianWait(setup, requests))
	knownRates := knownRatesWait(setup, requests, firstSeed)
	baselineValues := func(value func(Result) float64) string {
		return fmt.Sprintf("%v=%.4g %v=%.4g %v=%.4g", LeastLoaded, value(leastLoaded), LeastLoadedCopy, value(leastLoadedCopy), StaticHash, value(staticHash))
	}
	totalWait := func(result Result) float64 { return result.TotalWait.Seconds() }
	return append([]Figure{
		{Name: name("wait_of_lru"), Value: totalWait(schedulerResult) / totalWait(leastLoaded), Unit: "ratio", Bound: 0.5, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", totalWait(schedulerResult)/totalWait(leastLoadedCopy), totalWait(schedulerResult)/totalWait(staticHash))},
		{Name: name("wait_of_clairvoyant"), Value: totalWait(schedulerResult) / bound.Seconds(), Unit: "ratio", Bound: 1.3, Beside: fmt.Sprintf("clairvoyant=%.4gs %v=%.3g", bound.Seconds(), LeastLoadedCopy, totalWait(leastLoadedCopy)/bound.Seconds())},
		infoFigure(name("wait_of_known_rates"), totalWait(schedulerResult)/knownRates.Seconds(), "ratio", fmt.Sprintf("known_rates=%.4gs without a store limit", knownRates.Seconds())),
		{Name: name("violations"), Value: float64(schedulerResult.Violations + schedulerResult.Unaccounted), Unit: "calls", Bound: 0, Beside: "-"},
		infoFigure(name("wait_total"), totalWait(schedulerResult), "s", baselineValues(totalWait)),
	}, detailFigures(name, schedulerResult, baselineValues)...)
}

// detailFigures returns the figures without a bound.
func detailFigures(name func(string) string, schedulerResult Result, baselineValues func(func(Result) float64) string) []Figure {
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
		figures = append(figures, infoFigure(name(detail.name), detail.value(schedulerResult), detail.unit, baselineValues(detail.value)))
	}
	return figures
}

// RunScheduler simulates a setup with the scheduler and returns the measurements.
func RunScheduler(setup Setup, stallWeight float64, seed uint64) Result {
	return simulate(setup, seed, func(now time.Time) dispatcher {
		return scheduler.New(scheduler.Config{Batching: batching.Setting{StallWeight: stallWeight}, Budget: setup.Share}, now)
	})
}

// RunBaseline simulates a setup with a baseline and returns the measurements.
func RunBaseline(setup Setup, routing BaselineRouting, seed uint64) Result {
	return simulate(setup, seed, func(now time.Time) dispatcher { return newBaseline(routing, setup.Share, now) })
}
