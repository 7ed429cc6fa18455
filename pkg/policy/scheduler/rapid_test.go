package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// TestInvariants guards against an eviction under a running call, a send to an
// engine that never confirmed the adapter or that leaves, a call that is lost or
// answered twice, a later call of equal priority that is served while an earlier
// one passes its deadline, and a load beyond the budget. Engines are modelled
// apart from the scheduler, and announcements are late.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			model.step()
		}
		model.finish()
	})
}

type engine struct {
	incarnation int
	leaving     bool
	seen        time.Time
	resident    map[core.AdapterVersion]bool
	// newest is the last order carried out for an adapter version; the engine
	// refuses orders that were made before, as fencing tokens make it do.
	newest map[core.AdapterVersion]time.Time
	// surprised is set once the engine carried out an order after its time limit,
	// when the owner may have given the slot away. It then refuses a load for want
	// of a slot.
	surprised bool
	// reports are snapshots that will be announced late.
	reports []core.Announcement
	taken   []time.Time
}

type modelCall struct {
	scheduler.Call
	order    int
	engine   core.UpstreamID
	running  bool
	incarnat int
	finished bool
}

type model struct {
	t         *rapid.T
	now       time.Time
	share     budget.Share
	scheduler *scheduler.Scheduler
	engines   map[core.UpstreamID]*engine
	names     []core.UpstreamID
	calls     map[core.AttemptID]*modelCall
	order     []core.AttemptID
	open      []order
	starts    []time.Time
}

// order is a load or an eviction on its way to an engine.
type order struct {
	scheduler.Action
	at time.Time
}

func newModel(t *rapid.T) *model {
	share := budget.Share{PerSecond: 5, Concurrent: 2, Transits: 25}
	weight := rapid.Float64Range(0, 1).Draw(t, "weight")
	model := &model{
		t: t, now: start, share: share, engines: map[core.UpstreamID]*engine{}, calls: map[core.AttemptID]*modelCall{},
		scheduler: scheduler.New(scheduler.Config{Batching: batching.Setting{StallWeight: weight}, Budget: share, QueueLimit: 20}, start),
	}
	for i := range 3 {
		name := core.UpstreamID(fmt.Sprintf("e%d", i))
		model.names = append(model.names, name)
		model.engines[name] = &engine{seen: start, resident: map[core.AdapterVersion]bool{}, newest: map[core.AdapterVersion]time.Time{}}
	}
	return model
}

func (model *model) step() {
	model.now = model.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(model.t, "pass")) * time.Millisecond)
	name := rapid.SampledFrom(model.names).Draw(model.t, "engine")
	switch rapid.IntRange(0, 9).Draw(model.t, "kind") {
	case 0, 1, 2:
		model.call()
	case 3, 4:
		model.report(name)
	case 5, 6:
		model.answer()
	case 7:
		model.end()
	case 8:
		model.disturb(name)
	case 9:
		model.cancel()
	}
	model.scheduler.Tick(model.now)
	model.take()
}

func (model *model) call() {
	call := &modelCall{order: len(model.order), Call: scheduler.Call{
		Attempt:  core.AttemptID(fmt.Sprintf("c%d", len(model.order))),
		Customer: core.CustomerID(rapid.SampledFrom([]string{"x", "y"}).Draw(model.t, "customer")),
		Adapter:  core.AdapterVersion{Adapter: core.AdapterID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(model.t, "adapter")), Version: "1"},
		Priority: core.Priority(rapid.IntRange(0, 1).Draw(model.t, "priority")),
		Deadline: model.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(model.t, "deadline")) * time.Millisecond),
		Suspect:  rapid.IntRange(0, 9).Draw(model.t, "suspect") == 0,
	}}
	model.calls[call.Attempt] = call
	model.order = append(model.order, call.Attempt)
	model.scheduler.Enqueue(call.Call, model.now)
}

