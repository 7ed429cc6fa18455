package policy

import (
	"hash/fnv"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// BaselineRouting is the rule by which a baseline selects the engine of a call. Every
// baseline evicts the least recently used adapter and starts loads in order of arrival
// within the same budget as the scheduler.
type BaselineRouting int

// Routing rules of the baselines.
const (
	// LeastLoaded sends a call to the engine with the fewest calls.
	LeastLoaded BaselineRouting = iota + 1
	// LeastLoadedCopy prefers the least loaded engine that holds or loads the adapter
	// and falls back to LeastLoaded.
	LeastLoadedCopy
	// StaticHash sends all calls of an adapter to the engine given by its hash, or to
	// the next usable engine after it.
	StaticHash
)

// String returns the name of the baseline in the benchmark output.
func (routing BaselineRouting) String() string {
	return map[BaselineRouting]string{LeastLoaded: "lru_least_loaded", LeastLoadedCopy: "lru_least_loaded_copy", StaticHash: "static_hash"}[routing]
}

// baseline is a dispatcher with LRU eviction and one routing rule.
type baseline struct {
	routing BaselineRouting
	budget  *budget.Budget
	engines []*baselineEngine
	index   map[core.UpstreamID]*baselineEngine
	calls   map[core.AttemptID]*activeCall
	// unrouted holds the calls that arrived while no engine was usable.
	unrouted     []*activeCall
	loadQueue    []*pendingLoad
	lastUse      uint64
	wastedLoads  uint64
	startedLoads uint64
	actions      []scheduler.Action
}

// baselineEngine is the state that a baseline keeps about an engine.
type baselineEngine struct {
	id            core.UpstreamID
	incarnation   core.Incarnation
	lastAnnounced time.Time
	lost          bool
	slots         int
	callCount     int
	copies        map[core.AdapterVersion]*residentAdapter
	pending       map[core.AdapterVersion]*pendingLoad
}

// residentAdapter is the state of an adapter that an engine holds or loads.
type residentAdapter struct {
	lastUse uint64
	pins    int  // calls that were sent and have not ended
	served  bool // set once a call was sent
	loading bool
}

// pendingLoad is a load that is queued or running, with the calls that wait for it.
type pendingLoad struct {
	engine  *baselineEngine
	adapter core.AdapterVersion
	calls   []*activeCall
}

// activeCall is a call that waits for a load or an engine, or that was sent and has not
// ended.
type activeCall struct {
	scheduler.Call
	engine  *baselineEngine
	sent    bool
	refused bool
}

func newBaseline(routing BaselineRouting, share budget.Share, now time.Time) *baseline {
	return &baseline{
		routing: routing, budget: budget.New(share, now),
		index: make(map[core.UpstreamID]*baselineEngine), calls: make(map[core.AttemptID]*activeCall),
	}
}

func (baseline *baseline) Announced(announcement core.Announcement, now time.Time) {
	engine := baseline.index[announcement.Upstream]
	if engine == nil {
		engine = &baselineEngine{id: announcement.Upstream}
		baseline.index[engine.id] = engine
		baseline.engines = append(baseline.engines, engine)
	}
	if engine.incarnation != announcement.Incarnation {
		baseline.reroute(engine, now)
		engine.incarnation, engine.slots, engine.callCount = announcement.Incarnation, announcement.Slots, 0
		engine.copies = make(map[core.AdapterVersion]*residentAdapter)
		engine.pending = make(map[core.AdapterVersion]*pendingLoad)
	}
	engine.lastAnnounced, engine.lost = now, false
	waiting := baseline.unrouted
	baseline.unrouted = nil
	for _, call := range waiting {
		baseline.route(call, now)
	}
	baseline.startLoads(now)
}

func (baseline *baseline) UpstreamLost(id core.UpstreamID, incarnation core.Incarnation, now time.Time) {
	engine := baseline.index[id]
	if engine == nil || engine.incarnation != incarnation {
		return
	}
	engine.lost = true
	baseline.reroute(engine, now)
}

// reroute selects engines again for the calls that wait for a load on an engine.
func (baseline *baseline) reroute(engine *baselineEngine, now time.Time) {
	lost := engine.pending
	engine.pending = make(map[core.AdapterVersion]*pendingLoad)
	for _, call := range baseline.takePendingCalls(lost) {
		baseline.route(call, now)
	}
}

// takePendingCalls removes the given loads from the load queue and returns their calls
// in queue order, followed by the calls of loads that have started.
func (baseline *baseline) takePendingCalls(lost map[core.AdapterVersion]*pendingLoad) []*activeCall {
	var calls []*activeCall
	kept := baseline.loadQueue[:0]
	for _, load := range baseline.loadQueue {
		if lost[load.adapter] == load {
			calls = append(calls, load.calls...)
			delete(lost, load.adapter)
			continue
		}
		kept = append(kept, load)
	}
	baseline.loadQueue = kept
	return append(calls, baseline.startedLoadCalls(lost)...)
}

// startedLoadCalls returns the unsent calls of loads that have started, sorted by
// attempt.
func (baseline *baseline) startedLoadCalls(lost map[core.AdapterVersion]*pendingLoad) []*activeCall {
	var calls []*activeCall
	for _, call := range sortedLoadCalls(lost) {
		if !call.refused && !call.sent {
			calls = append(calls, call)
		}
	}
	return calls
}

func (baseline *baseline) Enqueue(call scheduler.Call, now time.Time) {
	waiting := &activeCall{Call: call}
	baseline.calls[call.Attempt] = waiting
	baseline.route(waiting, now)
	baseline.startLoads(now)
}

// route sends a call if its engine holds the adapter, and otherwise adds it to the load
// of the adapter. Calls that were sent or refused are ignored.
func (baseline *baseline) route(call *activeCall, now time.Time) {
	if call.refused || call.sent {
		return
	}
	engine := baseline.selectEngine(call, now)
	if engine == nil {
		baseline.unrouted = append(baseline.unrouted, call)
		return
	}
	call.engine = engine
	if resident := engine.copies[call.Adapter]; resident != nil && !resident.loading {
		baseline.send(call, resident)
		return
	}
	load := engine.pending[call.Adapter]
	if load == nil {
		load = &pendingLoad{engine: engine, adapter: call.Adapter}
		engine.pending[call.Adapter] = load
		baseline.loadQueue = append(baseline.loadQueue, load)
	}
	load.calls = append(load.calls, call)
	engine.callCount++
}

// selectEngine returns the engine for a call by the routing rule, or nil if no engine is
// usable.
func (baseline *baseline) selectEngine(call *activeCall, now time.Time) *baselineEngine {
	var leastLoaded, holder *baselineEngine
	usable := 0
	for _, engine := range baseline.engines {
		if !baseline.usable(engine, now) {
			continue
		}
		usable++
		if leastLoaded == nil || engine.callCount < leastLoaded.callCount {
			leastLoaded = engine
		}
		if (engine.copies[call.Adapter] != nil || engine.pending[call.Adapter] != nil) && (holder == nil || engine.callCount < holder.callCount) {
			holder = engine
		}
	}
	switch {
	case usable == 0:
		return nil
	case baseline.routing == LeastLoadedCopy && holder != nil:
		return holder
	case baseline.routing == StaticHash:
		return baseline.hashedEngine(call.Adapter, usable, now)
	default:
		return leastLoaded
	}
}

// hashedEngine returns the first usable engine from the position given by the hash of
// the adapter on. At least one engine must be usable.
func (baseline *baseline) hashedEngine(adapter core.AdapterVersion, usable int, now time.Time) *baselineEngine {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(adapter.String()))
	at := int(sum.Sum32() % uint32(len(baseline.engines)))
	for !baseline.usable(baseline.engines[at], now) {
		at = (at + 1) % len(baseline.engines)
	}
	return baseline.engines[at]
}

