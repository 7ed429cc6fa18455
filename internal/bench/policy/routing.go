package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

const (
	routingEngines  = 75
	routingSlots    = 8
	routingBatch    = 16
	routingAdapters = 15000
	// fewAdapters is the number of adapters that the growth is measured from.
	fewAdapters = 1875
	// routingCalls is the number of calls measured per round. The result is the fastest
	// of routingRounds rounds, which excludes the effect of other work on the machine;
	// for allocations it is the highest. Rounds with few and many adapters alternate for
	// the same reason.
	routingCalls  = 5000
	routingRounds = 150
	// routingInterval is the time between calls: one zone's share of 2,600 requests/s.
	routingInterval = 3 * time.Millisecond
	// routingInFlight is the number of calls in flight.
	routingInFlight = 512
	// routingExponent is the Zipf exponent of the calls.
	routingExponent = 1.0
)

// Routing measures the cost of a scheduling decision: enqueueing and starting one call
// and ending another, with the loads and evictions that become due meanwhile.
func Routing() []Figure {
	few, many := newWarmDecisionBenchmark(fewAdapters), newWarmDecisionBenchmark(routingAdapters)
	for range routingRounds {
		few.measureRound()
		many.measureRound()
	}
	growth := many.mean.Seconds() / few.mean.Seconds()
	growthBound := math.Log(routingAdapters) / math.Log(fewAdapters)
	baselineValues := func(value float64) string { return fmt.Sprintf("%d_adapters=%.3g", fewAdapters, value) }
	return []Figure{
		{Name: "routing.decision", Value: microseconds(many.mean), Unit: "us", Bound: 5, Beside: baselineValues(microseconds(few.mean))},
		{Name: "routing.allocations", Value: many.allocations, Unit: "per_decision", Bound: 0, Beside: baselineValues(few.allocations)},
		{Name: "routing.growth", Value: growth, Unit: "ratio", Bound: growthBound, Beside: "bound=log(15000)/log(1875)"},
		infoFigure("routing.decision_p99", microseconds(many.p99), "us", baselineValues(microseconds(few.p99))),
		infoFigure("routing.memory", many.memory/(1<<20), "MB", baselineValues(few.memory/(1<<20))),
		infoFigure("routing.loads", float64(many.loads), "loads", fmt.Sprintf("sends=%d", many.sends)),
	}
}

func microseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}

// decisionBenchmark drives a scheduler and answers each of its actions at once, so that
// nearly all the measured time is spent in the scheduler.
type decisionBenchmark struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	calls     []scheduler.Call
	next      int
	actions   []scheduler.Action
	inFlight  []core.AttemptID
	oldest    int
	sends     int
	loads     int

	times       []time.Duration
	mean, p99   time.Duration
	allocations float64
	memory      float64
}

// newWarmDecisionBenchmark returns a benchmark that has executed every call of its
// workload once.
func newWarmDecisionBenchmark(adapters int) *decisionBenchmark {
	calls := routingWorkload(adapters)
	before := heapBytes()
	bench := newDecisionBenchmark(calls)
	for i := range len(calls) {
		if i%callsPerRenewal == 0 {
			bench.renewLeases()
		}
		bench.decideNext()
	}
	bench.memory = heapBytes() - before
	bench.times = make([]time.Duration, routingCalls)
	bench.mean, bench.p99 = time.Hour, time.Hour
	return bench
}

// routingWorkload returns one call per adapter followed by 40 rounds of calls with a
// Zipf distribution. The calls are precomputed and used again after they ended, so that
// formatting their IDs is not part of the measured time.
func routingWorkload(adapters int) []scheduler.Call {
	random := rand.New(rand.NewPCG(firstSeed, 3))
	weights := Workload{Adapters: adapters, Exponent: routingExponent}.cumulativeWeights()
	calls := make([]scheduler.Call, adapters+40*routingCalls)
	for i := range calls {
		adapter := i
		if i >= adapters {
			adapter = sort.SearchFloat64s(weights, random.Float64()*weights[len(weights)-1])
		}
		calls[i] = scheduler.Call{
			Attempt:  core.AttemptID(fmt.Sprintf("attempt-%d", i)),
			Customer: core.CustomerID(fmt.Sprintf("customer-%d", adapter%50)),
			Adapter:  adapterVersion(adapter),
		}
	}
	return calls
}

