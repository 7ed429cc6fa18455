package policy

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Times of the simulated engine. The duration of a step grows linearly from
// emptyStepTime with an empty batch to fullStepTime with a full one, which is the
// design's limit for the time between tokens. prefillTime is added for each call that
// enters the batch.
const (
	emptyStepTime = 20 * time.Millisecond
	fullStepTime  = 65 * time.Millisecond
	prefillTime   = 30 * time.Millisecond
)

// engine simulates a model engine with continuous batching.
type engine struct {
	sim         *simulation
	id          core.UpstreamID
	incarnation int
	up          bool
	slots       int
	batch       int
	// resident maps each loaded adapter to its number of queued and running calls.
	resident map[core.AdapterVersion]int
	loading  int
	queued   []*call
	running  []*call
	stepping bool
	// busySeconds is the total duration of all steps, and fillSeconds the same sum with
	// each step weighted by its batch fill.
	fillSeconds, busySeconds float64
}

// incarnationID returns an ID that changes with every restart.
func (engine *engine) incarnationID() core.Incarnation {
	return core.Incarnation(fmt.Sprintf("%s.%d", engine.id, engine.incarnation))
}

// load starts to load an adapter and calls answer with the outcome. It fails at once if
// the engine is down or has no free slot, and later if the engine restarted meanwhile or
// the load fails at random.
func (engine *engine) load(adapter core.AdapterVersion, answer func(loaded bool)) {
	if !engine.up || len(engine.resident)+engine.loading >= engine.slots {
		answer(false)
		return
	}
	engine.loading++
	incarnation := engine.incarnation
	engine.sim.store.load(func() {
		same := engine.up && engine.incarnation == incarnation
		if same {
			engine.loading--
		}
		fails := engine.sim.random.Float64() < engine.sim.setup.Failures
		if same && !fails {
			engine.resident[adapter] = 0
		}
		answer(same && !fails)
	})
}

// evict removes an adapter and returns whether the engine is up. Evicting an adapter
// with unfinished calls counts as a violation by the policy.
func (engine *engine) evict(adapter core.AdapterVersion) bool {
	if engine.resident[adapter] > 0 {
		engine.sim.result.Violations++
	}
	delete(engine.resident, adapter)
	return engine.up
}

// run queues a call and returns whether it was accepted. A call for an adapter that is
// not resident counts as a violation by the policy.
func (engine *engine) run(call *call) bool {
	if !engine.up {
		return false
	}
	if _, resident := engine.resident[call.adapter]; !resident {
		engine.sim.result.Violations++
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

// step moves queued calls into the batch, up to its size, and schedules the end of a
// step that generates one token for each call in the batch.
func (engine *engine) step() {
	length := time.Duration(0)
	for len(engine.queued) > 0 && len(engine.running) < engine.batch {
		engine.running = append(engine.running, engine.queued[0])
		engine.queued = engine.queued[1:]
		length += prefillTime
	}
	if len(engine.running) == 0 {
		engine.stepping = false
		return
	}
	fill := float64(len(engine.running)) / float64(engine.batch)
	length += emptyStepTime + time.Duration(fill*float64(fullStepTime-emptyStepTime))
	engine.fillSeconds += fill * length.Seconds()
	engine.busySeconds += length.Seconds()
	incarnation := engine.incarnation
	engine.sim.clock.after(length, func() {
		if engine.up && engine.incarnation == incarnation {
			engine.finish()
			engine.step()
		}
	})
}

// finish records the tokens of a step and ends the calls that are complete.
func (engine *engine) finish() {
	kept := engine.running[:0]
	var ended []*call
	for _, call := range engine.running {
		call.addToken(engine.sim.clock.now)
		if call.remainingTokens > 0 {
			kept = append(kept, call)
			continue
		}
		engine.resident[call.adapter]--
		ended = append(ended, call)
	}
	engine.running = kept
	for _, call := range ended {
		engine.sim.callEnded(call)
	}
}

// crash drops all calls and adapters, and restarts the engine empty after the downtime.
func (engine *engine) crash(downtime time.Duration) {
	lost := append(engine.running, engine.queued...)
	previous := engine.incarnationID()
	engine.up, engine.stepping = false, false
	engine.running, engine.queued, engine.loading = nil, nil, 0
	engine.resident = make(map[core.AdapterVersion]int)
	engine.incarnation++
	engine.sim.engineLost(engine, previous, lost)
	engine.sim.clock.after(downtime, func() {
		engine.up = true
		engine.announce()
	})
}

// announceInterval is the interval between announcements, and reportDelay the age of
// their load report on arrival.
const (
	announceInterval = time.Second
	reportDelay      = 150 * time.Millisecond
)

// announcePeriodically announces the engine at every announceInterval while it is up.
func (engine *engine) announcePeriodically() {
	if engine.up {
		engine.announce()
	}
	engine.sim.clock.after(announceInterval, engine.announcePeriodically)
}

// announce takes a load report and delivers it to the policy after reportDelay, unless
// the engine went down or restarted meanwhile.
func (engine *engine) announce() {
	announcement := core.Announcement{
		Upstream: engine.id, Incarnation: engine.incarnationID(), Address: "127.0.0.1:1", Group: engine.sim.group,
		Slots: engine.slots, BatchSize: engine.batch, Queued: len(engine.queued), Running: len(engine.running),
		ReportAge: reportDelay,
	}
	for adapter, running := range engine.resident {
		announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapter, Running: running})
	}
	sortResidents(announcement.Resident)
	engine.sim.clock.after(reportDelay, func() {
		if engine.up && engine.incarnationID() == announcement.Incarnation {
			engine.sim.announce(announcement)
		}
	})
}
