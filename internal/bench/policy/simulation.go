package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// dispatcher is the policy under test: the scheduler or a baseline.
type dispatcher interface {
	Announced(announcement core.Announcement, now time.Time)
	UpstreamLost(id core.UpstreamID, incarnation core.Incarnation, now time.Time)
	Enqueue(call scheduler.Call, now time.Time)
	Start(attempt core.AttemptID, id core.UpstreamID, incarnation core.Incarnation, now time.Time) bool
	Ended(attempt core.AttemptID, confirmed bool, now time.Time)
	LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time)
	EvictAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, evicted bool, now time.Time)
	Tick(now time.Time)
	NextTick(now time.Time) (time.Time, bool)
	TakeActions(list []scheduler.Action) []scheduler.Action
}

// Setup describes the engines, the load budget and the workload of a simulation.
type Setup struct {
	Engines, Slots, Batch int
	Share                 budget.Share
	// Failures is the fraction of loads that fail.
	Failures float64
	// Restarts are the times, from the start of the workload, at which an engine crashes
	// and restarts without adapters. Each time it is another engine.
	Restarts []time.Duration
	Workload Workload
}

// restartDowntime is how long a crashed engine is down.
const restartDowntime = 2 * time.Second

// simulation is the state of one run.
type simulation struct {
	clock           *clock
	setup           Setup
	group           core.GroupID
	store           *weightStore
	engines         []*engine
	enginesByID     map[core.UpstreamID]*engine
	policy          dispatcher
	calls           map[core.AttemptID]*call
	random          *rand.Rand
	result          *Result
	waits           []time.Duration
	firstTokenTimes []time.Duration
	nextTick        time.Time
	attemptCount    int
}

// call is the state of one call during a simulation.
type call struct {
	request
	arrived         time.Time
	attempt         core.AttemptID
	adapter         core.AdapterVersion
	remainingTokens int
	wait            time.Duration
	firstToken      time.Time
}

// addToken records one generated token and the time of the first one.
func (call *call) addToken(now time.Time) {
	if call.firstToken.IsZero() {
		call.firstToken = now
	}
	call.remainingTokens--
}

// simulate runs the workload of a setup against a policy and returns the measurements.
func simulate(setup Setup, seed uint64, policy func(now time.Time) dispatcher) Result {
	clock := newClock()
	sim := &simulation{
		clock: clock, setup: setup, group: core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "base-model"},
		store: newWeightStore(clock, setup.Share), enginesByID: make(map[core.UpstreamID]*engine), policy: policy(clock.now),
		calls: make(map[core.AttemptID]*call), random: rand.New(rand.NewPCG(seed, 2)), result: &Result{},
	}
	sim.scheduleEngines()
	for _, request := range setup.Workload.requests(seed) {
		clock.at(epoch.Add(warmUpTime+request.at), func() {
			sim.enqueue(&call{request: request, arrived: clock.now, adapter: adapterVersion(request.adapter), remainingTokens: request.tokens})
		})
	}
	clock.runUntil(epoch.Add(warmUpTime + setup.Workload.Length + setup.Workload.Deadline + time.Minute))
	return sim.summary()
}

// warmUpTime lets every engine announce itself twice before the first call.
const warmUpTime = 3 * time.Second

// scheduleEngines creates the engines and schedules their announcements, spread evenly
// over announceInterval, and their restarts.
func (sim *simulation) scheduleEngines() {
	for i := range sim.setup.Engines {
		engine := &engine{
			sim: sim, id: core.UpstreamID(fmt.Sprintf("engine-%02d", i)), up: true,
			slots: sim.setup.Slots, batch: sim.setup.Batch, resident: make(map[core.AdapterVersion]int),
		}
		sim.engines = append(sim.engines, engine)
		sim.enginesByID[engine.id] = engine
		sim.clock.after(time.Duration(i)*announceInterval/time.Duration(sim.setup.Engines), engine.announcePeriodically)
	}
	for i, at := range sim.setup.Restarts {
		engine := sim.engines[(i*7+3)%len(sim.engines)]
		sim.clock.at(epoch.Add(warmUpTime+at), func() { engine.crash(restartDowntime) })
	}
}

