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

// TestInvariants guards against an eviction while a call runs on the copy, a send to
// an engine that never confirmed the adapter or that is silent, a suspect call that
// shares an engine, a call without an end or with two, a call that starts before an
// earlier one of equal priority for the same adapter, and loads beyond the budget. It
// runs random events against a model of the engines, whose announcements may be late.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			model.step()
		}
		model.finish()
	})
}

// engine is the simulated state of one engine.
type engine struct {
	incarnation   int
	leaving       bool
	lastAnnounced time.Time
	resident      map[core.AdapterVersion]bool
	// lastExecuted is the time of the newest request that was carried out for an
	// adapter version. The engine refuses older requests, as fencing tokens require.
	lastExecuted map[core.AdapterVersion]time.Time
	// executedLate is set once the engine carried out a request after its time limit,
	// when the owner may have given the slot to another adapter. The engine may then
	// refuse a load because it has no free slot.
	executedLate bool
	// reports are the snapshots that are not announced yet.
	reports     []core.Announcement
	reportTimes []time.Time
}

// modelCall is a call and its simulated execution on an engine.
type modelCall struct {
	scheduler.Call
	index       int
	engine      core.UpstreamID
	running     bool
	incarnation int
	finished    bool
}

// model drives a scheduler with random events, and checks its actions against the
// simulated engines and calls.
type model struct {
	t               *rapid.T
	now             time.Time
	share           budget.Share
	scheduler       *scheduler.Scheduler
	engines         map[core.UpstreamID]*engine
	engineNames     []core.UpstreamID
	calls           map[core.AttemptID]*modelCall
	attempts        []core.AttemptID
	pendingRequests []pendingRequest
	loadStarts      []time.Time
}

// pendingRequest is a load or an eviction that the engine has not answered yet.
type pendingRequest struct {
	scheduler.Action
	requestedAt time.Time
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
		model.engineNames = append(model.engineNames, name)
		model.engines[name] = &engine{lastAnnounced: start, resident: map[core.AdapterVersion]bool{}, lastExecuted: map[core.AdapterVersion]time.Time{}}
	}
	return model
}

func (model *model) step() {
	model.now = model.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(model.t, "elapsed")) * time.Millisecond)
	name := rapid.SampledFrom(model.engineNames).Draw(model.t, "engine")
	switch rapid.IntRange(0, 9).Draw(model.t, "kind") {
	case 0, 1, 2:
		model.enqueue()
	case 3, 4:
		model.report(name)
	case 5, 6:
		model.answerRequest()
	case 7:
		model.endOldest()
	case 8:
		model.leaveOrRestart(name)
	case 9:
		model.cancelAny()
	}
	model.scheduler.Tick(model.now)
	model.processActions()
}

func (model *model) enqueue() {
	call := &modelCall{index: len(model.attempts), Call: scheduler.Call{
		Attempt:  core.AttemptID(fmt.Sprintf("c%d", len(model.attempts))),
		Customer: core.CustomerID(rapid.SampledFrom([]string{"x", "y"}).Draw(model.t, "customer")),
		Adapter:  core.AdapterVersion{Adapter: core.AdapterID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(model.t, "adapter")), Version: "1"},
		Priority: core.Priority(rapid.IntRange(0, 1).Draw(model.t, "priority")),
		Deadline: model.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(model.t, "deadline")) * time.Millisecond),
		Suspect:  rapid.IntRange(0, 9).Draw(model.t, "suspect") == 0,
	}}
	model.calls[call.Attempt] = call
	model.attempts = append(model.attempts, call.Attempt)
	model.scheduler.Enqueue(call.Call, model.now)
}

// report takes a snapshot of an engine, and announces the oldest pending snapshot if
// the drawn lag allows it.
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
	engine.reportTimes = append(engine.reportTimes, model.now)
	if len(engine.reports) > rapid.IntRange(0, 1).Draw(model.t, "lag") {
		oldest := engine.reports[0]
		oldest.ReportAge = model.now.Sub(engine.reportTimes[0])
		engine.reports, engine.reportTimes = engine.reports[1:], engine.reportTimes[1:]
		engine.lastAnnounced = model.now
		model.t.Logf("%v announce %v age %v: %v", model.now.Sub(start), name, oldest.ReportAge, oldest.Resident)
		model.scheduler.Announced(oldest, model.now)
	}
}

