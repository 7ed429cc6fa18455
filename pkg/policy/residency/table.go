package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Table is the owner's table of the engines of a zone. Times are readings of a clock that
// does not stop while the machine is suspended. Use NewTable; a Table may be used by one
// goroutine at a time.
type Table struct {
	timing    Timing
	engines   map[core.UpstreamID]*engine
	demand    demand
	revisions map[core.WeightKey]core.Revision
	changes   []Change
	// storeLoads holds the times of recent loads of base models from the store.
	storeLoads []time.Duration
	storeShare float64
}

// NewTable returns an empty table. storeShare is the part of the store's load rate that
// this zone may use.
func NewTable(timing Timing, storeShare float64) *Table {
	timing = timing.withDefaults()
	return &Table{
		timing: timing, storeShare: storeShare,
		engines:   make(map[core.UpstreamID]*engine),
		revisions: make(map[core.WeightKey]core.Revision),
		demand:    demand{halfLife: timing.HalfLife, rates: make(map[core.WeightKey]*rate)},
	}
}

// SetEngine takes in an announcement of an engine. A new life of it holds nothing that
// was known before.
func (table *Table) SetEngine(now time.Duration, instance core.Instance, spec core.EngineSpec) {
	known := table.engines[instance.Upstream]
	if instance.Gone {
		delete(table.engines, instance.Upstream)
		return
	}
	if known == nil || known.born != instance.Born {
		known = newEngine(instance)
		known.ask = now
		table.engines[instance.Upstream] = known
	}
	known.address, known.service, known.slots = instance.Address, instance.Service, instance.Slots
	known.leaving = instance.Leaving || instance.Silent
	known.spec = spec
}

// Clear forgets every engine: another VM owns them.
func (table *Table) Clear() {
	clear(table.engines)
	table.changes = nil
}

// Sync takes in a report that an engine gave in its life born.
func (table *Table) Sync(now time.Duration, id core.UpstreamID, born int64, state State) {
	engine := table.engines[id]
	if engine == nil || engine.born != born {
		return
	}
	engine.ordering, engine.conflicts = false, 0
	if state.Busy {
		engine.ask = now + table.timing.Lag
	}
	engine.synced, engine.accepted, engine.running = !state.Busy, state.Accepted, state.Running
	engine.copies = make(map[core.WeightKey]*loaded, len(state.Holdings))
	for _, holding := range state.Holdings {
		held := &loaded{phase: resident, revision: holding.Revision, since: now, touched: now}
		if holding.Loading {
			held.phase, held.check = loading, now+table.timing.Check
		}
		engine.copies[holding.Weights] = held
	}
	table.publish(engine)
	table.replaceOld(engine)
}

// publish announces everything that an engine holds.
func (table *Table) publish(engine *engine) {
	change := Change{Upstream: engine.id, Born: engine.born, Whole: true}
	for key, held := range engine.copies {
		if held.phase == resident {
			change.Added = append(change.Added, Holding{Weights: key, Revision: held.revision})
		}
	}
	sortHoldings(change.Added)
	table.changes = append(table.changes, change)
}

// Whole returns what every engine holds, for those who know nothing yet.
func (table *Table) Whole() []Change {
	before := table.changes
	table.changes = nil
	for _, engine := range table.sorted() {
		if engine.synced {
			table.publish(engine)
		}
	}
	whole := table.changes
	table.changes = before
	return whole
}

// Changes returns what has changed since the last call.
func (table *Table) Changes() []Change {
	changes := table.changes
	table.changes = nil
	return changes
}

func (table *Table) added(engine *engine, key core.WeightKey, revision core.Revision) {
	table.changes = append(table.changes, Change{
		Upstream: engine.id, Born: engine.born, Added: []Holding{{Weights: key, Revision: revision}},
	})
}

func (table *Table) removed(engine *engine, key core.WeightKey) {
	table.changes = append(table.changes, Change{Upstream: engine.id, Born: engine.born, Removed: []core.WeightKey{key}})
}

// SetRevision takes in the newest revision of an adapter. Engines that hold an older one
// get the new one.
func (table *Table) SetRevision(key core.WeightKey, revision core.Revision) {
	if revision <= table.revisions[key] {
		return
	}
	table.revisions[key] = revision
	for _, engine := range table.sorted() {
		table.replaceOld(engine)
	}
}

// replaceOld wants the newest revision of each adapter that the engine holds.
func (table *Table) replaceOld(engine *engine) {
	for _, key := range slices.SortedFunc(maps.Keys(engine.copies), compareKeys) {
		held, newest := engine.copies[key], table.revisions[key]
		if held.phase != resident || held.revision >= newest {
			continue
		}
		table.removed(engine, key)
		if !engine.comes(key, newest) {
			engine.wants = append(engine.wants, want{weights: key, revision: newest, kept: true})
		}
	}
}

// Use counts requests that were sent since the last report of their sender.
func (table *Table) Use(now time.Duration, key core.WeightKey, count int) {
	table.demand.add(now, key, float64(count))
	for _, engine := range table.engines {
		if held := engine.copies[key]; held != nil {
			held.touched = now
		}
	}
}

// SetRunning takes in the numbers of requests that all entry VMs run on an engine, by
// weights.
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

func (table *Table) sorted() []*engine {
	return slices.SortedFunc(maps.Values(table.engines), func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}

func sortHoldings(holdings []Holding) {
	slices.SortFunc(holdings, func(a, b Holding) int { return compareKeys(a.Weights, b.Weights) })
}

func compareKeys(a, b core.WeightKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
