package pace

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// model is a deployment without network: entry VMs that choose upstreams with package selection,
// an owner with a Tracker for each zone, and upstreams with slots and a queue. The same seed gives
// the same requests.
type model struct {
	// paced is set if the VMs use what the trackers have learned.
	paced bool
	// stream is set if requests are streams: their prompts are read one after another, then
	// events follow. Otherwise a request takes one time of work in a slot.
	stream    bool
	work      time.Duration
	rate      float64
	objective time.Duration
	zones     int

	now    time.Duration
	events eventQueue
	random *rand.Rand
	// arrivals gives the times, VMs and sizes of the requests, which are so the same with and
	// without the mechanism.
	arrivals  *rand.Rand
	upstreams []*modelUpstream
	vms       []*modelVM
	trackers  []Tracker

	requests, late int
}

const (
	// modelEvents is the number of events of a stream, and modelPause the time between two of
	// them at speed 1.
	modelEvents = 9
	modelPause  = 40 * time.Millisecond
	// modelReport is the time between two reports of a VM.
	modelReport = 80 * time.Millisecond
	// queueFactor is the size of the queue of an upstream in slots.
	queueFactor = 3
	// minHold is the least time for which a VM does not try an upstream again that it could not
	// reach.
	minHold = 100 * time.Millisecond
)

// modelUpstream is an upstream. Its process is down while it does not exist.
type modelUpstream struct {
	state    State
	zone     int
	speed    float64
	down     bool
	running  []*modelRequest
	queue    []*modelRequest
	readerAt time.Duration
	// sent counts the requests by tenths of a second, and peak holds the largest number of
	// requests at once, by the same.
	sent, peak map[int]int
	// open holds the smallest share that a VM gave it, by the same.
	open map[int]float64
}

// modelVM is an entry VM with its view of the upstreams.
type modelVM struct {
	zone     int
	rotation int
	own      []int
	others   []int
	speed    []float64
	open     []float64
	draw     []float64
	answers  []Answers
	relation Relation
	// failures counts the successive failures to reach an upstream, and heldUntil is the time
	// until which it is not tried again.
	failures  []int
	heldUntil []time.Duration
}

type modelRequest struct {
	vm       int
	at, sent time.Duration
	idle     bool
	done     bool
	tried    int
	size     float64
}

func newModel(seed uint64, vms, zones int) *model {
	model := &model{random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), zones: zones, trackers: make([]Tracker, zones)}
	for i := range vms {
		model.vms = append(model.vms, &modelVM{zone: i % zones})
	}
	return model
}

// add adds an upstream.
func (model *model) add(slots int, speed float64, down bool) {
	id := len(model.upstreams)
	upstream := &modelUpstream{
		state: State{Upstream: core.UpstreamID(fmt.Sprint("u", id)), Born: 1, Slots: slots}, zone: id % model.zones, speed: speed, down: down,
		sent: make(map[int]int), peak: make(map[int]int), open: make(map[int]float64),
	}
	model.upstreams = append(model.upstreams, upstream)
	for _, vm := range model.vms {
		vm.own, vm.others = append(vm.own, 0), append(vm.others, 0)
		vm.speed, vm.open, vm.draw = append(vm.speed, 1), append(vm.open, 1), append(vm.draw, 0)
		vm.answers = append(vm.answers, Answers{})
		vm.failures, vm.heldUntil = append(vm.failures, 0), append(vm.heldUntil, 0)
	}
	if down {
		upstream.state.Born = 0 // not announced yet
	} else {
		model.trackers[upstream.zone].Set(0, upstream.state)
	}
}

