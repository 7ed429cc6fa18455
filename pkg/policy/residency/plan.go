package residency

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// NextOrders returns the orders to send now, at most one for each engine, and the time of
// the next call. Zero means that no call is needed before the next change. After each
// order the caller must call ApplyOutcome, or ApplyReport once a report has arrived.
func (table *Table) NextOrders(now time.Duration) ([]Order, time.Duration) {
	var orders []Order
	var nextCall time.Duration
	for _, engine := range table.sortedEngines() {
		if engine.orderPending {
			continue
		}
		order, nextTime := table.nextOrder(now, engine)
		if order != nil {
			engine.orderPending = true
			orders = append(orders, *order)
			continue
		}
		if nextTime != 0 && (nextCall == 0 || nextTime < nextCall) {
			nextCall = nextTime
		}
	}
	return orders, nextCall
}

// nextOrder returns the order to send to an engine now. If there is none, it returns nil
// and the time of the next call, zero for none.
func (table *Table) nextOrder(now time.Duration, engine *engine) (*Order, time.Duration) {
	if !engine.synced {
		if engine.reportAfter > now {
			return nil, engine.reportAfter
		}
		return engine.newOrder(Report, core.WeightKey{}, 0), 0
	}
	if engine.leaving {
		return nil, 0
	}
	if engine.pausedUntil > now {
		return nil, engine.pausedUntil
	}
	if order := table.overdueOrder(now, engine); order != nil {
		return order, 0
	}
	if engine.isUnloading() {
		return nil, engine.nextCheckTime()
	}
	if order := table.baseModelOrder(now, engine); order != nil {
		return order, 0
	}
	if order := table.pendingLoadOrder(now, engine); order != nil {
		return order, 0
	}
	return nil, engine.nextActionTime(now)
}

// nextActionTime returns the earlier of the time of the next status check and the time at
// which pending loads without room are tried again. It returns zero if there are neither.
func (engine *engine) nextActionTime(now time.Duration) time.Duration {
	next := engine.nextCheckTime()
	if len(engine.pendingLoads) > 0 && engine.loadingAdapters() < maxAdapterLoads && (next == 0 || next > now+evictionRetryInterval) {
		next = now + evictionRetryInterval
	}
	return next
}

// evictionRetryInterval is the time between two searches for an adapter to evict.
const evictionRetryInterval = 100 * time.Millisecond

func (engine *engine) newOrder(kind OrderKind, key core.WeightKey, revision core.Revision) *Order {
	return &Order{
		Kind: kind, Upstream: engine.id, Born: engine.born, Address: engine.address,
		Weights: key, Revision: revision, Expected: engine.acceptedOrders,
	}
}

// overdueOrder returns an order that checks a load or an unload whose check is due, or nil.
// Once Timing.Abandon has passed since phaseStart, the order requests a report instead.
func (table *Table) overdueOrder(now time.Duration, engine *engine) *Order {
	key, held := engine.earliestCheck()
	if held == nil || held.nextCheck > now {
		return nil
	}
	if now-held.phaseStart > table.timing.Abandon+table.baseLoadAllowance(engine, key) {
		engine.synced, engine.reportAfter = false, now
		return engine.newOrder(Report, core.WeightKey{}, 0)
	}
	kind := Load
	if held.phase == unloading {
		kind = Unload
	}
	order := engine.newOrder(kind, key, held.revision)
	order.Check = true
	return order
}

// earliestCheck returns the loading or unloading copy with the earliest check, or nil.
func (engine *engine) earliestCheck() (core.WeightKey, *weightCopy) {
	var earliestKey core.WeightKey
	var earliest *weightCopy
	for key, held := range engine.copies {
		if held.phase == resident {
			continue
		}
		if earliest == nil || held.nextCheck < earliest.nextCheck || held.nextCheck == earliest.nextCheck && compareKeys(key, earliestKey) < 0 {
			earliestKey, earliest = key, held
		}
	}
	return earliestKey, earliest
}

// nextCheckTime returns the time of the earliest check, or zero if there is none.
func (engine *engine) nextCheckTime() time.Duration {
	_, held := engine.earliestCheck()
	if held == nil {
		return 0
	}
	return held.nextCheck
}

