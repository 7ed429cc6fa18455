package policy

import (
	"hash/fnv"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// Baseline names how a baseline chooses the engine of a call. Every baseline
// evicts the copy that was used least recently and loads in order of arrival
// within the same budget as the scheduler.
type Baseline int

// The baselines.
const (
	// LeastLoaded sends a call to the engine with the fewest calls.
	LeastLoaded Baseline = iota + 1
	// LeastLoadedCopy prefers the least loaded engine that has the adapter, or is
	// loading it, and falls back to LeastLoaded.
	LeastLoadedCopy
	// StaticHash sends all calls of an adapter to one engine.
	StaticHash
)

// String returns the name of the baseline in the figures.
func (routing Baseline) String() string {
	return map[Baseline]string{LeastLoaded: "lru_least_loaded", LeastLoadedCopy: "lru_least_loaded_copy", StaticHash: "static_hash"}[routing]
}

// baseline is LRU with one way of routing.
type baseline struct {
	routing Baseline
	budget  *budget.Budget
	engines []*member
	index   map[core.UpstreamID]*member
	calls   map[core.AttemptID]*waiter
	// homeless calls wait for an engine.
	homeless []*waiter
	loads    []*pending
	used     uint64
	wasted   uint64
	started  uint64
	actions  []scheduler.Action
}

// member is an engine as a baseline sees it.
type member struct {
	id          core.UpstreamID
	incarnation core.Incarnation
	seen        time.Time
	lost        bool
	slots       int
	load        int
	copies      map[core.AdapterVersion]*resident
	pending     map[core.AdapterVersion]*pending
}

type resident struct {
	used    uint64
	pins    int
	served  bool
	loading bool
}

type pending struct {
	to      *member
	adapter core.AdapterVersion
	calls   []*waiter
}

type waiter struct {
	scheduler.Call
	to       *member
	assigned bool
	over     bool
}

func newBaseline(routing Baseline, share budget.Share, now time.Time) *baseline {
	return &baseline{
		routing: routing, budget: budget.New(share, now),
		index: make(map[core.UpstreamID]*member), calls: make(map[core.AttemptID]*waiter),
	}
}

func (baseline *baseline) Announce(announcement core.Announcement, now time.Time) {
	engine := baseline.index[announcement.Upstream]
	if engine == nil {
		engine = &member{id: announcement.Upstream}
		baseline.index[engine.id] = engine
		baseline.engines = append(baseline.engines, engine)
	}
	if engine.incarnation != announcement.Incarnation {
		baseline.scatter(engine, now)
		engine.incarnation, engine.slots, engine.load = announcement.Incarnation, announcement.Slots, 0
		engine.copies = make(map[core.AdapterVersion]*resident)
		engine.pending = make(map[core.AdapterVersion]*pending)
	}
	engine.seen, engine.lost = now, false
	waiting := baseline.homeless
	baseline.homeless = nil
	for _, call := range waiting {
		baseline.route(call, now)
	}
	baseline.pump(now)
}

func (baseline *baseline) Lose(id core.UpstreamID, incarnation core.Incarnation, now time.Time) {
	engine := baseline.index[id]
	if engine == nil || engine.incarnation != incarnation {
		return
	}
	engine.lost = true
	baseline.scatter(engine, now)
}

// scatter routes the calls that wait for an engine anew.
func (baseline *baseline) scatter(engine *member, now time.Time) {
	lost := engine.pending
	engine.pending = make(map[core.AdapterVersion]*pending)
	for _, call := range baseline.waiting(lost) {
		baseline.route(call, now)
	}
}

// waiting returns the calls of pending loads in the order of the load queue.
func (baseline *baseline) waiting(lost map[core.AdapterVersion]*pending) []*waiter {
	var calls []*waiter
	kept := baseline.loads[:0]
	for _, load := range baseline.loads {
		if lost[load.adapter] == load {
			calls = append(calls, load.calls...)
			delete(lost, load.adapter)
			continue
		}
		kept = append(kept, load)
	}
	baseline.loads = kept
	return append(calls, baseline.rest(lost)...)
}

// rest returns the calls whose loads had begun.
func (baseline *baseline) rest(lost map[core.AdapterVersion]*pending) []*waiter {
	var calls []*waiter
	for _, call := range sortedCalls(lost) {
		if !call.over && !call.assigned {
			calls = append(calls, call)
		}
	}
	return calls
}

func (baseline *baseline) Enqueue(call scheduler.Call, now time.Time) {
	waits := &waiter{Call: call}
	baseline.calls[call.Attempt] = waits
	baseline.route(waits, now)
	baseline.pump(now)
}

func (baseline *baseline) route(call *waiter, now time.Time) {
	if call.over || call.assigned {
		return
	}
	engine := baseline.choose(call, now)
	if engine == nil {
		baseline.homeless = append(baseline.homeless, call)
		return
	}
	call.to = engine
	if copied := engine.copies[call.Adapter]; copied != nil && !copied.loading {
		baseline.send(call, copied)
		return
	}
	load := engine.pending[call.Adapter]
	if load == nil {
		load = &pending{to: engine, adapter: call.Adapter}
		engine.pending[call.Adapter] = load
		baseline.loads = append(baseline.loads, load)
	}
	load.calls = append(load.calls, call)
	engine.load++
}

func (baseline *baseline) choose(call *waiter, now time.Time) *member {
	var best, holder *member
	usable := 0
	for _, engine := range baseline.engines {
		if !baseline.usable(engine, now) {
			continue
		}
		usable++
		if best == nil || engine.load < best.load {
			best = engine
		}
		if (engine.copies[call.Adapter] != nil || engine.pending[call.Adapter] != nil) && (holder == nil || engine.load < holder.load) {
			holder = engine
		}
	}
	switch {
	case usable == 0:
		return nil
	case baseline.routing == LeastLoadedCopy && holder != nil:
		return holder
	case baseline.routing == StaticHash:
		return baseline.hashed(call.Adapter, usable, now)
	default:
		return best
	}
}

func (baseline *baseline) hashed(adapter core.AdapterVersion, usable int, now time.Time) *member {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(adapter.String()))
	at := int(sum.Sum32() % uint32(len(baseline.engines)))
	for !baseline.usable(baseline.engines[at], now) {
		at = (at + 1) % len(baseline.engines)
	}
	return baseline.engines[at]
}