// usable reports whether an engine is not lost and its announcement has not expired.
func (baseline *baseline) usable(engine *baselineEngine, now time.Time) bool {
	return !engine.lost && now.Sub(engine.lastAnnounced) < core.AnnouncementLease
}

func (baseline *baseline) send(call *activeCall, resident *residentAdapter) {
	baseline.lastUse++
	resident.lastUse, resident.served = baseline.lastUse, true
	resident.pins++
	call.engine.callCount++
	call.sent = true
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Send, Upstream: call.engine.id, Incarnation: call.engine.incarnation, Adapter: call.Adapter, Attempt: call.Attempt,
	})
}

func (baseline *baseline) Start(attempt core.AttemptID, _ core.UpstreamID, incarnation core.Incarnation, _ time.Time) bool {
	call := baseline.calls[attempt]
	return call != nil && !call.refused && call.engine.incarnation == incarnation
}

func (baseline *baseline) Ended(attempt core.AttemptID, confirmed bool, now time.Time) {
	call := baseline.calls[attempt]
	if call == nil {
		return
	}
	delete(baseline.calls, attempt)
	if confirmed {
		call.engine.callCount--
		call.engine.copies[call.Adapter].pins--
	}
	baseline.startLoads(now)
}

func (baseline *baseline) LoadAnswered(id core.UpstreamID, incarnation core.Incarnation, name core.AdapterVersion, loaded bool, now time.Time) {
	baseline.budget.EndLoad()
	engine := baseline.index[id]
	if engine.incarnation != incarnation || engine.lost {
		baseline.startLoads(now)
		return
	}
	load := engine.pending[name]
	if !loaded {
		delete(engine.copies, name)
		baseline.loadQueue = append(baseline.loadQueue, load)
		baseline.startLoads(now)
		return
	}
	delete(engine.pending, name)
	baseline.lastUse++
	engine.copies[name].loading, engine.copies[name].lastUse = false, baseline.lastUse
	engine.callCount -= len(load.calls)
	for _, call := range load.calls {
		if !call.refused {
			baseline.send(call, engine.copies[name])
		}
	}
	baseline.startLoads(now)
}

