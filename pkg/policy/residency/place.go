package residency

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// PlacementStatus is the result of a Query.
type PlacementStatus uint8

// The results of a Query.
const (
	// Ready means that an engine serves requests for the weights.
	Ready PlacementStatus = iota + 1
	// LoadPending means that a load of the weights is pending or in progress.
	LoadPending
	// QueueFull means that every engine that could load the weights has the maximum number of
	// pending loads.
	QueueFull
	// NoEngine means that the zone has no engine for the weights.
	NoEngine
)

// Query requests an engine that holds weights.
type Query struct {
	Service  core.ServiceID
	Weights  core.WeightKey
	Revision core.Revision
	// Exclude lists engines that the caller found at capacity or failing.
	Exclude []core.UpstreamID
	// Origin states which software the engine must have.
	Origin origin.Requirement
}

// The coefficients of the placement cost. A warm load saves about 220 ms of 250 ms. The
// cost of a load increases with the number of loads before it and with the demand for the
// adapter that it evicts.
const (
	// overloadCost moves an adapter away from the engine that affinityBonus prefers once
	// the utilization of that engine exceeds overloadThreshold.
	overloadCost      = 4.0
	overloadThreshold = 0.5
	warmBonus         = 1.0
	pendingLoadCost   = 0.1
	evictionCost      = 0.1
	demandCost        = 0.01
	// allInUseCost applies to an engine whose adapters are all in use, so that the load
	// has to wait.
	allInUseCost    = 0.5
	missingBaseCost = 4.0
	// affinityBonus makes an adapter return to the same engine if the other costs are
	// similar. A load from the store takes ten times as long as that of a warm adapter.
	affinityBonus = 1.0
)

// affinity returns a hash of engine and weights, scaled to [0, 1]. It does not depend on
// which VM owns the engines.
func affinity(id core.UpstreamID, key core.WeightKey) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	hash.Write([]byte(key.Model))
	hash.Write([]byte(key.Adapter))
	return float64(hash.Sum32()) / math.MaxUint32
}

// Place returns the least utilized engine that holds the weights, and Ready. If there is
// none, it returns an empty id and adds a pending load, unless one exists already or no
// engine can take one.
func (table *Table) Place(now time.Duration, query Query) (core.UpstreamID, PlacementStatus) {
	if id, status := table.Find(now, query); status != NoEngine {
		return id, status
	}
	query.Revision = max(query.Revision, table.revisions[query.Weights])
	chosen, full := table.cheapestEngine(now, query)
	switch {
	case chosen == nil && full:
		return "", QueueFull
	case chosen == nil:
		return "", NoEngine
	}
	chosen.addPendingLoad(pendingLoad{weights: query.Weights, revision: query.Revision, lastRequested: now, continues: query.Origin.Continues})
	return "", LoadPending
}

// Find returns the least utilized engine that holds the weights, and Ready. If there is
// none, it returns LoadPending if a load is pending or in progress, and NoEngine otherwise.
func (table *Table) Find(now time.Duration, query Query) (core.UpstreamID, PlacementStatus) {
	query.Revision = max(query.Revision, table.revisions[query.Weights])
	var ready *engine
	pending := false
	for _, engine := range table.sortedEngines() {
		if !table.eligible(engine, query) {
			continue
		}
		if engine.holds(query.Weights, query.Revision) && (ready == nil || engine.utilization() < ready.utilization()) {
			ready = engine
		}
		pending = pending || engine.loadPending(query.Weights, query.Revision)
		if index := engine.pendingLoadIndex(query.Weights, query.Revision); index >= 0 {
			engine.pendingLoads[index].lastRequested = now
		}
	}
	switch {
	case ready != nil:
		ready.copies[query.Weights].lastRequested = now
		return ready.id, Ready
	case pending:
		return "", LoadPending
	default:
		return "", NoEngine
	}
}

// eligible reports whether the engine may answer the query: it belongs to the service, is
// synced, is not leaving, has the software, and is not excluded.
func (table *Table) eligible(engine *engine, query Query) bool {
	return engine.service == query.Service && engine.synced && !engine.leaving && query.Origin.Allows(engine.software) && !slices.Contains(query.Exclude, engine.id)
}

