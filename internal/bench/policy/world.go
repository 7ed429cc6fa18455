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

// dispatcher is what a run measures: the scheduler, or a baseline.
type dispatcher interface {
	Announce(announcement core.Announcement, now time.Time)
	Lose(id core.UpstreamID, incarnation core.Incarnation, now time.Time)
	Enqueue(call scheduler.Call, now time.Time)
	Start(attempt core.AttemptID, id core.UpstreamID, incarnation core.Incarnation, now time.Time) bool
	Ended(attempt core.AttemptID, confirmed bool, now time.Time)
	LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time)
	EvictAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, evicted bool, now time.Time)
	Tick(now time.Time)
	NextTick(now time.Time) (time.Time, bool)
	Take(list []scheduler.Action) []scheduler.Action
}

// Setup describes the fleet of one run.
type Setup struct {
	Engines, Slots, Batch int
	Share                 budget.Share
	// Failures is the part of loads that fail.
	Failures float64
	// Restarts are the times at which one engine after the other restarts empty.
	Restarts []time.Duration
	Workload Workload
}

// downTime is how long a restarting engine is gone.
const downTime = 2 * time.Second

// world is one run.
type world struct {
	clock    *clock
	setup    Setup
	group    core.GroupID
	store    *store
	engines  []*engine
	index    map[core.UpstreamID]*engine
	policy   dispatcher
	calls    map[core.AttemptID]*call
	random   *rand.Rand
	result   *Result
	waits    []time.Duration
	firsts   []time.Duration
	wakeAt   time.Time
	attempts int
}

// call is one call on its way through the world.
type call struct {
	request
	arrived time.Time
	attempt core.AttemptID
	adapter core.AdapterVersion
	left    int
	waited  time.Duration
	first   time.Time
}

func (call *call) token(now time.Time) {
	if call.first.IsZero() {
		call.first = now
	}
	call.left--
}

// run plays a workload against a policy.
func run(setup Setup, seed uint64, policy func(now time.Time) dispatcher) Result {
	clock := newClock()
	world := &world{
		clock: clock, setup: setup, group: core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "base-model"},
		store: newStore(clock, setup.Share), index: make(map[core.UpstreamID]*engine), policy: policy(clock.now),
		calls: make(map[core.AttemptID]*call), random: rand.New(rand.NewPCG(seed, 2)), result: &Result{},
	}
	world.build()
	for _, request := range setup.Workload.requests(seed) {
		clock.at(epoch.Add(warmUp+request.at), func() {
			world.enqueue(&call{request: request, arrived: clock.now, adapter: adapterName(request.adapter), left: request.tokens})
		})
	}
	clock.until(epoch.Add(warmUp + setup.Workload.Length + setup.Workload.Deadline + time.Minute))
	return world.summary()
}

// warmUp lets every engine announce itself twice before the first call.
const warmUp = 3 * time.Second

func (world *world) build() {
	for i := range world.setup.Engines {
		engine := &engine{
			world: world, id: core.UpstreamID(fmt.Sprintf("engine-%02d", i)), up: true,
			slots: world.setup.Slots, batch: world.setup.Batch, resident: make(map[core.AdapterVersion]int),
		}
		world.engines = append(world.engines, engine)
		world.index[engine.id] = engine
		world.clock.after(time.Duration(i)*announceEvery/time.Duration(world.setup.Engines), engine.beat)
	}
	for i, at := range world.setup.Restarts {
		engine := world.engines[(i*7+3)%len(world.engines)]
		world.clock.at(epoch.Add(warmUp+at), func() { engine.crash(downTime) })
	}
}

func (world *world) enqueue(call *call) {
	world.attempts++
	call.attempt = core.AttemptID(fmt.Sprintf("call-%d", world.attempts))
	world.calls[call.attempt] = call
	world.policy.Enqueue(scheduler.Call{
		Attempt: call.attempt, Customer: core.CustomerID(fmt.Sprintf("customer-%d", call.request.adapter%20)),
		Adapter: call.adapter, Deadline: call.arrived.Add(world.setup.Workload.Deadline),
	}, world.clock.now)
	world.act()
}

func (world *world) announce(announcement core.Announcement) {
	world.policy.Announce(announcement, world.clock.now)
	world.act()
}

func (world *world) ended(call *call) {
	delete(world.calls, call.attempt)
	world.result.Answered++
	world.waits = append(world.waits, call.waited)
	world.firsts = append(world.firsts, call.first.Sub(call.arrived))
	world.policy.Ended(call.attempt, true, world.clock.now)
	world.act()
}

// lost tells the policy that an engine is gone. Its calls are sent again.
func (world *world) lost(engine *engine, former core.Incarnation, calls []*call) {
	world.policy.Lose(engine.id, former, world.clock.now)
	for _, call := range calls {
		world.policy.Ended(call.attempt, false, world.clock.now)
		delete(world.calls, call.attempt)
		world.enqueue(call)
	}
	world.act()
}

// act carries out the actions of the policy and arms its next tick.
func (world *world) act() {
	for actions := world.policy.Take(nil); len(actions) > 0; actions = world.policy.Take(nil) {
		for _, action := range actions {
			world.carryOut(action)
		}
	}
	next, ok := world.policy.NextTick(world.clock.now)
	if !ok || (!world.wakeAt.IsZero() && !next.Before(world.wakeAt)) {
		return
	}
	world.wakeAt = next
	world.clock.at(next, func() {
		if world.wakeAt.Equal(next) {
			world.wakeAt = time.Time{}
			world.policy.Tick(world.clock.now)
			world.act()
		}
	})
}

func (world *world) carryOut(action scheduler.Action) {
	engine := world.index[action.Upstream]
	switch action.Kind {
	case scheduler.Load:
		world.result.Loads++
		engine.load(action.Adapter, func(loaded bool) {
			world.clock.after(0, func() {
				world.policy.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, loaded, world.clock.now)
				world.act()
			})
		})
	case scheduler.Evict:
		evicted := engine.name() == action.Incarnation && engine.evict(action.Adapter)
		world.clock.after(orderTime, func() {
			world.policy.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, evicted, world.clock.now)
			world.act()
		})
	case scheduler.Send:
		world.send(action)
	case scheduler.Refuse:
		world.refuse(action)
	}
}

// orderTime is the round trip of an order to an engine of the same zone.
const orderTime = time.Millisecond

func (world *world) send(action scheduler.Action) {
	now := world.clock.now
	if !world.policy.Start(action.Attempt, action.Upstream, action.Incarnation, now) {
		return
	}
	call := world.calls[action.Attempt]
	call.waited = now.Sub(call.arrived)
	if world.index[action.Upstream].run(call) {
		return
	}
	world.policy.Ended(call.attempt, false, now)
	delete(world.calls, call.attempt)
	world.clock.after(orderTime, func() { world.enqueue(call) })
}

// refuse counts a refused call with the whole time that it waited.
func (world *world) refuse(action scheduler.Action) {
	call := world.calls[action.Attempt]
	delete(world.calls, action.Attempt)
	world.result.Refused++
	world.waits = append(world.waits, world.clock.now.Sub(call.arrived))
	world.firsts = append(world.firsts, world.setup.Workload.Deadline)
}

func sortResident(list []core.Resident) {
	slices.SortFunc(list, func(a, b core.Resident) int {
		return strings.Compare(string(a.Adapter), string(b.Adapter))
	})
}
