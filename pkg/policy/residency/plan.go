package residency

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Next returns the orders to send now, one at most for each engine, and the time at which
// to ask again; zero means when something changes. Each order is to be followed by Done,
// or by Sync for a report.
func (table *Table) Next(now time.Duration) ([]Order, time.Duration) {
	var orders []Order
	var wake time.Duration
	for _, engine := range table.sorted() {
		if engine.ordering {
			continue
		}
		order, at := table.next(now, engine)
		if order != nil {
			engine.ordering = true
			orders = append(orders, *order)
			continue
		}
		if at != 0 && (wake == 0 || at < wake) {
			wake = at
		}
	}
	return orders, wake
}

func (table *Table) next(now time.Duration, engine *engine) (*Order, time.Duration) {
	if !engine.synced {
		if engine.ask > now {
			return nil, engine.ask
		}
		return engine.order(Report, core.WeightKey{}, 0), 0
	}
	if engine.leaving {
		return nil, 0
	}
	if engine.pause > now {
		return nil, engine.pause
	}
	if order := table.check(now, engine); order != nil {
		return order, 0
	}
	if engine.unloads() {
		return nil, engine.nextCheck()
	}
	if order := table.loadBase(now, engine); order != nil {
		return order, 0
	}
	if order := table.loadWanted(now, engine); order != nil {
		return order, 0
	}
	return nil, engine.nextLook(now)
}

// nextLook is the time of the next question about a load, or of the next look at wanted
// loads that found no room.
func (engine *engine) nextLook(now time.Duration) time.Duration {
	at := engine.nextCheck()
	if len(engine.wants) > 0 && engine.transit() < maxTransit && (at == 0 || at > now+roomInterval) {
		at = now + roomInterval
	}
	return at
}

// roomInterval is the time between two looks for an adapter that may be unloaded.
const roomInterval = 100 * time.Millisecond

func (engine *engine) order(kind OrderKind, key core.WeightKey, revision core.Revision) *Order {
	return &Order{
		Kind: kind, Upstream: engine.id, Born: engine.born, Address: engine.address,
		Weights: key, Revision: revision, Expected: engine.accepted,
	}
}

// check asks about a load or an unload that should have ended.
func (table *Table) check(now time.Duration, engine *engine) *Order {
	key, held := engine.firstCheck()
	if held == nil || held.check > now {
		return nil
	}
	if now-held.since > table.timing.Abandon+table.baseTime(engine, key) {
		engine.synced, engine.ask = false, now
		return engine.order(Report, core.WeightKey{}, 0)
	}
	kind := Load
	if held.phase == unloading {
		kind = Unload
	}
	order := engine.order(kind, key, held.revision)
	order.Check = true
	return order
}

func (engine *engine) firstCheck() (core.WeightKey, *loaded) {
	var first core.WeightKey
	var chosen *loaded
	for key, held := range engine.copies {
		if held.phase == resident {
			continue
		}
		if chosen == nil || held.check < chosen.check || held.check == chosen.check && compareKeys(key, first) < 0 {
			first, chosen = key, held
		}
	}
	return first, chosen
}

func (engine *engine) nextCheck() time.Duration {
	_, held := engine.firstCheck()
	if held == nil {
		return 0
	}
	return held.check
}

// baseTime is the load time of a base model, and zero for an adapter.
func (table *Table) baseTime(engine *engine, key core.WeightKey) time.Duration {
	if key.Adapter != "" {
		return 0
	}
	for _, model := range engine.spec.Models {
		if model.Model == key.Model {
			return 4 * model.LoadTime
		}
	}
	return 0
}

// loadBase fills an engine that holds no base model, within the zone's share of the
// store's rate.
func (table *Table) loadBase(now time.Duration, engine *engine) *Order {
	for key := range engine.copies {
		if key.Adapter == "" {
			return nil
		}
	}
	model, ok := table.neededModel(now, engine)
	if !ok || !table.mayUseStore(now, engine.spec.LoadRate) {
		return nil
	}
	table.storeLoads = append(table.storeLoads, now)
	return engine.order(Load, core.WeightKey{Model: model}, 0)
}

// neededModel returns the base model with the most demand for each engine that holds it.
func (table *Table) neededModel(now time.Duration, engine *engine) (core.ModelID, bool) {
	var chosen core.ModelID
	most := -1.0
	for _, base := range engine.spec.Models {
		key := core.WeightKey{Model: base.Model}
		if !engine.fits(key) {
			continue
		}
		holders := 1
		for _, other := range table.engines {
			if other.service == engine.service && other.copies[key] != nil {
				holders++
			}
		}
		if need := (table.demand.of(now, key) + 1) / float64(holders); need > most {
			chosen, most = base.Model, need
		}
	}
	return chosen, most >= 0
}

// storeWindow is the span over which loads from the store are counted.
const storeWindow = 5 * time.Second

func (table *Table) mayUseStore(now time.Duration, limit core.LoadsPerSecond) bool {
	table.storeLoads = slices.DeleteFunc(table.storeLoads, func(at time.Duration) bool { return now-at >= storeWindow })
	allowed := max(1, int(float64(limit)*storeWindow.Seconds()*table.storeShare))
	return limit <= 0 || len(table.storeLoads) < allowed
}