// cheapestEngine returns the engine with the lowest placement cost for the weights, or
// nil. full reports whether any eligible engine had too many pending loads.
func (table *Table) cheapestEngine(now time.Duration, query Query) (chosen *engine, full bool) {
	var lowestCost float64
	for _, engine := range table.sortedEngines() {
		if !table.eligible(engine, query) || !engine.supportsModel(query.Weights.Model) {
			continue
		}
		cost, ok := table.placementCost(now, engine, query)
		full = full || !ok
		if ok && (chosen == nil || cost < lowestCost) {
			chosen, lowestCost = engine, cost
		}
	}
	return chosen, full
}

func (engine *engine) supportsModel(model core.ModelID) bool {
	return slices.ContainsFunc(engine.spec.Models, func(base core.BaseModel) bool { return base.Model == model })
}

const (
	// maxPendingLoads bounds the pending loads of one engine for new requests.
	maxPendingLoads = 4
	// maxContinuedLoads is the number of pending loads of one engine beyond maxPendingLoads
	// for streams that have begun. New requests go to any engine, and a stream only to those
	// with its software: after some of them have ended, their streams come all at once to the
	// few that are left.
	maxContinuedLoads = 4
)

// addPendingLoad adds a pending load. That of a stream that has begun comes before those of
// new requests.
func (engine *engine) addPendingLoad(added pendingLoad) {
	position := len(engine.pendingLoads)
	if added.continues {
		position = 0
		for position < len(engine.pendingLoads) && engine.pendingLoads[position].continues {
			position++
		}
	}
	engine.pendingLoads = slices.Insert(engine.pendingLoads, position, added)
}

// placementCost returns the dimensionless cost of loading the weights on the engine. It
// returns false if the engine has too many pending loads.
func (table *Table) placementCost(now time.Duration, engine *engine, query Query) (float64, bool) {
	key, limit := query.Weights, maxPendingLoads
	if query.Origin.Continues {
		limit += maxContinuedLoads
	}
	if len(engine.pendingLoads) >= limit {
		return 0, false
	}
	cost := engine.utilization() + overloadCost*max(0, engine.utilization()-overloadThreshold) + pendingLoadCost*float64(len(engine.pendingLoads)+engine.loadingAdapters())
	if base := engine.copies[core.WeightKey{Model: key.Model}]; base == nil || base.phase != resident {
		cost += missingBaseCost
	}
	if key.Adapter == "" {
		return cost, true
	}
	if engine.isWarm(key) {
		cost -= warmBonus
	}
	cost -= affinityBonus * affinity(engine.id, key)
	if engine.fits(key) {
		return cost, true
	}
	_, victimDemand, ok := table.evictionCandidate(now, engine)
	if !ok {
		return cost + allInUseCost, true
	}
	return cost + evictionCost + demandCost*victimDemand, true
}

// minIdleTime is the time after its last known request at which a copy may be evicted.
// Usage reports arrive every 80 ms, and a caller that got an engine from Place sends its
// request at once.
const minIdleTime = 150 * time.Millisecond

// evictionCandidate returns the idle adapter with the lowest demand per copy, and that
// demand. It returns false if no adapter is idle.
func (table *Table) evictionCandidate(now time.Duration, engine *engine) (core.WeightKey, float64, bool) {
	var chosen core.WeightKey
	var lowestDemand float64
	found := false
	for key, held := range engine.copies {
		if key.Adapter == "" || held.phase != resident || engine.hasPendingLoad(key) || held.running > 0 || now-held.lastRequested < minIdleTime {
			continue
		}
		keyDemand := table.demand.count(now, key) / float64(table.holderCount(key))
		if !found || keyDemand < lowestDemand || keyDemand == lowestDemand && compareKeys(key, chosen) < 0 {
			chosen, lowestDemand, found = key, keyDemand, true
		}
	}
	return chosen, lowestDemand, found
}

// holderCount returns the number of engines with a copy of the weights in any phase, and
// at least 1.
func (table *Table) holderCount(key core.WeightKey) int {
	count := 0
	for _, engine := range table.engines {
		if engine.copies[key] != nil {
			count++
		}
	}
	return max(1, count)
}

func (engine *engine) hasPendingLoad(key core.WeightKey) bool {
	return slices.ContainsFunc(engine.pendingLoads, func(pending pendingLoad) bool { return pending.weights == key })
}