// report takes a snapshot of an engine and announces the oldest one not sent yet.
func (model *model) report(name core.UpstreamID) {
	engine := model.engines[name]
	snapshot := core.Announcement{
		Upstream: name, Incarnation: core.Incarnation(fmt.Sprint(engine.incarnation)), Slots: 2, BatchSize: 2, Leaving: engine.leaving,
	}
	for adapter := range engine.resident {
		running := model.running(name, adapter)
		snapshot.Running += running
		snapshot.Resident = append(snapshot.Resident, core.Resident{AdapterVersion: adapter, Running: running})
	}
	engine.reports = append(engine.reports, snapshot)
	engine.taken = append(engine.taken, model.now)
	if len(engine.reports) > rapid.IntRange(0, 1).Draw(model.t, "lag") {
		oldest := engine.reports[0]
		oldest.ReportAge = model.now.Sub(engine.taken[0])
		engine.reports, engine.taken = engine.reports[1:], engine.taken[1:]
		engine.seen = model.now
		model.t.Logf("%v announce %v age %v: %v", model.now.Sub(start), name, oldest.ReportAge, oldest.Resident)
		model.scheduler.Announce(oldest, model.now)
	}
}

func (model *model) running(name core.UpstreamID, adapter core.AdapterVersion) int {
	count := 0
	for _, call := range model.calls {
		if call.running && call.engine == name && call.Adapter == adapter && call.incarnat == model.engines[name].incarnation {
			count++
		}
	}
	return count
}

// answer carries out one open load or eviction, or leaves it without an answer.
func (model *model) answer() {
	if len(model.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(model.open)-1).Draw(model.t, "order")
	action := model.open[at]
	model.open = append(model.open[:at], model.open[at+1:]...)
	engine := model.engines[action.Upstream]
	model.t.Logf("%v answer %v %v %v", model.now.Sub(start), action.Kind, action.Adapter, action.Upstream)
	same := core.Incarnation(fmt.Sprint(engine.incarnation)) == action.Incarnation
	fails := rapid.IntRange(0, 4).Draw(model.t, "fails") == 0 || engine.newest[action.Adapter].After(action.at)
	if same && !fails {
		engine.newest[action.Adapter] = action.at
		engine.surprised = engine.surprised || model.now.Sub(action.at) >= 5*time.Second
	}
	if action.Kind == scheduler.Evict {
		if same && !fails {
			if model.running(action.Upstream, action.Adapter) > 0 {
				model.t.Fatalf("%v evicted from %v under a running call", action.Adapter, action.Upstream)
			}
			delete(engine.resident, action.Adapter)
		}
		model.scheduler.EvictAnswered(action.Upstream, action.Incarnation, action.Adapter, same && !fails, model.now)
		return
	}
	if same && !fails && len(engine.resident) == 2 && !engine.resident[action.Adapter] {
		if !engine.surprised {
			model.t.Fatalf("%v loaded into a full engine", action.Adapter)
		}
		fails = true
	}
	if same && !fails {
		engine.resident[action.Adapter] = true
	}
	model.scheduler.LoadAnswered(action.Upstream, action.Incarnation, action.Adapter, same && !fails, model.now)
}

func (model *model) end() {
	for _, attempt := range model.order {
		if call := model.calls[attempt]; call.running {
			call.running, call.finished = false, true
			model.scheduler.Ended(attempt, true, model.now)
			return
		}
	}
}

func (model *model) disturb(name core.UpstreamID) {
	engine := model.engines[name]
	if rapid.Bool().Draw(model.t, "leaves") {
		engine.leaving = true
		model.report(name)
		return
	}
	engine.incarnation++
	engine.leaving, engine.reports, engine.taken = false, nil, nil
	engine.resident = map[core.AdapterVersion]bool{}
	for _, attempt := range model.order {
		if call := model.calls[attempt]; call.running && call.engine == name {
			call.running, call.finished = false, true
			model.scheduler.Ended(attempt, false, model.now)
		}
	}
}