func newDecisionBenchmark(calls []scheduler.Call) *decisionBenchmark {
	share := budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25, LoadTime: loadTime}
	bench := &decisionBenchmark{
		scheduler: scheduler.New(scheduler.Config{Batching: batching.Setting{StallWeight: deployment1StallWeight}, Budget: share}, epoch),
		now:       epoch, calls: calls, inFlight: make([]core.AttemptID, routingInFlight),
	}
	bench.announce()
	return bench
}

func (bench *decisionBenchmark) announce() {
	for i := range routingEngines {
		name := core.UpstreamID(fmt.Sprintf("engine-%02d", i))
		announcement := core.Announcement{Upstream: name, Incarnation: "1", Slots: routingSlots, BatchSize: routingBatch}
		for slot := range routingSlots {
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapterVersion(i*routingSlots + slot)})
		}
		for range 2 {
			bench.scheduler.Announced(announcement, bench.now)
		}
	}
}

// decideNext enqueues the next call and applies the resulting actions, which start the
// call and end the oldest call in flight.
func (bench *decisionBenchmark) decideNext() {
	call := bench.calls[bench.next]
	bench.next = (bench.next + 1) % len(bench.calls)
	bench.now = bench.now.Add(routingInterval)
	call.Deadline = bench.now.Add(time.Second)
	bench.scheduler.Enqueue(call, bench.now)
	bench.applyActions()
}

func (bench *decisionBenchmark) applyActions() {
	bench.actions = bench.scheduler.TakeActions(bench.actions[:0])
	for len(bench.actions) > 0 {
		for i := range bench.actions {
			bench.applyAction(&bench.actions[i])
		}
		bench.actions = bench.scheduler.TakeActions(bench.actions[:0])
	}
}

func (bench *decisionBenchmark) applyAction(action *scheduler.Action) {
	switch action.Kind {
	case scheduler.Load:
		bench.loads++
		bench.scheduler.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, true, bench.now)
	case scheduler.Evict:
		bench.scheduler.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, true, bench.now)
	case scheduler.Send:
		if bench.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, bench.now) {
			bench.sends++
			ended := bench.inFlight[bench.oldest]
			bench.inFlight[bench.oldest] = action.Attempt
			bench.oldest = (bench.oldest + 1) % routingInFlight
			bench.scheduler.Ended(ended, true, bench.now)
		}
	}
}

// measureRound measures routingCalls decisions. The leases of the engines are renewed
// outside the measured time.
func (bench *decisionBenchmark) measureRound() {
	times := bench.times
	mallocs := uint64(0)
	total := time.Duration(0)
	var before, after runtime.MemStats
	for at := 0; at < len(times); {
		bench.renewLeases()
		runtime.ReadMemStats(&before)
		for end := min(len(times), at+callsPerRenewal); at < end; at++ {
			start := time.Now()
			bench.decideNext()
			times[at] = time.Since(start)
			total += times[at]
		}
		runtime.ReadMemStats(&after)
		mallocs += after.Mallocs - before.Mallocs
	}
	slices.Sort(times)
	bench.mean = min(bench.mean, total/time.Duration(len(times)))
	bench.p99 = min(bench.p99, times[len(times)*99/100])
	bench.allocations = max(bench.allocations, float64(mallocs)/float64(len(times)))
}

// callsPerRenewal keeps the time between renewals below the lease of 3 s.
const callsPerRenewal = 900

// renewLeases announces every engine with an outdated load report. An announcement
// renews the lease regardless of its report.
func (bench *decisionBenchmark) renewLeases() {
	for i := range routingEngines {
		bench.scheduler.Announced(core.Announcement{
			Upstream: core.UpstreamID(fmt.Sprintf("engine-%02d", i)), Incarnation: "1",
			Slots: routingSlots, BatchSize: routingBatch, ReportAge: time.Hour,
		}, bench.now)
	}
	bench.applyActions()
}

// heapBytes returns the size of the live heap in bytes after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
