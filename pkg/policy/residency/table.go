package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Table holds the state of the engines of a zone, as known to their owner. Times are
// readings of a monotonic clock that includes time in system suspend. Create it with
// NewTable. A Table is not safe for concurrent use.
type Table struct {
	timing    Timing
	engines   map[core.UpstreamID]*engine
	demand    demand
	revisions map[core.WeightKey]core.Revision
	changes   []Change
	// storeLoads holds the times of the base model loads within storeLoadWindow.
	storeLoads []time.Duration
	storeShare float64
}

// NewTable returns an empty table. storeShare is the fraction of the store's load rate
// that this zone may use.
func NewTable(timing Timing, storeShare float64) *Table {
	timing = timing.withDefaults()
	return &Table{
		timing: timing, storeShare: storeShare,
		engines:   make(map[core.UpstreamID]*engine),
		revisions: make(map[core.WeightKey]core.Revision),
		demand:    demand{halfLife: timing.HalfLife, counts: make(map[core.WeightKey]*decayingCount)},
	}
}

// SetEngine processes the announcement of an engine. After a restart of the engine, its
// previous state is discarded.
func (table *Table) SetEngine(now time.Duration, instance core.Instance, spec core.EngineSpec) {
	current := table.engines[instance.Upstream]
	if instance.Gone {
		delete(table.engines, instance.Upstream)
		return
	}
	if current == nil || current.born != instance.Born {
		current = newEngine(instance)
		current.reportAfter = now
		table.engines[instance.Upstream] = current
	}
	current.address, current.service, current.slots = instance.Address, instance.Service, instance.Slots
	current.software = instance.Software
	current.leaving = instance.Leaving || instance.Silent
	current.spec = spec
}

// Clear removes every engine and all changes not yet returned. It is for the loss of
// ownership to another VM.
func (table *Table) Clear() {
	clear(table.engines)
	table.changes = nil
}

// ApplyReport replaces the known state of an engine with its report. born is the start
// time of the reporting engine in Unix milliseconds; a report of another incarnation is
// ignored. If the engine is busy, another report is requested after Timing.Lag.
func (table *Table) ApplyReport(now time.Duration, id core.UpstreamID, born int64, state State) {
	engine := table.engines[id]
	if engine == nil || engine.born != born {
		return
	}
	engine.orderPending, engine.conflicts = false, 0
	if state.Busy {
		engine.reportAfter = now + table.timing.Lag
	}
	engine.synced, engine.acceptedOrders, engine.running = !state.Busy, state.Accepted, state.Running
	engine.copies = make(map[core.WeightKey]*weightCopy, len(state.Holdings))
	for _, holding := range state.Holdings {
		held := &weightCopy{phase: resident, revision: holding.Revision, phaseStart: now, lastRequested: now}
		if holding.Loading {
			held.phase, held.nextCheck = loading, now+table.timing.Check
		}
		engine.copies[holding.Weights] = held
	}
	table.announceHoldings(engine)
	table.queueNewRevisions(engine)
}

// announceHoldings appends a change with all resident weights of an engine.
func (table *Table) announceHoldings(engine *engine) {
	change := Change{Upstream: engine.id, Born: engine.born, Whole: true}
	for key, held := range engine.copies {
		if held.phase == resident {
			change.Added = append(change.Added, Holding{Weights: key, Revision: held.revision})
		}
	}
	sortHoldings(change.Added)
	table.changes = append(table.changes, change)
}

// Snapshot returns the resident weights of every synced engine, for a new subscriber. It
// leaves the changes that TakeChanges returns untouched.
func (table *Table) Snapshot() []Change {
	pendingChanges := table.changes
	table.changes = nil
	for _, engine := range table.sortedEngines() {
		if engine.synced {
			table.announceHoldings(engine)
		}
	}
	snapshot := table.changes
	table.changes = pendingChanges
	return snapshot
}

// TakeChanges returns the changes since the last call.
func (table *Table) TakeChanges() []Change {
	changes := table.changes
	table.changes = nil
	return changes
}

// announceAdded appends a change that adds weights to those that an engine serves.
func (table *Table) announceAdded(engine *engine, key core.WeightKey, revision core.Revision) {
	table.changes = append(table.changes, Change{
		Upstream: engine.id, Born: engine.born, Added: []Holding{{Weights: key, Revision: revision}},
	})
}

// announceRemoved appends a change that removes weights from those that an engine serves.
func (table *Table) announceRemoved(engine *engine, key core.WeightKey) {
	table.changes = append(table.changes, Change{Upstream: engine.id, Born: engine.born, Removed: []core.WeightKey{key}})
}

// SetRevision records the newest revision of an adapter and adds pending loads for the
// engines that hold an older one. It ignores a revision that is not newer.
func (table *Table) SetRevision(key core.WeightKey, revision core.Revision) {
	if revision <= table.revisions[key] {
		return
	}
	table.revisions[key] = revision
	for _, engine := range table.sortedEngines() {
		table.queueNewRevisions(engine)
	}
}

// queueNewRevisions announces the removal of the outdated adapters of an engine, and adds
// pending loads of their newest revisions.
func (table *Table) queueNewRevisions(engine *engine) {
	for _, key := range slices.SortedFunc(maps.Keys(engine.copies), compareKeys) {
		held, newest := engine.copies[key], table.revisions[key]
		if held.phase != resident || held.revision >= newest {
			continue
		}
		table.announceRemoved(engine, key)
		if !engine.loadPending(key, newest) {
			engine.pendingLoads = append(engine.pendingLoads, pendingLoad{weights: key, revision: newest, neverExpires: true})
		}
	}
}

// RecordUse adds the number of requests that an entry VM sent since its last usage report.
func (table *Table) RecordUse(now time.Duration, key core.WeightKey, count int) {
	table.demand.add(now, key, float64(count))
	for _, engine := range table.engines {
		if held := engine.copies[key]; held != nil {
			held.lastRequested = now
		}
	}
}

// SetRunning sets the number of requests in flight on an engine, by weights, summed over
// all entry VMs.
func (table *Table) SetRunning(id core.UpstreamID, running map[core.WeightKey]int) {
	engine := table.engines[id]
	if engine == nil {
		return
	}
	engine.running = 0
	for key, held := range engine.copies {
		held.running = running[key]
	}
	for _, count := range running {
		engine.running += count
	}
}

func (table *Table) sortedEngines() []*engine {
	return slices.SortedFunc(maps.Values(table.engines), func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}

func sortHoldings(holdings []Holding) {
	slices.SortFunc(holdings, func(a, b Holding) int { return compareKeys(a.Weights, b.Weights) })
}

func compareKeys(a, b core.WeightKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