func (model *model) cancel() {
	if len(model.order) == 0 {
		return
	}
	call := model.calls[rapid.SampledFrom(model.order).Draw(model.t, "cancelled")]
	if model.scheduler.Cancel(call.Attempt, model.now) {
		if call.finished || call.running {
			model.t.Fatalf("%v was cancelled after its start", call.Attempt)
		}
		call.finished = true
	}
}

// take carries out the new actions and checks them.
func (model *model) take() {
	for actions := model.scheduler.Take(nil); len(actions) > 0; actions = model.scheduler.Take(nil) {
		for _, action := range actions {
			model.check(action)
		}
	}
}

func (model *model) check(action scheduler.Action) {
	model.t.Logf("%v %v %v %v %v", model.now.Sub(start), action.Kind, action.Attempt, action.Adapter, action.Upstream)
	switch action.Kind {
	case scheduler.Send:
		model.send(action)
	case scheduler.Refuse:
		call := model.calls[action.Attempt]
		if call.finished || call.running {
			model.t.Fatalf("%v refused twice or after its start", action.Attempt)
		}
		call.finished = true
	case scheduler.Load:
		model.starts = append(model.starts, model.now)
		model.checkRate()
		model.open = append(model.open, order{action, model.now})
	case scheduler.Evict:
		model.open = append(model.open, order{action, model.now})
	}
}

func (model *model) send(action scheduler.Action) {
	call, engine := model.calls[action.Attempt], model.engines[action.Upstream]
	if !model.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, model.now) {
		return
	}
	if call.finished || call.running {
		model.t.Fatalf("%v sent twice", action.Attempt)
	}
	if core.Incarnation(fmt.Sprint(engine.incarnation)) != action.Incarnation {
		// The owner cannot know the restart yet; the engine refuses the call.
		call.finished = true
		model.scheduler.Ended(action.Attempt, true, model.now)
		return
	}
	if !engine.resident[action.Adapter] {
		model.t.Fatalf("%v sent to %v, which does not hold %v", action.Attempt, action.Upstream, action.Adapter)
	}
	if model.now.Sub(engine.seen) >= core.AnnouncementLease {
		model.t.Fatalf("%v sent to %v, which is silent", action.Attempt, action.Upstream)
	}
	if call.Suspect && model.busy(action.Upstream) {
		model.t.Fatalf("suspect %v does not run alone", action.Attempt)
	}
	model.checkOrder(call)
	call.running, call.engine, call.incarnat = true, action.Upstream, engine.incarnation
}

func (model *model) busy(name core.UpstreamID) bool {
	for _, call := range model.calls {
		if call.running && call.engine == name && call.incarnat == model.engines[name].incarnation {
			return true
		}
	}
	return false
}

// checkOrder fails if an earlier call of the same adapter and priority waits.
func (model *model) checkOrder(sent *modelCall) {
	for _, attempt := range model.order[:sent.order] {
		call := model.calls[attempt]
		if !call.finished && !call.running && call.Adapter == sent.Adapter && call.Priority == sent.Priority {
			model.t.Fatalf("%v overtook %v", sent.Attempt, call.Attempt)
		}
	}
}

// checkRate fails if any window holds more load starts than the budget allows.
func (model *model) checkRate() {
	last := len(model.starts) - 1
	for i, from := range model.starts {
		allowed := model.share.Burst() + model.now.Sub(from).Seconds()*float64(model.share.PerSecond)
		if float64(last-i+1) > allowed+1e-3 {
			model.t.Fatalf("%d loads within %v", last-i+1, model.now.Sub(from))
		}
	}
}

// finish lets time pass until every call must have an end.
func (model *model) finish() {
	for range 100 {
		model.now = model.now.Add(250 * time.Millisecond)
		model.end()
		model.scheduler.Tick(model.now)
		model.take()
	}
	for _, attempt := range model.order {
		if call := model.calls[attempt]; !call.finished && !call.running {
			model.t.Fatalf("%v has no end", attempt)
		}
	}
}
