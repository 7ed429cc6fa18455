package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

// Deployment2 is the fleet of deployment 2: 10 engines, 3 loads/s with 2 at full
// speed at once, and long drafts.
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

// Batching measures batch efficiency in deployment 2 and the curve of StallWeight.
func Batching() []Figure {
	setup := Deployment2()
	ours := RunScheduler(setup, stallWeight2, placementSeed)
	least := RunBaseline(setup, LeastLoaded, placementSeed)
	copied := RunBaseline(setup, LeastLoadedCopy, placementSeed)
	hashed := RunBaseline(setup, StaticHash, placementSeed)
	name := func(figure string) string { return "batching." + figure }
	beside := func(value func(Result) float64) string {
		return fmt.Sprintf("%v=%.4g %v=%.4g %v=%.4g", LeastLoaded, value(least), LeastLoadedCopy, value(copied), StaticHash, value(hashed))
	}
	figures := []Figure{
		{Name: name("fill_of_lru"), Value: ours.Fill / least.Fill, Unit: "ratio", Bound: 1.2, AtLeast: true, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", ours.Fill/copied.Fill, ours.Fill/hashed.Fill)},
		{Name: name("stall_of_lru"), Value: ours.TotalWait.Seconds() / least.TotalWait.Seconds(), Unit: "ratio", Bound: 1, Beside: fmt.Sprintf("of_lru_copy=%.3g of_static_hash=%.3g", ours.TotalWait.Seconds()/copied.TotalWait.Seconds(), ours.TotalWait.Seconds()/hashed.TotalWait.Seconds())},
		info(name("wait_total"), ours.TotalWait.Seconds(), "s", beside(func(result Result) float64 { return result.TotalWait.Seconds() })),
	}
	figures = append(figures, details(name, ours, beside)...)
	return append(figures, curveFigures(Curve(), baselinePoint(LeastLoaded), CurveBaseline())...)
}

// Point is the outcome at one StallWeight.
type Point struct {
	StallWeight float64
	Wait        time.Duration
	Fill        float64
	FirstP95    time.Duration
}

// curveSteps is the number of intervals of the curve over 0..1.
const curveSteps = 10

// Curve measures deployment 2 over the whole range of StallWeight.
func Curve() []Point {
	var points []Point
	for step := range curveSteps + 1 {
		weight := float64(step) / curveSteps
		points = append(points, mean(weight, func(seed uint64) Result { return RunScheduler(Deployment2(), weight, seed) }))
	}
	return points
}

// curveSeeds is the number of seeds whose mean is one point. The waits of one seed
// differ by up to a tenth between neighbouring weights.
const curveSeeds = 3

func mean(weight float64, play func(seed uint64) Result) Point {
	point := Point{StallWeight: weight}
	for seed := range uint64(curveSeeds) {
		result := play(placementSeed + seed)
		point.Wait += result.TotalWait / curveSeeds
		point.Fill += result.Fill / curveSeeds
		point.FirstP95 += result.FirstP95 / curveSeeds
	}
	return point
}

// curveFigures compares every point with the baseline: none may stall more or fill
// the batches less.
func curveFigures(points []Point, least, copied Point) []Figure {
	var figures []Figure
	for _, point := range points {
		name := fmt.Sprintf("batching.stall_weight_%.1f.", point.StallWeight)
		figures = append(
			figures,
			Figure{Name: name + "wait_of_lru", Value: point.Wait.Seconds() / least.Wait.Seconds(), Unit: "ratio", Bound: 1, Beside: fmt.Sprintf("wait=%.4gs of_lru_copy=%.3g first_token_p95=%.3gs", point.Wait.Seconds(), point.Wait.Seconds()/copied.Wait.Seconds(), point.FirstP95.Seconds())},
			Figure{Name: name + "fill_of_lru", Value: point.Fill / least.Fill, Unit: "ratio", Bound: 1, AtLeast: true, Beside: fmt.Sprintf("fill=%.4g of_lru_copy=%.3g", point.Fill, point.Fill/copied.Fill)},
		)
	}
	return figures
}

// CurveBaseline returns the point of LRU with routing to the least loaded copy, which
// is the baseline with the shortest waits.
func CurveBaseline() Point {
	return baselinePoint(LeastLoadedCopy)
}

func baselinePoint(routing Baseline) Point {
	return mean(0, func(seed uint64) Result { return RunBaseline(Deployment2(), routing, seed) })
}