func (model *model) running(name core.UpstreamID, adapter core.AdapterVersion) int {
	count := 0
	for _, call := range model.calls {
		if call.running && call.engine == name && call.Adapter == adapter && call.incarnation == model.engines[name].incarnation {
			count++
		}
	}
	return count
}

// answerRequest carries out one pending load or eviction or lets it fail, and reports
// the result to the scheduler.
func (model *model) answerRequest() {
	if len(model.pendingRequests) == 0 {
		return
	}
	index := rapid.IntRange(0, len(model.pendingRequests)-1).Draw(model.t, "request")
	request := model.pendingRequests[index]
	model.pendingRequests = append(model.pendingRequests[:index], model.pendingRequests[index+1:]...)
	engine := model.engines[request.Upstream]
	model.t.Logf("%v answer %v %v %v", model.now.Sub(start), request.Kind, request.Adapter, request.Upstream)
	sameIncarnation := core.Incarnation(fmt.Sprint(engine.incarnation)) == request.Incarnation
	fails := rapid.IntRange(0, 4).Draw(model.t, "fails") == 0 || engine.lastExecuted[request.Adapter].After(request.requestedAt)
	if sameIncarnation && !fails {
		engine.lastExecuted[request.Adapter] = request.requestedAt
		engine.executedLate = engine.executedLate || model.now.Sub(request.requestedAt) >= 5*time.Second
	}
	if request.Kind == scheduler.Evict {
		if sameIncarnation && !fails {
			if model.running(request.Upstream, request.Adapter) > 0 {
				model.t.Fatalf("%v evicted from %v while a call runs on it", request.Adapter, request.Upstream)
			}
			delete(engine.resident, request.Adapter)
		}
		model.scheduler.EvictAnswered(request.Upstream, request.Incarnation, request.Adapter, sameIncarnation && !fails, model.now)
		return
	}
	if sameIncarnation && !fails && len(engine.resident) == 2 && !engine.resident[request.Adapter] {
		if !engine.executedLate {
			model.t.Fatalf("%v loaded into a full engine", request.Adapter)
		}
		fails = true
	}
	if sameIncarnation && !fails {
		engine.resident[request.Adapter] = true
	}
	model.scheduler.LoadAnswered(request.Upstream, request.Incarnation, request.Adapter, sameIncarnation && !fails, model.now)
}

// endOldest ends the oldest call that runs.
func (model *model) endOldest() {
	for _, attempt := range model.attempts {
		if call := model.calls[attempt]; call.running {
			call.running, call.finished = false, true
			model.scheduler.Ended(attempt, true, model.now)
			return
		}
	}
}

// leaveOrRestart makes an engine announce that it is leaving, or restarts it and ends
// its calls.
func (model *model) leaveOrRestart(name core.UpstreamID) {
	engine := model.engines[name]
	if rapid.Bool().Draw(model.t, "leaves") {
		engine.leaving = true
		model.report(name)
		return
	}
	engine.incarnation++
	engine.leaving, engine.reports, engine.reportTimes = false, nil, nil
	engine.resident = map[core.AdapterVersion]bool{}
	for _, attempt := range model.attempts {
		if call := model.calls[attempt]; call.running && call.engine == name {
			call.running, call.finished = false, true
			model.scheduler.Ended(attempt, false, model.now)
		}
	}
}

func (model *model) cancelAny() {
	if len(model.attempts) == 0 {
		return
	}
	call := model.calls[rapid.SampledFrom(model.attempts).Draw(model.t, "cancelled")]
	if model.scheduler.Cancel(call.Attempt, model.now) {
		if call.finished || call.running {
			model.t.Fatalf("%v was cancelled after its start", call.Attempt)
		}
		call.finished = true
	}
}

