package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Times of the fake engine. A step takes emptyStep with an empty batch and
// fullStep with a full one, which is the design's bound between tokens; prefill is
// added for each call that enters the batch.
const (
	emptyStep = 20 * time.Millisecond
	fullStep  = 65 * time.Millisecond
	prefill   = 30 * time.Millisecond
)

// engine is a fake of a model engine with continuous batching.
type engine struct {
	world       *world
	id          core.UpstreamID
	incarnation int
	up          bool
	slots       int
	batch       int
	resident    map[core.AdapterVersion]int
	loading     int
	queued      []*call
	running     []*call
	stepping    bool
	// filled sums the calls of every step times its length, and busy the lengths.
	filled, busy float64
}

func (engine *engine) name() core.Incarnation {
	return core.Incarnation(fmt.Sprintf("%s.%d", engine.id, engine.incarnation))
}

// load takes an order to load an adapter and calls answer with its result.
func (engine *engine) load(adapter core.AdapterVersion, answer func(loaded bool)) {
	if !engine.up || len(engine.resident)+engine.loading >= engine.slots {
		answer(false)
		return
	}
	engine.loading++
	incarnation := engine.incarnation
	engine.world.store.load(func() {
		same := engine.up && engine.incarnation == incarnation
		if same {
			engine.loading--
		}
		fails := engine.world.random.Float64() < engine.world.setup.Failures
		if same && !fails {
			engine.resident[adapter] = 0
		}
		answer(same && !fails)
	})
}

// evict drops an adapter. Evicting one that runs is a fault of the policy.
func (engine *engine) evict(adapter core.AdapterVersion) bool {
	if engine.resident[adapter] > 0 {
		engine.world.result.Violations++
	}
	delete(engine.resident, adapter)
	return engine.up
}

// run takes a call. A call for an adapter that is not resident is a fault of the
// policy.
func (engine *engine) run(call *call) bool {
	if !engine.up {
		return false
	}
	if _, resident := engine.resident[call.adapter]; !resident {
		engine.world.result.Violations++
		return false
	}
	engine.resident[call.adapter]++
	engine.queued = append(engine.queued, call)
	if !engine.stepping {
		engine.stepping = true
		engine.step()
	}
	return true
}

// step lets waiting calls enter the batch and computes one token for each.
func (engine *engine) step() {
	length := time.Duration(0)
	for len(engine.queued) > 0 && len(engine.running) < engine.batch {
		engine.running = append(engine.running, engine.queued[0])
		engine.queued = engine.queued[1:]
		length += prefill
	}
	if len(engine.running) == 0 {
		engine.stepping = false
		return
	}
	fill := float64(len(engine.running)) / float64(engine.batch)
	length += emptyStep + time.Duration(fill*float64(fullStep-emptyStep))
	engine.filled += fill * length.Seconds()
	engine.busy += length.Seconds()
	incarnation := engine.incarnation
	engine.world.clock.after(length, func() {
		if engine.up && engine.incarnation == incarnation {
			engine.finish()
			engine.step()
		}
	})
}

// finish counts the tokens of a step and ends the calls that are complete.
func (engine *engine) finish() {
	kept := engine.running[:0]
	var ended []*call
	for _, call := range engine.running {
		call.token(engine.world.clock.now)
		if call.left > 0 {
			kept = append(kept, call)
			continue
		}
		engine.resident[call.adapter]--
		ended = append(ended, call)
	}
	engine.running = kept
	for _, call := range ended {
		engine.world.ended(call)
	}
}

// crash loses everything, and restarts the engine empty after its down time.
func (engine *engine) crash(down time.Duration) {
	lost := append(engine.running, engine.queued...)
	former := engine.name()
	engine.up, engine.stepping = false, false
	engine.running, engine.queued, engine.loading = nil, nil, 0
	engine.resident = make(map[core.AdapterVersion]int)
	engine.incarnation++
	engine.world.lost(engine, former, lost)
	engine.world.clock.after(down, func() {
		engine.up = true
		engine.announce()
	})
}

// announceEvery is the interval of announcements, and reportLag the age of the
// load report in them.
const (
	announceEvery = time.Second
	reportLag     = 150 * time.Millisecond
)

// beat announces the engine once a second, with a report that lags.
func (engine *engine) beat() {
	if engine.up {
		engine.announce()
	}
	engine.world.clock.after(announceEvery, engine.beat)
}

func (engine *engine) announce() {
	announcement := core.Announcement{
		Upstream: engine.id, Incarnation: engine.name(), Address: "127.0.0.1:1", Group: engine.world.group,
		Slots: engine.slots, BatchSize: engine.batch, Queued: len(engine.queued), Running: len(engine.running),
		ReportAge: reportLag,
	}
	for adapter, running := range engine.resident {
		announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapter, Running: running})
	}
	sortResident(announcement.Resident)
	engine.world.clock.after(reportLag, func() {
		if engine.up && engine.name() == announcement.Incarnation {
			engine.world.announce(announcement)
		}
	})
}
