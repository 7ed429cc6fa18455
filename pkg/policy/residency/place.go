package residency

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Placement is the answer to a request for an engine.
type Placement uint8

// The answers.
const (
	// Ready names an engine that holds the weights.
	Ready Placement = iota + 1
	// Coming means that a load was decided or is under way.
	Coming
	// Full means that too many loads wait for the engines of the zone.
	Full
	// Nowhere means that the zone has no engine for the weights.
	Nowhere
)

// Query asks for an engine that holds weights.
type Query struct {
	Service  core.ServiceID
	Weights  core.WeightKey
	Revision core.Revision
	// Exclude lists engines that the caller has found full or failing.
	Exclude []core.UpstreamID
}

// The weights of the cost of a placement. A warm load saves some 220 ms of 250; a load
// that waits behind others, or that pushes an adapter out, costs the more the more there
// are.
const (
	// crowdCost lets an adapter go elsewhere than to its home when more than crowdedFrom of
	// the home's slots are taken.
	crowdCost   = 4.0
	crowdedFrom = 0.5
	warmBonus   = 1.0
	wantCost    = 0.1
	evictCost   = 0.1
	demandCost  = 0.01
	// busyCost is that of an engine all of whose adapters are in use: the load waits.
	busyCost    = 0.5
	missingBase = 4.0
	// homeBonus lets the same adapter go to the same engine while others are as good. A
	// load from the store costs ten times as much as one of a warm adapter.
	homeBonus = 1.0
)

// affinity is a number from 0 to 1 that is the same for an engine and an adapter at every
// owner.
func affinity(id core.UpstreamID, key core.WeightKey) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	hash.Write([]byte(key.Model))
	hash.Write([]byte(key.Adapter))
	return float64(hash.Sum32()) / math.MaxUint32
}

// Place returns an engine that holds the weights. If there is none, it decides on a load.
func (table *Table) Place(now time.Duration, query Query) (core.UpstreamID, Placement) {
	query.Revision = max(query.Revision, table.revisions[query.Weights])
	var ready *engine
	comes := false
	for _, engine := range table.sorted() {
		if !table.eligible(engine, query) {
			continue
		}
		if engine.holds(query.Weights, query.Revision) && (ready == nil || engine.load() < ready.load()) {
			ready = engine
		}
		comes = comes || engine.comes(query.Weights, query.Revision)
		if at := engine.wantOf(query.Weights, query.Revision); at >= 0 {
			engine.wants[at].asked = now
		}
	}
	switch {
	case ready != nil:
		ready.copies[query.Weights].touched = now
		return ready.id, Ready
	case comes:
		return "", Coming
	}
	chosen, full := table.choose(now, query)
	switch {
	case chosen == nil && full:
		return "", Full
	case chosen == nil:
		return "", Nowhere
	}
	chosen.wants = append(chosen.wants, want{weights: query.Weights, revision: query.Revision, asked: now})
	return "", Coming
}

func (table *Table) eligible(engine *engine, query Query) bool {
	return engine.service == query.Service && engine.synced && !engine.leaving && !slices.Contains(query.Exclude, engine.id)
}

// choose returns the engine on which the weights cost least. If there is none, it reports
// whether some have too many loads before them.
func (table *Table) choose(now time.Duration, query Query) (chosen *engine, full bool) {
	var least float64
	for _, engine := range table.sorted() {
		if !table.eligible(engine, query) || !engine.serves(query.Weights.Model) {
			continue
		}
		cost, ok := table.cost(now, engine, query.Weights)
		full = full || !ok
		if ok && (chosen == nil || cost < least) {
			chosen, least = engine, cost
		}
	}
	return chosen, full
}

func (engine *engine) serves(model core.ModelID) bool {
	return slices.ContainsFunc(engine.spec.Models, func(base core.BaseModel) bool { return base.Model == model })
}

// maxWants bounds the loads that wait for one engine.
const maxWants = 4

func (table *Table) cost(now time.Duration, engine *engine, key core.WeightKey) (float64, bool) {
	if len(engine.wants) >= maxWants {
		return 0, false
	}
	cost := engine.load() + crowdCost*max(0, engine.load()-crowdedFrom) + wantCost*float64(len(engine.wants)+engine.transit())
	if base := engine.copies[core.WeightKey{Model: key.Model}]; base == nil || base.phase != resident {
		cost += missingBase
	}
	if key.Adapter == "" {
		return cost, true
	}
	if engine.warm(key) {
		cost -= warmBonus
	}
	cost -= homeBonus * affinity(engine.id, key)
	if engine.fits(key) {
		return cost, true
	}
	_, lost, ok := table.victim(now, engine)
	if !ok {
		return cost + busyCost, true
	}
	return cost + evictCost + demandCost*lost, true
}

// settled is the time after which a copy that nobody is known to have asked for may be
// unloaded. Reports of use come every 80 ms, and who asked for the copy sends at once.
const settled = 150 * time.Millisecond

// victim returns the idle adapter that is missed least, and its demand.
func (table *Table) victim(now time.Duration, engine *engine) (core.WeightKey, float64, bool) {
	var chosen core.WeightKey
	var least float64
	found := false
	for key, held := range engine.copies {
		if key.Adapter == "" || held.phase != resident || engine.wanted(key) || held.running > 0 || now-held.touched < settled {
			continue
		}
		demand := table.demand.of(now, key) / float64(table.copiesOf(key))
		if !found || demand < least || demand == least && compareKeys(key, chosen) < 0 {
			chosen, least, found = key, demand, true
		}
	}
	return chosen, least, found
}

// copiesOf returns the number of engines that hold weights.
func (table *Table) copiesOf(key core.WeightKey) int {
	count := 0
	for _, engine := range table.engines {
		if engine.copies[key] != nil {
			count++
		}
	}
	return max(1, count)
}

func (engine *engine) wanted(key core.WeightKey) bool {
	return slices.ContainsFunc(engine.wants, func(want want) bool { return want.weights == key })
}