// baseLoadAllowance returns the addition to Timing.Abandon: four times the load time of a
// base model, and zero for an adapter.
func (table *Table) baseLoadAllowance(engine *engine, key core.WeightKey) time.Duration {
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

// baseModelOrder returns a load order for an engine without a base model, within the
// zone's share of the store's load rate, or nil.
func (table *Table) baseModelOrder(now time.Duration, engine *engine) *Order {
	for key := range engine.copies {
		if key.Adapter == "" {
			return nil
		}
	}
	model, ok := table.mostNeededModel(now, engine)
	if !ok || !table.allowsStoreLoad(now, engine.spec.LoadRate) {
		return nil
	}
	table.storeLoads = append(table.storeLoads, now)
	return engine.newOrder(Load, core.WeightKey{Model: model}, 0)
}

// mostNeededModel returns the base model that fits on the engine and has the highest
// demand per engine of the service that holds it. It returns false if none fits.
func (table *Table) mostNeededModel(now time.Duration, engine *engine) (core.ModelID, bool) {
	var chosen core.ModelID
	highestNeed := -1.0
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
		if need := (table.demand.count(now, key) + 1) / float64(holders); need > highestNeed {
			chosen, highestNeed = base.Model, need
		}
	}
	return chosen, highestNeed >= 0
}

// storeLoadWindow is the period over which loads of base models are counted.
const storeLoadWindow = 5 * time.Second

// allowsStoreLoad reports whether this zone may start another load of a base model. At
// least one load per storeLoadWindow is allowed; a limit of zero means no limit.
func (table *Table) allowsStoreLoad(now time.Duration, limit core.LoadsPerSecond) bool {
	table.storeLoads = slices.DeleteFunc(table.storeLoads, func(at time.Duration) bool { return now-at >= storeLoadWindow })
	allowed := max(1, int(float64(limit)*storeLoadWindow.Seconds()*table.storeShare))
	return limit <= 0 || len(table.storeLoads) < allowed
}

// pendingLoadOrder returns an order for the first pending load that can start: the load
// itself if it fits, otherwise the unload that makes room for it. It returns nil if
// neither is possible now, and removes fulfilled and expired pending loads.
func (table *Table) pendingLoadOrder(now time.Duration, engine *engine) *Order {
	engine.pendingLoads = slices.DeleteFunc(engine.pendingLoads, func(pending pendingLoad) bool {
		return engine.holds(pending.weights, pending.revision) || !pending.neverExpires && now-pending.lastRequested > pendingLoadLifetime
	})
	if engine.loadingAdapters() >= maxAdapterLoads {
		return nil
	}
	for _, pending := range engine.pendingLoads {
		held := engine.copies[pending.weights]
		base := engine.copies[core.WeightKey{Model: pending.weights.Model}]
		if held != nil && held.phase != resident || base == nil || base.phase != resident {
			continue
		}
		if pending.weights.Adapter == "" || engine.fits(pending.weights) {
			return engine.newOrder(Load, pending.weights, max(pending.revision, table.revisions[pending.weights]))
		}
		victim, _, ok := table.evictionCandidate(now, engine)
		if !ok {
			return nil
		}
		table.announceRemoved(engine, victim)
		return engine.newOrder(Unload, victim, engine.copies[victim].revision)
	}
	return nil
}

// ApplyOutcome processes the outcome of an order. It returns false if the engine has seen
// a higher fencing token, which means that the caller no longer owns the engines.
func (table *Table) ApplyOutcome(now time.Duration, order Order, outcome Outcome) bool {
	engine := table.engines[order.Upstream]
	if engine == nil || engine.born != order.Born {
		return outcome != Fenced
	}
	engine.orderPending = false
	switch {
	case outcome == Fenced:
		return false
	case outcome == Unanswered && order.Check && engine.conflicts < maxConflicts:
		// The checked load or unload was accepted before, so the engine's state is still
		// known.
		engine.conflicts++
		table.postponeCheck(now, engine, order)
	case order.Kind == Report || outcome == Unanswered || outcome == Refused:
		table.markUnsynced(now, engine)
	case outcome == Conflict && order.Check:
		// The engine is executing another order. The check is repeated later.
		table.postponeCheck(now, engine, order)
	case outcome == Conflict && engine.conflicts < maxConflicts:
		// The engine may still be executing the previous order.
		engine.conflicts++
		engine.pausedUntil = now + table.timing.Check
		table.restoreAnnouncement(engine, order)
	case outcome == Conflict:
		table.markUnsynced(now, engine)
	case order.Kind == Unload:
		table.applyUnloadOutcome(now, engine, order, outcome)
	default:
		table.applyLoadOutcome(now, engine, order, outcome)
	}
	return true
}