// start starts a process of an upstream.
func (model *model) start(upstream *modelUpstream) {
	upstream.down = false
	upstream.state.Born++
	upstream.readerAt = model.now
	tracker := &model.trackers[upstream.zone]
	tracker.Set(model.now, upstream.state)
	// Each VM learns of the new process and assumes the same share until its next report.
	index := model.index(upstream)
	for _, vm := range model.vms {
		vm.failures[index], vm.heldUntil[index] = 0, 0
		if value, _ := tracker.Value(model.now, upstream.state.Upstream); model.paced {
			vm.open[index], vm.draw[index] = value.Open, model.random.Float64()
		}
	}
}

// stop ends the process of an upstream. Its requests are lost.
func (model *model) stop(upstream *modelUpstream) {
	upstream.down = true
	lost := append(upstream.running, upstream.queue...)
	upstream.running, upstream.queue = nil, nil
	for _, request := range lost {
		request.done = true
		model.vms[request.vm].own[model.index(upstream)]--
		model.vms[request.vm].answers[model.index(upstream)].Failures++
		model.late++
	}
}

func (model *model) index(upstream *modelUpstream) int {
	var index int
	_, _ = fmt.Sscanf(string(upstream.state.Upstream), "u%d", &index)
	return index
}

// run runs the model until a time.
func (model *model) run(until time.Duration) {
	for i := range model.vms {
		model.at(time.Duration(i)*modelReport/time.Duration(len(model.vms)), func() { model.report(i) })
	}
	model.arrive()
	for len(model.events) > 0 && model.events[0].at <= until {
		next := heap.Pop(&model.events).(event)
		model.now = next.at
		next.run()
	}
}

func (model *model) at(at time.Duration, run func()) {
	heap.Push(&model.events, event{at, model.random.Uint64(), run})
}

// arrive lets a request arrive, and the next one after a random time.
func (model *model) arrive() {
	model.requests++
	// The work is 0.5 to 1.5 of its mean.
	model.send(&modelRequest{vm: model.arrivals.IntN(len(model.vms)), at: model.now, size: 0.5 + model.arrivals.Float64()}, -1)
	model.at(model.now+time.Duration(model.arrivals.ExpFloat64()*float64(time.Second)/model.rate), model.arrive)
}

// send sends a request to the upstream that its VM chooses.
func (model *model) send(request *modelRequest, exclude int) {
	vm := model.vms[request.vm]
	var bounds []selection.Bound
	var positions []selection.Position
	var candidates []selection.Candidate
	for i, upstream := range model.upstreams {
		candidate := selection.Candidate{
			Local: upstream.zone == vm.zone, Running: vm.own[i], Others: vm.others[i], Slots: upstream.state.Slots, Speed: vm.speed[i], Open: vm.open[i],
		}
		if vm.open[i] < 1 && !Admits(vm.open[i], candidate.Slots, candidate.Running+candidate.Others, len(model.vms), vm.draw[i]) {
			candidate.Others += max(0, int(vm.open[i]*float64(candidate.Slots)+0.999)-candidate.Running-candidate.Others)
		}
		candidates, bounds = append(candidates, candidate), append(bounds, candidate.Bound())
		if i != exclude && upstream.state.Born > 0 && vm.heldUntil[i] <= model.now {
			positions = append(positions, selection.Position(i))
		}
	}
	if len(positions) == 0 {
		model.late++
		return
	}
	vm.rotation++
	chosen, _ := selection.Choose(bounds, positions, vm.rotation, 0, func(at selection.Position) (float64, bool) { return candidates[at].Cost(), true })
	model.reach(request, int(chosen))
}

