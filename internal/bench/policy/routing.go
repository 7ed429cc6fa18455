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
	// fewAdapters is the lower end of the growth figure.
	fewAdapters = 1875
	// routingCalls are measured per round. The fastest of routingRounds counts, so
	// that other work on the machine does not, but for allocations the worst. Rounds
	// with few and many adapters take turns, for the same reason.
	routingCalls  = 5000
	routingRounds = 150
	// routingGap is the time between calls: a zone's part of 2,600 requests/s.
	routingGap = 3 * time.Millisecond
	// routingFlight is the number of calls in flight.
	routingFlight = 512
	// routingExponent is the Zipf law of the calls.
	routingExponent = 1.0
)

// Routing measures the cost of a decision: a call from its arrival over its start
// to its end, with the loads and evictions that fall due meanwhile.
func Routing() []Figure {
	few, many := newRouting(fewAdapters), newRouting(routingAdapters)
	for range routingRounds {
		few.round()
		many.round()
	}
	growth := many.mean.Seconds() / few.mean.Seconds()
	logarithm := math.Log(routingAdapters) / math.Log(fewAdapters)
	beside := func(value float64) string { return fmt.Sprintf("%d_adapters=%.3g", fewAdapters, value) }
	return []Figure{
		{Name: "routing.decision", Value: micros(many.mean), Unit: "us", Bound: 5, Beside: beside(micros(few.mean))},
		{Name: "routing.allocations", Value: many.allocations, Unit: "per_decision", Bound: 0, Beside: beside(few.allocations)},
		{Name: "routing.growth", Value: growth, Unit: "ratio", Bound: logarithm, Beside: "bound=log(15000)/log(1875)"},
		info("routing.decision_p99", micros(many.p99), "us", beside(micros(few.p99))),
		info("routing.memory", many.memory/(1<<20), "MB", beside(few.memory/(1<<20))),
		info("routing.loads", float64(many.loads), "loads", fmt.Sprintf("sends=%d", many.sends)),
	}
}

func micros(duration time.Duration) float64 { return float64(duration) / float64(time.Microsecond) }

// decider drives a scheduler with engines that carry out every order at once, so
// that nearly all the measured time is the scheduler's.
type decider struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	calls     []scheduler.Call
	next      int
	actions   []scheduler.Action
	flight    []core.AttemptID
	oldest    int
	sends     int
	loads     int

	times       []time.Duration
	mean, p99   time.Duration
	allocations float64
	memory      float64
}

// newRouting returns a decider that has named every adapter and made as many
// decisions as a few rounds do.
func newRouting(adapters int) *decider {
	calls := routingWorkload(adapters)
	before := heapInUse()
	decider := newDecider(calls)
	for i := range len(calls) {
		if i%callsPerLease == 0 {
			decider.renew()
		}
		decider.decide()
	}
	decider.memory = heapInUse() - before
	decider.times = make([]time.Duration, routingCalls)
	decider.mean, decider.p99 = time.Hour, time.Hour
	return decider
}

// routingWorkload names every adapter once and then follows a Zipf law. Attempts
// are used again after they ended, so that making their names costs nothing.
func routingWorkload(adapters int) []scheduler.Call {
	random := rand.New(rand.NewPCG(placementSeed, 3))
	sums := Workload{Adapters: adapters, Exponent: routingExponent}.sums()
	calls := make([]scheduler.Call, adapters+40*routingCalls)
	for i := range calls {
		adapter := i
		if i >= adapters {
			adapter = sort.SearchFloat64s(sums, random.Float64()*sums[len(sums)-1])
		}
		calls[i] = scheduler.Call{
			Attempt:  core.AttemptID(fmt.Sprintf("attempt-%d", i)),
			Customer: core.CustomerID(fmt.Sprintf("customer-%d", adapter%50)),
			Adapter:  adapterName(adapter),
		}
	}
	return calls
}

func newDecider(calls []scheduler.Call) *decider {
	share := budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25, LoadTime: loadTime}
	decider := &decider{
		scheduler: scheduler.New(scheduler.Config{Batching: batching.Setting{StallWeight: stallWeight1}, Budget: share}, epoch),
		now:       epoch, calls: calls, flight: make([]core.AttemptID, routingFlight),
	}
	decider.announce()
	return decider
}

func (decider *decider) announce() {
	for i := range routingEngines {
		name := core.UpstreamID(fmt.Sprintf("engine-%02d", i))
		announcement := core.Announcement{Upstream: name, Incarnation: "1", Slots: routingSlots, BatchSize: routingBatch}
		for slot := range routingSlots {
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapterName(i*routingSlots + slot)})
		}
		for range 2 {
			decider.scheduler.Announce(announcement, decider.now)
		}
	}
}

// decide takes one call through its life, and ends the oldest call in flight.
func (decider *decider) decide() {
	call := decider.calls[decider.next]
	decider.next = (decider.next + 1) % len(decider.calls)
	decider.now = decider.now.Add(routingGap)
	call.Deadline = decider.now.Add(time.Second)
	decider.scheduler.Enqueue(call, decider.now)
	decider.carryOut()
}

func (decider *decider) carryOut() {
	decider.actions = decider.scheduler.Take(decider.actions[:0])
	for len(decider.actions) > 0 {
		for i := range decider.actions {
			decider.one(&decider.actions[i])
		}
		decider.actions = decider.scheduler.Take(decider.actions[:0])
	}
}

func (decider *decider) one(action *scheduler.Action) {
	switch action.Kind {
	case scheduler.Load:
		decider.loads++
		decider.scheduler.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, true, decider.now)
	case scheduler.Evict:
		decider.scheduler.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, true, decider.now)
	case scheduler.Send:
		if decider.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, decider.now) {
			decider.sends++
			ended := decider.flight[decider.oldest]
			decider.flight[decider.oldest] = action.Attempt
			decider.oldest = (decider.oldest + 1) % routingFlight
			decider.scheduler.Ended(ended, true, decider.now)
		}
	}
}

// round measures many decisions. The engines' leases are renewed outside the measured
// time.
func (decider *decider) round() {
	times := decider.times
	mallocs := uint64(0)
	total := time.Duration(0)
	var before, after runtime.MemStats
	for at := 0; at < len(times); {
		decider.renew()
		runtime.ReadMemStats(&before)
		for end := min(len(times), at+callsPerLease); at < end; at++ {
			began := time.Now()
			decider.decide()
			times[at] = time.Since(began)
			total += times[at]
		}
		runtime.ReadMemStats(&after)
		mallocs += after.Mallocs - before.Mallocs
	}
	slices.Sort(times)
	decider.mean = min(decider.mean, total/time.Duration(len(times)))
	decider.p99 = min(decider.p99, times[len(times)*99/100])
	decider.allocations = max(decider.allocations, float64(mallocs)/float64(len(times)))
}

// callsPerLease keeps the time between renewals under the lease of 3 s.
const callsPerLease = 900

// renew announces every engine without a load report, which is all that a lease
// needs.
func (decider *decider) renew() {
	for i := range routingEngines {
		decider.scheduler.Announce(core.Announcement{
			Upstream: core.UpstreamID(fmt.Sprintf("engine-%02d", i)), Incarnation: "1",
			Slots: routingSlots, BatchSize: routingBatch, ReportAge: time.Hour,
		}, decider.now)
	}
	decider.carryOut()
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
