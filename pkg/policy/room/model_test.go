package room

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

const (
	// tick is the resolution of the model.
	tick = time.Millisecond
	// network is the time from an entry VM to an upstream, and back.
	network = 2 * time.Millisecond
	// idleReport is the time after which a VM reports although nothing has changed.
	idleReport = 500 * time.Millisecond
	// plainRetryAfter is the time after which a caller returns who was refused since no upstream
	// had room.
	plainRetryAfter = 300 * time.Millisecond
	maxSends        = 3
	zones           = 3
)

// load describes one play: a service, its callers, and what happens.
type load struct {
	vms, upstreams, slots, queue int
	// service is the time until the answer or the first event, and hold that for which a request
	// of size 1 keeps its slot. Both vary by a fifth.
	service, hold       time.Duration
	objective, deadline time.Duration
	// timeout is that of the route, which may end before the caller's deadline.
	timeout time.Duration
	// rate is the number of requests a second, and burst its factor from burstFrom to burstTo.
	rate, burst        float64
	burstFrom, burstTo time.Duration
	arrivalsEnd        time.Duration
	// cutFrom and cutTo is the time in which the first upstream is gone.
	cutFrom, cutTo time.Duration
	// restart makes the VMs know nothing at the start, while this many callers come at once.
	restart int
	// workspaces is the number of workspaces; the first one sends heavy times what each other does.
	workspaces int
	heavy      float64
	// ranks is the number of ranks with equal loads.
	ranks int
	// sizes lets the requests have different sizes, with a mean of 1 and a tenth above 2.3.
	sizes bool
	// without sends each request at once, as before this package.
	without bool
	seed    uint64
}

// job is one request of a caller.
type job struct {
	id           int
	began        time.Duration // of the first attempt of the caller
	rank         int
	workspace    int
	size         float64
	returned     bool
	ticket       Ticket
	vm           *modelVM
	tried        []int
	waited       bool
	answered     time.Duration
	at           *modelUpstream
	sentUpstream int
}

// modelVM is an entry VM.
type modelVM struct {
	queue       Queue
	phase       float64
	zone        int
	own, others []int
	reported    []int
	backoff     []time.Duration
	reportAt    time.Duration
	lastReport  time.Duration
	changed     bool
	heard       bool
	waiting     map[TicketID]*job
}

// modelUpstream is an upstream: requests run in its slots and queue in the order of arrival.
type modelUpstream struct {
	running []*run
	queue   []*job
	gone    bool
}