// loadWanted loads the first wanted adapter that is not on its way, or makes room for it.
func (table *Table) loadWanted(now time.Duration, engine *engine) *Order {
	engine.wants = slices.DeleteFunc(engine.wants, func(want want) bool {
		return engine.holds(want.weights, want.revision) || !want.kept && now-want.asked > wantLife
	})
	if engine.transit() >= maxTransit {
		return nil
	}
	for _, next := range engine.wants {
		held := engine.copies[next.weights]
		base := engine.copies[core.WeightKey{Model: next.weights.Model}]
		if held != nil && held.phase != resident || base == nil || base.phase != resident {
			continue
		}
		if next.weights.Adapter == "" || engine.fits(next.weights) {
			return engine.order(Load, next.weights, max(next.revision, table.revisions[next.weights]))
		}
		victim, _, ok := table.victim(now, engine)
		if !ok {
			return nil
		}
		table.removed(engine, victim)
		return engine.order(Unload, victim, engine.copies[victim].revision)
	}
	return nil
}

// Done takes in what became of an order. It returns false if the engine has seen a later
// fencing token: the caller no longer owns the engines.
func (table *Table) Done(now time.Duration, order Order, outcome Outcome) bool {
	engine := table.engines[order.Upstream]
	if engine == nil || engine.born != order.Born {
		return outcome != Fenced
	}
	engine.ordering = false
	switch {
	case outcome == Fenced:
		return false
	case outcome == Unanswered && order.Check && engine.conflicts < maxConflicts:
		// What the order asks about was accepted before, so nothing is in doubt.
		engine.conflicts++
		table.later(now, engine, order)
	case order.Kind == Report || outcome == Unanswered || outcome == Refused:
		table.lose(now, engine)
	case outcome == Conflict && order.Check:
		// The engine works on another order; the load is asked about again.
		table.later(now, engine, order)
	case outcome == Conflict && engine.conflicts < maxConflicts:
		// The engine may still be busy with the order before.
		engine.conflicts++
		engine.pause = now + table.timing.Check
		table.restore(engine, order)
	case outcome == Conflict:
		table.lose(now, engine)
	case order.Kind == Unload:
		table.unloadDone(now, engine, order, outcome)
	default:
		table.loadDone(now, engine, order, outcome)
	}
	return true
}

// maxConflicts is the number of conflicts, or of questions without an answer, in a row
// after which the engine is asked what it holds.
const maxConflicts = 3

// restore takes back what was announced when an order was decided that did not come about.
func (table *Table) restore(engine *engine, order Order) {
	if held := engine.copies[order.Weights]; order.Kind == Unload && held != nil && held.phase == resident {
		table.added(engine, order.Weights, held.revision)
	}
}

// lose marks that the engine must be asked what it holds, after its report has caught up.
func (table *Table) lose(now time.Duration, engine *engine) {
	engine.synced, engine.ask = false, now+table.timing.Lag
	engine.wants = nil // those who wait ask again, and may get another engine
}

func (table *Table) later(now time.Duration, engine *engine, order Order) {
	if held := engine.copies[order.Weights]; held != nil {
		held.check = now + table.timing.Check
	}
}

func (table *Table) unloadDone(now time.Duration, engine *engine, order Order, outcome Outcome) {
	engine.conflicts = 0
	if outcome == Accepted {
		if !order.Check {
			engine.accepted++
		}
		if held := engine.copies[order.Weights]; held != nil {
			held.phase, held.since, held.check = unloading, now, now+table.timing.Check
		}
		return
	}
	if !order.Check {
		engine.accepted++
	}
	delete(engine.copies, order.Weights)
	engine.retire(order.Weights)
}

func (table *Table) loadDone(now time.Duration, engine *engine, order Order, outcome Outcome) {
	engine.conflicts = 0
	held := engine.copies[order.Weights]
	if held == nil || held.phase == resident {
		held = &loaded{phase: loading, revision: order.Revision, since: now, replaces: held != nil}
		engine.copies[order.Weights] = held
	}
	if outcome == Holds {
		held.phase, held.replaces, held.touched = resident, false, now
		table.drop(engine, order)
		table.added(engine, order.Weights, held.revision)
		table.replaceOld(engine)
		return
	}
	if order.Check {
		held.check = now + table.timing.Check
		return
	}
	engine.accepted++
	held.check = now + table.loadTime(engine, order.Weights)
}

// drop removes what an order has fulfilled from the wanted loads.
func (table *Table) drop(engine *engine, order Order) {
	engine.wants = slices.DeleteFunc(engine.wants, func(want want) bool {
		return want.weights == order.Weights && want.revision <= order.Revision
	})
}

func (table *Table) loadTime(engine *engine, key core.WeightKey) time.Duration {
	switch {
	case key.Adapter == "":
		for _, model := range engine.spec.Models {
			if model.Model == key.Model {
				return model.LoadTime / 2
			}
		}
		return table.timing.Cold
	case engine.warm(key):
		return table.timing.Warm
	default:
		return table.timing.Cold
	}
}