func (sim *simulation) enqueue(call *call) {
	sim.attemptCount++
	call.attempt = core.AttemptID(fmt.Sprintf("call-%d", sim.attemptCount))
	sim.calls[call.attempt] = call
	sim.policy.Enqueue(scheduler.Call{
		Attempt: call.attempt, Customer: core.CustomerID(fmt.Sprintf("customer-%d", call.request.adapter%20)),
		Adapter: call.adapter, Deadline: call.arrived.Add(sim.setup.Workload.Deadline),
	}, sim.clock.now)
	sim.applyActions()
}

func (sim *simulation) announce(announcement core.Announcement) {
	sim.policy.Announced(announcement, sim.clock.now)
	sim.applyActions()
}

func (sim *simulation) callEnded(call *call) {
	delete(sim.calls, call.attempt)
	sim.result.Answered++
	sim.waits = append(sim.waits, call.wait)
	sim.firstTokenTimes = append(sim.firstTokenTimes, call.firstToken.Sub(call.arrived))
	sim.policy.Ended(call.attempt, true, sim.clock.now)
	sim.applyActions()
}

// engineLost reports the loss of an engine to the policy and enqueues the engine's
// unfinished calls again as new attempts.
func (sim *simulation) engineLost(engine *engine, previous core.Incarnation, calls []*call) {
	sim.policy.UpstreamLost(engine.id, previous, sim.clock.now)
	for _, call := range calls {
		sim.policy.Ended(call.attempt, false, sim.clock.now)
		delete(sim.calls, call.attempt)
		sim.enqueue(call)
	}
	sim.applyActions()
}

// applyActions executes the pending actions of the policy and schedules its next tick.
func (sim *simulation) applyActions() {
	for actions := sim.policy.TakeActions(nil); len(actions) > 0; actions = sim.policy.TakeActions(nil) {
		for _, action := range actions {
			sim.applyAction(action)
		}
	}
	next, ok := sim.policy.NextTick(sim.clock.now)
	if !ok || (!sim.nextTick.IsZero() && !next.Before(sim.nextTick)) {
		return
	}
	sim.nextTick = next
	sim.clock.at(next, func() {
		if sim.nextTick.Equal(next) {
			sim.nextTick = time.Time{}
			sim.policy.Tick(sim.clock.now)
			sim.applyActions()
		}
	})
}

func (sim *simulation) applyAction(action scheduler.Action) {
	engine := sim.enginesByID[action.Upstream]
	switch action.Kind {
	case scheduler.Load:
		sim.result.Loads++
		engine.load(action.Adapter, func(loaded bool) {
			sim.clock.after(0, func() {
				sim.policy.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, loaded, sim.clock.now)
				sim.applyActions()
			})
		})
	case scheduler.Evict:
		evicted := engine.incarnationID() == action.Incarnation && engine.evict(action.Adapter)
		sim.clock.after(orderRoundTrip, func() {
			sim.policy.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, evicted, sim.clock.now)
			sim.applyActions()
		})
	case scheduler.Send:
		sim.send(action)
	case scheduler.Refuse:
		sim.refuse(action)
	}
}

// orderRoundTrip is the round-trip time of an order to an engine in the same zone.
const orderRoundTrip = time.Millisecond

func (sim *simulation) send(action scheduler.Action) {
	now := sim.clock.now
	if !sim.policy.Start(action.Attempt, action.Upstream, action.Incarnation, now) {
		return
	}
	call := sim.calls[action.Attempt]
	call.wait = now.Sub(call.arrived)
	if sim.enginesByID[action.Upstream].run(call) {
		return
	}
	sim.policy.Ended(call.attempt, false, now)
	delete(sim.calls, call.attempt)
	sim.clock.after(orderRoundTrip, func() { sim.enqueue(call) })
}

// refuse records a refused call. Its wait counts in full, and its time to the first
// token counts as the whole deadline.
func (sim *simulation) refuse(action scheduler.Action) {
	call := sim.calls[action.Attempt]
	delete(sim.calls, action.Attempt)
	sim.result.Refused++
	sim.waits = append(sim.waits, sim.clock.now.Sub(call.arrived))
	sim.firstTokenTimes = append(sim.firstTokenTimes, sim.setup.Workload.Deadline)
}

func sortResidents(list []core.Resident) {
	slices.SortFunc(list, func(a, b core.Resident) int {
		return strings.Compare(string(a.Adapter), string(b.Adapter))
	})
}