type run struct {
	job        *job
	first, end time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

// model is one play.
type model struct {
	load
	random   *rand.Rand
	now      time.Duration
	vmsAll   []*modelVM
	ups      []*modelUpstream
	events   []event
	jobs     []*job
	rotation int
	rejected int
	idle     int
	expired  int
	refused  int
	tickets  TicketID
}

// result is what came of the requests of a play.
type result struct {
	load
	jobs []*job
	// rejected counts the sends that an upstream had no room for, waited the requests that were
	// held, refused those refused by the decision, and idle the milliseconds, summed over the
	// upstreams, in which one ran nothing while a request waited.
	rejected, waited, refused, idle int
	// expired counts the requests that an upstream had accepted and not answered by the deadline.
	expired int
}

func (model *model) later(after time.Duration, do func()) {
	model.events = append(model.events, event{model.now + after, do})
}

// play plays a load.
func play(load load) result {
	model := &model{load: load, random: rand.New(rand.NewPCG(load.seed, 7))} //nolint:gosec // a play must repeat
	for i := range load.vms {
		vm := &modelVM{
			phase: model.random.Float64(), zone: i % zones, own: make([]int, load.upstreams), others: make([]int, load.upstreams),
			reported: make([]int, load.upstreams), backoff: make([]time.Duration, load.upstreams), waiting: make(map[TicketID]*job),
			reportAt: time.Duration(model.random.IntN(80)) * time.Millisecond, heard: load.restart == 0,
		}
		model.vmsAll = append(model.vmsAll, vm)
	}
	for range load.upstreams {
		model.ups = append(model.ups, &modelUpstream{})
	}
	for range load.restart {
		model.later(time.Duration(model.random.IntN(50))*time.Millisecond, model.arrive)
	}
	for ; model.now < load.arrivalsEnd+load.deadline; model.now += tick {
		model.step()
	}
	result := result{load: load, jobs: model.jobs, rejected: model.rejected, refused: model.refused, idle: model.idle, expired: model.expired}
	for _, job := range model.jobs {
		if job.waited {
			result.waited++
		}
	}
	return result
}

func (model *model) step() {
	for i, up := range model.ups {
		model.setGone(i, up, i == 0 && model.now >= model.cutFrom && model.now < model.cutTo)
	}
	due := model.events
	model.events = nil
	slices.SortStableFunc(due, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, event := range due {
		if event.at > model.now {
			model.events = append(model.events, event)
			continue
		}
		event.do()
	}
	for _, up := range model.ups {
		model.serve(up)
	}
	rate := model.rate
	if model.now >= model.burstFrom && model.now < model.burstTo {
		rate *= model.burst
	}
	if model.now < model.arrivalsEnd {
		for expected := rate * tick.Seconds(); expected > 0; expected-- {
			if model.random.Float64() < expected {
				model.arrive()
			}
		}
	}
	waits := false
	for _, vm := range model.vmsAll {
		model.report(vm)
		if next, ok := vm.queue.Next(); ok && next <= model.now {
			model.review(vm)
		}
		waits = waits || vm.queue.Len() > 0
	}
	for _, up := range model.ups {
		if waits && !up.gone && len(up.running) == 0 {
			model.idle++
		}
	}
}

// setGone ends an upstream with the requests there, or starts it.
func (model *model) setGone(index int, up *modelUpstream, gone bool) {
	if gone == up.gone {
		return
	}
	up.gone = gone
	lost := up.queue
	for _, run := range up.running {
		lost = append(lost, run.job)
	}
	up.running, up.queue = nil, nil
	for _, job := range lost {
		model.finish(job, index)
	}
}

// arrive lets one caller send a request.
func (model *model) arrive() {
	job := &job{id: len(model.jobs), began: model.now, size: 1, workspace: -1}
	if model.workspaces > 0 {
		at := model.random.Float64() * (float64(model.workspaces-1) + model.heavy)
		job.workspace = max(0, int(at-model.heavy)+1)
		if at < model.heavy {
			job.workspace = 0
		}
	}
	if model.ranks > 0 {
		job.rank = model.random.IntN(model.ranks)
	}
	if model.sizes {
		job.size = -math.Log(1 - model.random.Float64())
		job.size = max(0.2, min(4, job.size))
	}
	model.jobs = append(model.jobs, job)
	model.send(job)
}

// send sends a caller's request to an entry VM.
func (model *model) send(job *job) {
	vm := model.vmsAll[model.random.IntN(len(model.vmsAll))]
	model.tickets++
	job.vm, job.tried = vm, nil
	job.ticket = Ticket{
		ID: model.tickets, Arrived: model.now, Objective: model.objective, Deadline: min(model.now+model.timeout, job.began+model.deadline),
		Rank: job.rank, Size: job.size, Spread: model.random.Float64(), Tokens: core.Tokens(100 * job.size),
	}
	if job.workspace >= 0 {
		job.ticket.Share.Workspace = core.WorkspaceID(fmt.Sprint("w", job.workspace))
	}
	model.tryNext(job)
}

// candidates returns the upstreams that a VM may choose for a request.
func (model *model) candidates(vm *modelVM, tried []int) ([]int, []selection.Candidate) {
	var at []int
	var candidates []selection.Candidate
	for i := range model.ups {
		if vm.backoff[i] > model.now || slices.Contains(tried, i) {
			continue
		}
		at = append(at, i)
		candidates = append(candidates, selection.Candidate{Local: i%zones == vm.zone, Running: vm.own[i], Others: vm.others[i], Slots: model.slots})
	}
	return at, candidates
}

// look returns what a VM knows.
func (model *model) look(vm *modelVM, tried []int) (State, bool) {
	_, candidates := model.candidates(vm, tried)
	if len(candidates) == 0 {
		return State{}, false
	}
	state := State{Load: math.Inf(1), Age: model.now - vm.lastReport, VMs: model.vms}
	if vm.heard {
		state.Service, state.Hold = model.service+2*network, model.hold
	}
	for _, candidate := range candidates {
		state.Load = min(state.Load, candidate.Load())
		state.Slots += candidate.Slots
		state.Requests += candidate.Running + candidate.Others
	}
	return state, true
}

// tryNext decides on a request, and sends it, holds it or refuses it.
func (model *model) tryNext(job *job) {
	vm := job.vm
	state, ok := model.look(vm, job.tried)
	if !ok || len(job.tried) >= maxSends {
		model.refuse(job, plainRetryAfter)
		return
	}
	if model.without {
		model.dispatch(job)
		return
	}
	switch decision, _ := vm.queue.Arrive(model.now, job.ticket, state); decision.Action {
	case Send:
		model.dispatch(job)
	case Wait:
		job.waited, vm.changed = true, true
		vm.waiting[job.ticket.ID] = job
	case Refuse:
		model.refused++
		model.refuse(job, decision.After)
	}
}

// review decides on the waiting requests of a VM.
func (model *model) review(vm *modelVM) {
	outcomes := vm.queue.Review(model.now, func(ticket Ticket) (State, bool) { return model.look(vm, vm.waiting[ticket.ID].tried) })
	for _, outcome := range outcomes {
		job := vm.waiting[outcome.Ticket]
		delete(vm.waiting, outcome.Ticket)
		if outcome.Decision.Action == Refuse {
			model.refused++
			model.refuse(job, outcome.Decision.After)
			continue
		}
		model.dispatch(job)
	}
}

// dispatch sends a request to the upstream with the lowest cost.
func (model *model) dispatch(job *job) {
	vm := job.vm
	at, candidates := model.candidates(vm, job.tried)
	model.rotation++
	bounds, positions := make([]selection.Bound, len(candidates)), make([]selection.Position, len(candidates))
	for i, candidate := range candidates {
		bounds[i], positions[i] = candidate.Bound(), selection.Position(i)
	}
	chosen, _ := selection.Choose(bounds, positions, model.rotation, 0, func(at selection.Position) (float64, bool) { return candidates[at].Cost(), true })
	if chosen < 0 {
		model.refuse(job, plainRetryAfter)
		return
	}
	index := at[chosen]
	job.tried = append(job.tried, index)
	vm.own[index]++
	vm.changed = true
	deadline, ticket := job.ticket.Deadline, job.ticket.ID
	model.later(network, func() { model.receive(job, index) })
	model.later(deadline-model.now, func() {
		if job.ticket.ID == ticket && job.at != nil {
			model.cancel(job)
		}
	})
}

// receive lets an upstream run, queue or reject a request.
func (model *model) receive(sent *job, index int) {
	up := model.ups[index]
	if up.gone {
		sent.vm.backoff[index] = model.now + 400*time.Millisecond
		model.finish(sent, index)
		model.tryNext(sent)
		return
	}
	if len(up.running) >= model.slots && len(up.queue) >= model.queue {
		model.rejected++
		model.later(network, func() {
			model.finish(sent, index)
			model.tryNext(sent)
		})
		return
	}
	sent.at, sent.sentUpstream = up, index
	at := len(up.queue)
	if model.sizes { // engines admit by rank
		at, _ = slices.BinarySearchFunc(up.queue, sent, func(a, b *job) int { return cmp.Or(cmp.Compare(a.rank, b.rank), -1) })
	}
	up.queue = slices.Insert(up.queue, at, sent)
	model.serve(up)
}

// serve ends and starts requests at an upstream.
func (model *model) serve(up *modelUpstream) {
	left := up.running[:0]
	for _, run := range up.running {
		job := run.job
		if run.first <= model.now && job.answered == 0 {
			job.answered = model.now + network
		}
		if run.end > model.now {
			left = append(left, run)
			continue
		}
		job.at = nil
		if model.now > job.ticket.Deadline {
			job.answered = 0
		}
		index := job.sentUpstream
		model.later(network, func() { model.finish(job, index) })
	}
	up.running = left
	for len(up.running) < model.slots && len(up.queue) > 0 {
		job := up.queue[0]
		up.queue = up.queue[1:]
		vary := 0.8 + 0.4*model.random.Float64()
		first := time.Duration(float64(model.service) * vary)
		up.running = append(up.running, &run{job, model.now + first, model.now + max(first, time.Duration(float64(model.hold)*vary*job.size))})
	}
}

// cancel ends a request that was not answered by its deadline.
func (model *model) cancel(ended *job) {
	model.expired++
	up := ended.at
	ended.at, ended.answered = nil, 0
	up.queue = slices.DeleteFunc(up.queue, func(other *job) bool { return other == ended })
	up.running = slices.DeleteFunc(up.running, func(run *run) bool { return run.job == ended })
	model.finish(ended, ended.sentUpstream)
}

// finish ends a send at its VM.
func (model *model) finish(job *job, index int) {
	vm := job.vm
	vm.own[index]--
	vm.changed, vm.heard = true, true
	job.at = nil
	model.review(vm)
}

// refuse refuses a request. Its caller returns once.
func (model *model) refuse(job *job, after time.Duration) {
	left := job.began + model.deadline - model.now
	if job.returned || left <= 0 {
		return
	}
	job.returned = true
	model.later(min(after, left/3), func() { model.send(job) })
}

// report exchanges the numbers of running requests.
func (model *model) report(vm *modelVM) {
	if model.now < vm.reportAt {
		return
	}
	vm.reportAt += reportInterval
	if !vm.changed && model.now-vm.lastReport < idleReport {
		return
	}
	vm.lastReport = model.now
	copy(vm.reported, vm.own)
	for i := range vm.others {
		sum := 0
		for _, other := range model.vmsAll {
			sum += other.reported[i]
		}
		vm.others[i] = sum - vm.reported[i]
	}
	vm.changed = false
	if !model.without && vm.heard {
		// While the upstreams have no free slot, the VM reports on to hear of the others.
		candidates := make([]selection.Candidate, len(vm.others))
		for i := range candidates {
			candidates[i] = selection.Candidate{Running: vm.own[i], Others: vm.others[i], Slots: model.slots}
		}
		vm.changed = selection.Discount(candidates, model.hold, model.random.Float64())
		for i := range candidates {
			vm.others[i] = candidates[i].Others
		}
	}
	if state, ok := model.look(vm, nil); ok {
		vm.queue.Report(model.now, model.objective, state, vm.phase)
	}
	model.review(vm)
}

// share returns the parts of the requests of the burst that were answered within their objective,
// and before their deadline, among those that a filter selects.
func (result result) share(filter func(*job) bool) (inTime, answered float64) {
	count := 0
	for _, job := range result.jobs {
		if job.began < result.burstFrom || job.began >= result.burstTo || !filter(job) {
			continue
		}
		count++
		took := job.answered - job.began
		if job.answered > 0 && took <= result.objective {
			inTime++
		}
		if job.answered > 0 && took <= result.deadline {
			answered++
		}
	}
	return inTime / float64(max(1, count)), answered / float64(max(1, count))
}