// maxConflicts is the number of consecutive conflicts and unanswered checks that are
// tolerated. After the next one, a report is requested.
const maxConflicts = 3

// restoreAnnouncement announces weights as resident again if their unload, which removed
// them from the announcement, was not accepted.
func (table *Table) restoreAnnouncement(engine *engine, order Order) {
	if held := engine.copies[order.Weights]; order.Kind == Unload && held != nil && held.phase == resident {
		table.announceAdded(engine, order.Weights, held.revision)
	}
}

// markUnsynced makes the Table request a report once Timing.Lag has passed, when the
// report includes the effect of the last order.
func (table *Table) markUnsynced(now time.Duration, engine *engine) {
	engine.synced, engine.reportAfter = false, now+table.timing.Lag
	engine.pendingLoads = nil // waiting callers repeat their query and may get another engine
}

// postponeCheck schedules the next status check of the weights after Timing.Check.
func (table *Table) postponeCheck(now time.Duration, engine *engine, order Order) {
	if held := engine.copies[order.Weights]; held != nil {
		held.nextCheck = now + table.timing.Check
	}
}

// applyUnloadOutcome processes an unload that is in progress (Accepted) or finished
// (AlreadyInEffect).
func (table *Table) applyUnloadOutcome(now time.Duration, engine *engine, order Order, outcome Outcome) {
	engine.conflicts = 0
	if outcome == Accepted {
		if !order.Check {
			engine.acceptedOrders++
		}
		if held := engine.copies[order.Weights]; held != nil {
			if !order.Check {
				held.phaseStart = now
			}
			held.phase, held.nextCheck = unloading, now+table.timing.Check
		}
		return
	}
	if !order.Check {
		engine.acceptedOrders++
	}
	delete(engine.copies, order.Weights)
	engine.recordUnloaded(order.Weights)
}

// applyLoadOutcome processes a load that is in progress (Accepted) or finished
// (AlreadyInEffect).
func (table *Table) applyLoadOutcome(now time.Duration, engine *engine, order Order, outcome Outcome) {
	engine.conflicts = 0
	held := engine.copies[order.Weights]
	if held == nil || held.phase == resident {
		held = &weightCopy{phase: loading, revision: order.Revision, phaseStart: now, replacesOlder: held != nil}
		engine.copies[order.Weights] = held
	}
	if outcome == AlreadyInEffect {
		held.phase, held.replacesOlder, held.lastRequested = resident, false, now
		table.removeFulfilled(engine, order)
		table.announceAdded(engine, order.Weights, held.revision)
		table.queueNewRevisions(engine)
		return
	}
	if order.Check {
		held.nextCheck = now + table.timing.Check
		return
	}
	engine.acceptedOrders++
	held.nextCheck = now + table.firstCheckDelay(engine, order.Weights)
}

// removeFulfilled removes the pending loads that an order has fulfilled.
func (table *Table) removeFulfilled(engine *engine, order Order) {
	engine.pendingLoads = slices.DeleteFunc(engine.pendingLoads, func(pending pendingLoad) bool {
		return pending.weights == order.Weights && pending.revision <= order.Revision
	})
}

// firstCheckDelay returns the time from the start of a load to its first status check:
// half the load time of a base model, and the whole load time of an adapter.
func (table *Table) firstCheckDelay(engine *engine, key core.WeightKey) time.Duration {
	switch {
	case key.Adapter == "":
		for _, model := range engine.spec.Models {
			if model.Model == key.Model {
				return model.LoadTime / 2
			}
		}
		return table.timing.Cold
	case engine.isWarm(key):
		return table.timing.Warm
	default:
		return table.timing.Cold
	}
}
