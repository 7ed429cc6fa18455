package residency

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// phase is the state of one copy of weights on an engine.
type phase uint8

const (
	// loading means that the engine accepted a load and has not finished it.
	loading phase = iota + 1
	// resident means that the engine serves requests for the weights.
	resident
	// unloading means that the engine accepted an unload, which may wait for requests in
	// flight.
	unloading
)

// weightCopy is one copy of weights on an engine, in any phase.
type weightCopy struct {
	phase    phase
	revision core.Revision
	// phaseStart is the time at which the load or the unload was accepted, and nextCheck
	// the time of the next status check.
	phaseStart, nextCheck time.Duration
	// lastRequested is the time of the last known request for the copy.
	lastRequested time.Duration
	// running is the number of requests in flight, as last reported.
	running int
	// replacesOlder is set while an older revision of the adapter is still in memory.
	replacesOlder bool
}

// pendingLoad is a load that was decided but not finished. It stays in the list after the
// load was ordered, until the engine holds the weights.
type pendingLoad struct {
	weights  core.WeightKey
	revision core.Revision
	// lastRequested is the time of the last query for the weights.
	lastRequested time.Duration
	// continues is set if the load is for a stream that has begun.
	continues bool
	// neverExpires is set for the load of a new revision, which is needed even if no
	// request waits for it.
	neverExpires bool
}

// pendingLoadLifetime is the time after the last query at which a pending load expires.
// Requests wait for a load at most 1.5 s. A load that no request waits for would evict
// adapters that are in use.
const pendingLoadLifetime = 1200 * time.Millisecond

// maxAdapterLoads is the maximum number of adapters that one engine loads at once.
const maxAdapterLoads = 4

// maxRecentAdapters bounds the list of recently unloaded adapters of an engine. Engines
// keep about six times as many adapters in host memory as they have adapter slots.
const maxRecentAdapters = 128

// engine is the state of one engine as known to the owner.
type engine struct {
	id      core.UpstreamID
	born    int64
	address string
	spec    core.EngineSpec
	service core.ServiceID
	// software is the version of the engine's software.
	software core.SoftwareVersion
	leaving  bool
	slots    int
	running  int

	// synced is false until a report has been processed. reportAfter is the earliest time
	// at which a report is requested.
	synced      bool
	reportAfter time.Duration
	// pausedUntil is the time before which no order is sent, set after a conflict.
	pausedUntil    time.Duration
	conflicts      int
	acceptedOrders uint64
	// orderPending is set while an order awaits its response.
	orderPending bool
	copies       map[core.WeightKey]*weightCopy
	pendingLoads []pendingLoad
	// recentAdapters lists unloaded adapters, the most recently unloaded last.
	recentAdapters []core.WeightKey
}

// newEngine returns an unsynced engine without copies, with its id and start time.
func newEngine(instance core.Instance) *engine {
	return &engine{id: instance.Upstream, born: instance.Born, copies: make(map[core.WeightKey]*weightCopy)}
}

// holds reports whether the weights are resident at the revision or a newer one.
func (engine *engine) holds(key core.WeightKey, revision core.Revision) bool {
	held := engine.copies[key]
	return held != nil && held.phase == resident && held.revision >= revision
}

// loadPending reports whether a load of the weights, at the revision or a newer one, is
// in progress or pending.
func (engine *engine) loadPending(key core.WeightKey, revision core.Revision) bool {
	if held := engine.copies[key]; held != nil && held.phase == loading && held.revision >= revision {
		return true
	}
	return engine.pendingLoadIndex(key, revision) >= 0
}

// pendingLoadIndex returns the index of the pending load of the weights at the revision
// or a newer one, or -1 if there is none.
func (engine *engine) pendingLoadIndex(key core.WeightKey, revision core.Revision) int {
	return slices.IndexFunc(engine.pendingLoads, func(pending pendingLoad) bool {
		return pending.weights == key && pending.revision >= revision
	})
}

// usedAdapterSlots returns the number of adapter slots in use, including adapters that
// are loading or unloading. An adapter whose new revision replaces an old one takes two.
func (engine *engine) usedAdapterSlots() int {
	count := 0
	for key, held := range engine.copies {
		if key.Adapter == "" {
			continue
		}
		count++
		if held.replacesOlder {
			count++
		}
	}
	return count
}

// usedMemory returns the memory that all copies on the engine take.
func (engine *engine) usedMemory() core.Bytes {
	var sum core.Bytes
	for key, held := range engine.copies {
		sum += engine.weightSize(key)
		if held.replacesOlder {
			sum += engine.weightSize(key)
		}
	}
	return sum
}

// weightSize returns the memory that the weights take, and zero for a base model that the
// engine does not support.
func (engine *engine) weightSize(key core.WeightKey) core.Bytes {
	for _, model := range engine.spec.Models {
		if model.Model != key.Model {
			continue
		}
		if key.Adapter == "" {
			return model.Size
		}
		return model.AdapterSize
	}
	return 0
}

// fits reports whether the weights can be loaded without unloading others.
func (engine *engine) fits(key core.WeightKey) bool {
	if key.Adapter != "" && engine.usedAdapterSlots() >= engine.spec.Places {
		return false
	}
	return engine.usedMemory()+engine.weightSize(key) <= engine.spec.Memory
}

// isUnloading reports whether an unload is in progress. It may wait for requests in
// flight, and the engine accepts no other order until it ends.
func (engine *engine) isUnloading() bool {
	for _, held := range engine.copies {
		if held.phase == unloading {
			return true
		}
	}
	return false
}

// loadingAdapters returns the number of adapters that are loading.
func (engine *engine) loadingAdapters() int {
	count := 0
	for key, held := range engine.copies {
		if held.phase == loading && key.Adapter != "" {
			count++
		}
	}
	return count
}

// isWarm reports whether the engine unloaded the adapter recently and so can load it
// from host memory.
func (engine *engine) isWarm(key core.WeightKey) bool {
	return slices.Contains(engine.recentAdapters, key)
}

// recordUnloaded appends the adapter to the recently unloaded adapters.
func (engine *engine) recordUnloaded(key core.WeightKey) {
	engine.recentAdapters = slices.DeleteFunc(engine.recentAdapters, func(other core.WeightKey) bool { return other == key })
	engine.recentAdapters = append(engine.recentAdapters, key)
	if len(engine.recentAdapters) > maxRecentAdapters {
		engine.recentAdapters = slices.Delete(engine.recentAdapters, 0, len(engine.recentAdapters)-maxRecentAdapters)
	}
}

// utilization returns the ratio of running requests to request slots.
func (engine *engine) utilization() float64 {
	return float64(engine.running) / float64(max(1, engine.slots))
}
