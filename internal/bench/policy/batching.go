package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

// Deployment2 returns the setup of deployment 2: 10 engines, 3 loads/s with 2 at full
// speed at once, and long responses.
func Deployment2() Setup {
	return Setup{
		Engines: 10, Slots: 8, Batch: 16,
		Share:    budget.Share{PerSecond: 3, Concurrent: 2, Transits: 15, LoadTime: loadTime},
		Failures: 0.05,
		Workload: Workload{
			Adapters: 3000, Exponent: 1.1, Length: 15 * time.Minute, PerSecond: 4,
			MinTokens: 100, MaxTokens: 300, Deadline: 20 * time.Second,
		},
	}
}

// Batching measures the batch fill in deployment 2, and the wait and batch fill for
// several values of StallWeight, each relative to the baselines.
func Batching() []Figure {
	setup := Deployment2()
	schedulerResult := RunScheduler(setup, deployment2StallWeight, firstSeed)
	leastLoaded := RunBaseline(setup, LeastLoaded, firstSeed)
	leastLoadedCopy := RunBaseline(setup, LeastLoadedCopy, firstSeed)
	staticHash := RunBaseline(setup, StaticHash, firstSeed)
	name := func(figure string) string { return "batching." + figure }
	baselineValues := func(value func(Result) float64) string {
		return fmt.Sprintf("%v=%.4g %v=%.4g %v=%.4g", LeastLoaded, value(leastLoaded), LeastLoadedCopy, value(leastLoadedCopy), StaticHash, value(staticHash))
	}
	figures := []Figure{
		{Name: name("fill_of_lru"), Value: schedulerResult.Fill / leastLoaded.Fill, Unit: "ratio", Bound: 1.2, AtLeast: true, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", schedulerResult.Fill/leastLoadedCopy.Fill, schedulerResult.Fill/staticHash.Fill)},
		{Name: name("stall_of_lru"), Value: schedulerResult.TotalWait.Seconds() / leastLoaded.TotalWait.Seconds(), Unit: "ratio", Bound: 1, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", schedulerResult.TotalWait.Seconds()/leastLoadedCopy.TotalWait.Seconds(), schedulerResult.TotalWait.Seconds()/staticHash.TotalWait.Seconds())},
		infoFigure(name("wait_total"), schedulerResult.TotalWait.Seconds(), "s", baselineValues(func(result Result) float64 { return result.TotalWait.Seconds() })),
	}
	figures = append(figures, detailFigures(name, schedulerResult, baselineValues)...)
	return append(figures, curveFigures(Curve(), baselinePoint(LeastLoaded), CurveBaseline())...)
}

// Point holds the mean results for one StallWeight.
type Point struct {
	StallWeight float64
	Wait        time.Duration // total wait of all calls
	Fill        float64       // mean fraction of the batch in use
	FirstP95    time.Duration // 95th percentile of the time to the first token
}

// curveIntervals is the number of equal intervals into which the range of StallWeight,
// 0 to 1, is divided.
const curveIntervals = 10

// Curve measures deployment 2 over the whole range of StallWeight and returns one point
// per value, in ascending order.
func Curve() []Point {
	var points []Point
	for step := range curveIntervals + 1 {
		weight := float64(step) / curveIntervals
		points = append(points, meanPoint(weight, func(seed uint64) Result { return RunScheduler(Deployment2(), weight, seed) }))
	}
	return points
}

// seedsPerPoint is the number of seeds that are averaged for one point. With a single
// seed, the waits of neighbouring weights differ by up to 10%.
const seedsPerPoint = 3

func meanPoint(weight float64, runSeed func(seed uint64) Result) Point {
	point := Point{StallWeight: weight}
	for seed := range uint64(seedsPerPoint) {
		result := runSeed(firstSeed + seed)
		point.Wait += result.TotalWait / seedsPerPoint
		point.Fill += result.Fill / seedsPerPoint
		point.FirstP95 += result.FirstP95 / seedsPerPoint
	}
	return point
}

// curveFigures compares every point with the baselines. No point may have a longer wait
// or a lower batch fill than LRU with least-loaded routing.
func curveFigures(points []Point, leastLoaded, leastLoadedCopy Point) []Figure {
	var figures []Figure
	for _, point := range points {
		name := fmt.Sprintf("batching.stall_weight_%.1f.", point.StallWeight)
		figures = append(
			figures,
			Figure{Name: name + "wait_of_lru", Value: point.Wait.Seconds() / leastLoaded.Wait.Seconds(), Unit: "ratio", Bound: 1, Beside: fmt.Sprintf("wait=%.4gs of_lru_copy=%.3g first_token_p95=%.3gs", point.Wait.Seconds(), point.Wait.Seconds()/leastLoadedCopy.Wait.Seconds(), point.FirstP95.Seconds())},
			Figure{Name: name + "fill_of_lru", Value: point.Fill / leastLoaded.Fill, Unit: "ratio", Bound: 1, AtLeast: true, Beside: fmt.Sprintf("fill=%.4g of_lru_copy=%.3g", point.Fill, point.Fill/leastLoadedCopy.Fill)},
		)
	}
	return figures
}

// CurveBaseline returns the mean results of LRU with routing to the least loaded copy,
// which is the baseline with the shortest waits. Its StallWeight is 0 and has no
// meaning.
func CurveBaseline() Point {
	return baselinePoint(LeastLoadedCopy)
}

func baselinePoint(routing BaselineRouting) Point {
	return meanPoint(0, func(seed uint64) Result { return RunBaseline(Deployment2(), routing, seed) })
}