// processActions checks the new actions and carries them out.
func (model *model) processActions() {
	for actions := model.scheduler.TakeActions(nil); len(actions) > 0; actions = model.scheduler.TakeActions(nil) {
		for _, action := range actions {
			model.checkAction(action)
		}
	}
}

func (model *model) checkAction(action scheduler.Action) {
	model.t.Logf("%v %v %v %v %v", model.now.Sub(start), action.Kind, action.Attempt, action.Adapter, action.Upstream)
	switch action.Kind {
	case scheduler.Send:
		model.startCall(action)
	case scheduler.Refuse:
		call := model.calls[action.Attempt]
		if call.finished || call.running {
			model.t.Fatalf("%v refused twice or after its start", action.Attempt)
		}
		call.finished = true
	case scheduler.Load:
		model.loadStarts = append(model.loadStarts, model.now)
		model.checkRate()
		model.pendingRequests = append(model.pendingRequests, pendingRequest{action, model.now})
	case scheduler.Evict:
		model.pendingRequests = append(model.pendingRequests, pendingRequest{action, model.now})
	}
}

func (model *model) startCall(action scheduler.Action) {
	call, engine := model.calls[action.Attempt], model.engines[action.Upstream]
	if !model.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, model.now) {
		return
	}
	if call.finished || call.running {
		model.t.Fatalf("%v sent twice", action.Attempt)
	}
	if core.Incarnation(fmt.Sprint(engine.incarnation)) != action.Incarnation {
		// The owner does not know of the restart yet, so the engine refuses the call.
		call.finished = true
		model.scheduler.Ended(action.Attempt, true, model.now)
		return
	}
	if !engine.resident[action.Adapter] {
		model.t.Fatalf("%v sent to %v, which does not hold %v", action.Attempt, action.Upstream, action.Adapter)
	}
	if model.now.Sub(engine.lastAnnounced) >= core.AnnouncementLease {
		model.t.Fatalf("%v sent to %v, whose lease has expired", action.Attempt, action.Upstream)
	}
	if call.Suspect && model.busy(action.Upstream) {
		model.t.Fatalf("suspect %v sent to an engine that runs other calls", action.Attempt)
	}
	model.checkOrder(call)
	call.running, call.engine, call.incarnation = true, action.Upstream, engine.incarnation
}

func (model *model) busy(name core.UpstreamID) bool {
	for _, call := range model.calls {
		if call.running && call.engine == name && call.incarnation == model.engines[name].incarnation {
			return true
		}
	}
	return false
}

// checkOrder fails the test if an earlier call of the same adapter and priority waits.
func (model *model) checkOrder(started *modelCall) {
	for _, attempt := range model.attempts[:started.index] {
		call := model.calls[attempt]
		if !call.finished && !call.running && call.Adapter == started.Adapter && call.Priority == started.Priority {
			model.t.Fatalf("%v started before the earlier call %v", started.Attempt, call.Attempt)
		}
	}
}

// checkRate fails the test if more loads started in a window that ends now than the
// budget allows.
func (model *model) checkRate() {
	newest := len(model.loadStarts) - 1
	for i, windowStart := range model.loadStarts {
		allowed := model.share.Burst() + model.now.Sub(windowStart).Seconds()*float64(model.share.PerSecond)
		if float64(newest-i+1) > allowed+1e-3 {
			model.t.Fatalf("%d loads within %v", newest-i+1, model.now.Sub(windowStart))
		}
	}
}

// finish advances the time past all deadlines, and fails the test if a call neither
// runs nor has ended.
func (model *model) finish() {
	for range 100 {
		model.now = model.now.Add(250 * time.Millisecond)
		model.endOldest()
		model.scheduler.Tick(model.now)
		model.processActions()
	}
	for _, attempt := range model.attempts {
		if call := model.calls[attempt]; !call.finished && !call.running {
			model.t.Fatalf("%v neither runs nor has ended", attempt)
		}
	}
}