// EvictAnswered does nothing: the simulated engines execute evictions immediately.
func (*baseline) EvictAnswered(core.UpstreamID, core.Incarnation, core.AdapterVersion, bool, time.Time) {
}

// startLoads starts queued loads as far as the budget allows, the oldest first. It
// skips loads whose engine has no evictable adapter and drops those without waiting
// calls.
func (baseline *baseline) startLoads(now time.Time) {
	for i := 0; i < len(baseline.loadQueue) && baseline.budget.Allows(now, 0); {
		load := baseline.loadQueue[i]
		if !load.hasWaitingCall() {
			delete(load.engine.pending, load.adapter)
			load.engine.callCount -= len(load.calls)
		} else if !baseline.ensureFreeSlot(load.engine) {
			i++
			continue
		} else {
			baseline.startLoad(load, now)
		}
		baseline.loadQueue = append(baseline.loadQueue[:i], baseline.loadQueue[i+1:]...)
	}
}

func (load *pendingLoad) hasWaitingCall() bool {
	for _, call := range load.calls {
		if !call.refused {
			return true
		}
	}
	return false
}

func (baseline *baseline) startLoad(load *pendingLoad, now time.Time) {
	baseline.budget.Take(now)
	baseline.startedLoads++
	load.engine.copies[load.adapter] = &residentAdapter{loading: true}
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Load, Upstream: load.engine.id, Incarnation: load.engine.incarnation, Adapter: load.adapter,
	})
}

// ensureFreeSlot evicts the least recently used adapter without unfinished calls if all
// slots are in use. It returns false if there is no such adapter.
func (baseline *baseline) ensureFreeSlot(engine *baselineEngine) bool {
	if len(engine.copies) < engine.slots {
		return true
	}
	var evicted core.AdapterVersion
	var leastRecent *residentAdapter
	for adapter, resident := range engine.copies {
		if !resident.loading && resident.pins == 0 && (leastRecent == nil || resident.lastUse < leastRecent.lastUse) {
			evicted, leastRecent = adapter, resident
		}
	}
	if leastRecent == nil {
		return false
	}
	if !leastRecent.served {
		baseline.wastedLoads++
	}
	delete(engine.copies, evicted)
	baseline.actions = append(baseline.actions, scheduler.Action{
		Kind: scheduler.Evict, Upstream: engine.id, Incarnation: engine.incarnation, Adapter: evicted,
	})
	return true
}

func (baseline *baseline) Tick(now time.Time) {
	for _, call := range sortedCalls(baseline.calls) {
		if !call.sent && !call.refused && !now.Before(call.Deadline) {
			call.refused = true
			baseline.actions = append(baseline.actions, scheduler.Action{
				Kind: scheduler.Refuse, Attempt: call.Attempt, Refusal: core.NewRefusal(core.CodeDeadlineExceeded, "the deadline passed"),
			})
			delete(baseline.calls, call.Attempt)
		}
	}
	baseline.startLoads(now)
}

// baselineTick is short enough to use the whole budget.
const baselineTick = 20 * time.Millisecond

func (baseline *baseline) NextTick(now time.Time) (time.Time, bool) {
	return now.Add(baselineTick), len(baseline.engines) > 0
}

func (baseline *baseline) TakeActions(list []scheduler.Action) []scheduler.Action {
	list = append(list, baseline.actions...)
	baseline.actions = nil
	return list
}

// Stats returns the counts that are part of the result.
func (baseline *baseline) Stats() scheduler.Stats {
	return scheduler.Stats{Loads: baseline.startedLoads, WastedLoads: baseline.wastedLoads}
}