func (baseline *baseline) usable(engine *member, now time.Time) bool {
	return !engine.lost && now.Sub(engine.seen) < core.AnnouncementLease
}

func (baseline *baseline) send(call *waiter, copied *resident) {
	baseline.used++
	copied.used, copied.served = baseline.used, true
	copied.pins++
	call.to.load++
	call.assigned = true
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Send, Upstream: call.to.id, Incarnation: call.to.incarnation, Adapter: call.Adapter, Attempt: call.Attempt,
	})
}

func (baseline *baseline) Start(attempt core.AttemptID, _ core.UpstreamID, incarnation core.Incarnation, _ time.Time) bool {
	call := baseline.calls[attempt]
	return call != nil && !call.over && call.to.incarnation == incarnation
}

func (baseline *baseline) Ended(attempt core.AttemptID, confirmed bool, now time.Time) {
	call := baseline.calls[attempt]
	if call == nil {
		return
	}
	delete(baseline.calls, attempt)
	if confirmed {
		call.to.load--
		call.to.copies[call.Adapter].pins--
	}
	baseline.pump(now)
}

func (baseline *baseline) LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time) {
	baseline.budget.Done()
	engine := baseline.index[id]
	if engine.incarnation != incarnation || engine.lost {
		baseline.pump(now)
		return
	}
	load := engine.pending[name]
	if !loaded {
		delete(engine.copies, name)
		baseline.loads = append(baseline.loads, load)
		baseline.pump(now)
		return
	}
	delete(engine.pending, name)
	baseline.used++
	engine.copies[name].loading, engine.copies[name].used = false, baseline.used
	engine.load -= len(load.calls)
	for _, call := range load.calls {
		if !call.over {
			baseline.send(call, engine.copies[name])
		}
	}
	baseline.pump(now)
}

// EvictAnswered does nothing: the fake engines carry out evictions at once.
func (*baseline) EvictAnswered(core.UpstreamID, core.Incarnation, core.AdapterVersion, bool, time.Time) {
}

// pump starts the loads that the budget allows, the oldest first.
func (baseline *baseline) pump(now time.Time) {
	for i := 0; i < len(baseline.loads) && baseline.budget.Allows(now, 0); {
		load := baseline.loads[i]
		if !load.wanted() {
			delete(load.to.pending, load.adapter)
			load.to.load -= len(load.calls)
		} else if !baseline.makeRoom(load.to) {
			i++
			continue
		} else {
			baseline.begin(load, now)
		}
		baseline.loads = append(baseline.loads[:i], baseline.loads[i+1:]...)
	}
}

func (load *pending) wanted() bool {
	for _, call := range load.calls {
		if !call.over {
			return true
		}
	}
	return false
}

func (baseline *baseline) begin(load *pending, now time.Time) {
	baseline.budget.Take(now)
	baseline.started++
	load.to.copies[load.adapter] = &resident{loading: true}
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Load, Upstream: load.to.id, Incarnation: load.to.incarnation, Adapter: load.adapter,
	})
}

// makeRoom evicts the least recently used copy that is not pinned.
func (baseline *baseline) makeRoom(engine *member) bool {
	if len(engine.copies) < engine.slots {
		return true
	}
	var oldest core.AdapterVersion
	var found *resident
	for adapter, copied := range engine.copies {
		if !copied.loading && copied.pins == 0 && (found == nil || copied.used < found.used) {
			oldest, found = adapter, copied
		}
	}
	if found == nil {
		return false
	}
	if !found.served {
		baseline.wasted++
	}
	delete(engine.copies, oldest)
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Evict, Upstream: engine.id, Incarnation: engine.incarnation, Adapter: oldest,
	})
	return true
}

func (baseline *baseline) Tick(now time.Time) {
	for _, call := range sortedWaiters(baseline.calls) {
		if !call.assigned && !call.over && !now.Before(call.Deadline) {
			call.over = true
			baseline.actions = append(baseline.actions, scheduler.Action{
				Kind: scheduler.Refuse, Attempt: call.Attempt, Refusal: core.Refuse(core.CodeDeadline, "the deadline passed"),
			})
			delete(baseline.calls, call.Attempt)
		}
	}
	baseline.pump(now)
}

// baselineTick is short enough for the budget to be used in full.
const baselineTick = 20 * time.Millisecond

func (baseline *baseline) NextTick(now time.Time) (time.Time, bool) {
	return now.Add(baselineTick), len(baseline.engines) > 0
}

func (baseline *baseline) Take(list []scheduler.Action) []scheduler.Action {
	list = append(list, baseline.actions...)
	baseline.actions = nil
	return list
}

// Stats returns the counts that the figures show.
func (baseline *baseline) Stats() scheduler.Stats {
	return scheduler.Stats{Loads: baseline.started, WastedLoads: baseline.wasted}
}
