package residency

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// phase is the state of a copy of weights on an engine.
type phase uint8

const (
	// loading means that a load was accepted and has not ended.
	loading phase = iota + 1
	// resident means that the engine serves requests for the weights.
	resident
	// unloading means that an unload was accepted and may wait for its runs.
	unloading
)

// loaded is one copy of weights on an engine.
type loaded struct {
	phase    phase
	revision core.Revision
	// since is the time of the load, and check that of the next question about it.
	since, check time.Duration
	// touched is the last time at which the copy is known to have been asked for.
	touched time.Duration
	// running is the number of requests in flight, as last reported.
	running int
	// replaces is set while an older revision of the adapter is still in memory.
	replaces bool
}

// want is a load that was decided and not ordered yet.
type want struct {
	weights  core.WeightKey
	revision core.Revision
	// asked is the last time at which somebody waited for it.
	asked time.Duration
	// kept is set for a load that nobody needs to wait for: a new revision.
	kept bool
}

// wantLife is the time for which a load is wanted after it was last asked for. Those who
// wait for one give up after 1.5 s at most; a load for nobody pushes out what is in use.
const wantLife = 1200 * time.Millisecond

// maxTransit is the number of adapters that may be on their way to one engine.
const maxTransit = 4

// maxRecent bounds the adapters that an engine is known to have held. Engines keep some
// six times their places in host memory.
const maxRecent = 128

// engine is what the owner knows of one engine.
type engine struct {
	id      core.UpstreamID
	born    int64
	address string
	spec    core.EngineSpec
	service core.ServiceID
	leaving bool
	slots   int
	running int

	// synced is false until a report was taken in; ask is the earliest time for one.
	synced bool
	ask    time.Duration
	// pause is the time before which no order is sent, after a conflict.
	pause     time.Duration
	conflicts int
	accepted  uint64
	// ordering is set while an order is on its way.
	ordering bool
	copies   map[core.WeightKey]*loaded
	wants    []want
	// recent lists the adapters that were unloaded, the latest last.
	recent []core.WeightKey
}

// newEngine returns an engine of which only the name is known.
func newEngine(instance core.Instance) *engine {
	return &engine{id: instance.Upstream, born: instance.Born, copies: make(map[core.WeightKey]*loaded)}
}

// holds reports whether the engine serves requests for the weights at a revision.
func (engine *engine) holds(key core.WeightKey, revision core.Revision) bool {
	held := engine.copies[key]
	return held != nil && held.phase == resident && held.revision >= revision
}

// comes reports whether the weights are on their way or wanted.
func (engine *engine) comes(key core.WeightKey, revision core.Revision) bool {
	if held := engine.copies[key]; held != nil && held.phase == loading && held.revision >= revision {
		return true
	}
	return engine.wantOf(key, revision) >= 0
}

// wantOf returns the index of a wanted load, and -1 if there is none.
func (engine *engine) wantOf(key core.WeightKey, revision core.Revision) int {
	return slices.IndexFunc(engine.wants, func(want want) bool {
		return want.weights == key && want.revision >= revision
	})
}

// taken counts the places in use: adapters in memory and on their way, and twice those
// of which a new revision replaces an old one.
func (engine *engine) taken() int {
	count := 0
	for key, held := range engine.copies {
		if key.Adapter == "" {
			continue
		}
		count++
		if held.replaces {
			count++
		}
	}
	return count
}

// memory returns what the copies take, and what weights would take.
func (engine *engine) memory() core.Bytes {
	var sum core.Bytes
	for key, held := range engine.copies {
		sum += engine.size(key)
		if held.replaces {
			sum += engine.size(key)
		}
	}
	return sum
}

func (engine *engine) size(key core.WeightKey) core.Bytes {
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

// fits reports whether the weights can be loaded without an unload.
func (engine *engine) fits(key core.WeightKey) bool {
	if key.Adapter != "" && engine.taken() >= engine.spec.Places {
		return false
	}
	return engine.memory()+engine.size(key) <= engine.spec.Memory
}

// unloads reports whether an unload waits for its runs; the engine takes no other order.
func (engine *engine) unloads() bool {
	for _, held := range engine.copies {
		if held.phase == unloading {
			return true
		}
	}
	return false
}

// transit counts the adapters that are on their way.
func (engine *engine) transit() int {
	count := 0
	for key, held := range engine.copies {
		if held.phase == loading && key.Adapter != "" {
			count++
		}
	}
	return count
}

// warm reports whether the engine held the adapter recently, so that a load is short.
func (engine *engine) warm(key core.WeightKey) bool {
	return slices.Contains(engine.recent, key)
}

// retire notes that an adapter was unloaded, and is warm for some time.
func (engine *engine) retire(key core.WeightKey) {
	engine.recent = slices.DeleteFunc(engine.recent, func(other core.WeightKey) bool { return other == key })
	engine.recent = append(engine.recent, key)
	if len(engine.recent) > maxRecent {
		engine.recent = slices.Delete(engine.recent, 0, len(engine.recent)-maxRecent)
	}
}

// load is the share of the engine's slots that are in use, with the loads to come.
func (engine *engine) load() float64 {
	return float64(engine.running) / float64(max(1, engine.slots))
}