// reach delivers a request to an upstream.
func (model *model) reach(request *modelRequest, chosen int) {
	vm, upstream := model.vms[request.vm], model.upstreams[chosen]
	tenth := int(model.now / (100 * time.Millisecond))
	upstream.sent[tenth]++
	request.sent, request.idle = model.now, Unhindered(vm.own[chosen]+vm.others[chosen], upstream.state.Slots)
	switch {
	case upstream.down:
		vm.answers[chosen].Failures++
		vm.heldUntil[chosen] = model.now + minHold<<min(vm.failures[chosen], 4)
		vm.failures[chosen]++
	case len(upstream.queue) >= queueFactor*upstream.state.Slots:
		vm.answers[chosen].Rejections++
	default:
		vm.failures[chosen] = 0
		vm.own[chosen]++
		upstream.queue = append(upstream.queue, request)
		upstream.peak[tenth] = max(upstream.peak[tenth], len(upstream.queue)+len(upstream.running))
		model.fill(upstream)
		return
	}
	if request.tried++; request.tried > 2 {
		model.late++
		return
	}
	model.send(request, chosen)
}

// fill starts queued requests in the free slots.
func (model *model) fill(upstream *modelUpstream) {
	for len(upstream.queue) > 0 && len(upstream.running) < upstream.state.Slots {
		request := upstream.queue[0]
		upstream.queue = upstream.queue[1:]
		upstream.running = append(upstream.running, request)
		work := time.Duration(request.size * float64(model.work) / upstream.speed)
		first, last := model.now+work, model.now+work
		if model.stream {
			upstream.readerAt = max(upstream.readerAt, model.now) + work
			first = upstream.readerAt
			last = first + time.Duration(modelEvents*float64(modelPause)/upstream.speed)
		}
		model.at(first, func() { model.answer(upstream, request) })
		model.at(last, func() { model.finish(upstream, request, last-first) })
	}
}

// answer brings the first event of a stream or the answer of a call.
func (model *model) answer(upstream *modelUpstream, request *modelRequest) {
	if request.done {
		return
	}
	answers := Answers{Untimed: 1}
	if request.idle {
		answers = Answers{Count: 1, Total: model.now - request.sent}
	}
	model.vms[request.vm].answers[model.index(upstream)].Add(answers)
	if model.now-request.at > model.objective {
		model.late++
	}
}

// finish ends a request.
func (model *model) finish(upstream *modelUpstream, request *modelRequest, pauses time.Duration) {
	if request.done {
		return
	}
	request.done = true
	vm, index := model.vms[request.vm], model.index(upstream)
	vm.own[index]--
	if model.stream {
		vm.answers[index].Add(Answers{Pauses: modelEvents, PauseTotal: pauses})
	}
	for i, other := range upstream.running {
		if other == request {
			upstream.running = append(upstream.running[:i:i], upstream.running[i+1:]...)
			break
		}
	}
	model.fill(upstream)
}

// report sends the report of a VM to the owners and applies their results.
func (model *model) report(vm int) {
	reporter := model.vms[vm]
	values := make([]Value, len(model.upstreams))
	for i, upstream := range model.upstreams {
		tracker := &model.trackers[upstream.zone]
		tracker.SetReference(model.now, reporter.relation.Median)
		if reporter.answers[i] != (Answers{}) {
			tracker.Observe(model.now, upstream.state.Upstream, upstream.state.Born, reporter.answers[i])
			reporter.answers[i] = Answers{}
		}
		reporter.others[i] = -reporter.own[i]
		for _, other := range model.vms {
			reporter.others[i] += other.own[i]
		}
		values[i], _ = tracker.Value(model.now, upstream.state.Upstream)
		values[i].Slots = upstream.state.Slots
	}
	reporter.relation.Relate(values)
	for i, value := range values {
		reporter.draw[i] = model.random.Float64()
		if model.paced {
			reporter.speed[i], reporter.open[i] = value.Times.Speed(reporter.relation.Median), reporter.relation.Open(value)
		}
		tenth := int(model.now / (100 * time.Millisecond))
		if before, ok := model.upstreams[i].open[tenth]; !ok || reporter.open[i] < before {
			model.upstreams[i].open[tenth] = reporter.open[i]
		}
	}
	model.at(model.now+modelReport, func() { model.report(vm) })
}

// event is something that happens at a time. Events at one time happen in the order of their
// random numbers.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].order < queue[j].order
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}
