package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// The model plays entry VMs with leases, control VMs of which one at a time grants, and links that
// delay or lose messages, in steps of modelStep.
const (
	modelStep = 10 * time.Millisecond
	// modelWindow and modelExcess define the bound of the specification.
	modelWindow        = 8 * time.Second
	modelExcess        = 110_000
	modelLease         = 2 * time.Second
	modelMargin        = 1500 * time.Millisecond
	modelRenewal       = 500 * time.Millisecond
	modelWait          = 150 * time.Millisecond
	modelCallTimeout   = 400 * time.Millisecond
	modelProposalPause = 100 * time.Millisecond
)

// modelUse is a request that ran.
type modelUse struct {
	at     time.Duration
	tokens core.Tokens
}

// modelLimit is a limit that was in force on some VM in a period.
type modelLimit struct {
	quota    core.Quota
	from, to time.Duration
}

// modelRequest is a request that waits at an entry VM.
type modelRequest struct {
	at     time.Duration
	tokens core.Tokens
}

// modelVM is an entry VM or a control VM.
type modelVM struct {
	name core.VMID
	// frozenUntil, downUntil and cutUntil are the ends of a suspension, of a stop, and of a
	// partition from all others.
	frozenUntil, downUntil, cutUntil time.Duration
	// isolatedUntil is the end of a partition of a control VM from the leader only.
	isolatedUntil time.Duration
	// knows is the owner that an entry VM knows.
	knows     *modelVM
	workspace core.Workspace
	// change is the number of the last change of the limit that the VM has applied.
	change int
	// inbox holds messages that arrived during a suspension.
	inbox []func()
	// life counts the starts.
	life int

	lease   *Lease
	waiting []modelRequest
	call    int // the request in flight, zero for none
	calls   int
	asked   time.Duration
	sent    Request
	backoff time.Duration

	grantor  *Grantor
	token    core.FencingToken
	leaseEnd time.Duration
}

type modelMessage struct {
	at   time.Duration
	from *modelVM
	to   *modelVM
	life int
	run  func()
}

// model is a deployment.
type model struct {
	random   *rand.Rand
	now      time.Duration
	entries  []*modelVM
	controls []*modelVM
	shares   Shares
	owner    *modelVM
	token    core.FencingToken
	granted  time.Duration // when the owner's lease was granted last
	proposed time.Duration
	messages []modelMessage
	slowest  time.Duration // of the delays of messages now
	// misled makes one request of 20 go to a VM that need not be the owner.
	misled bool
	// large makes half of the requests large.
	large  bool
	limits []modelLimit
	used   []modelUse
	// overlap describes the first moment at which shares counted twice, empty for none.
	overlap  string
	refused  int
	asked    int
	requests int // to the grantor
}

func newModel(seed uint64, entries, controls int, quota core.Quota) *model {
	model := &model{random: rand.New(rand.NewPCG(seed, 1)), slowest: 5 * time.Millisecond, now: time.Hour}
	workspace := core.Workspace{Workspace: "w", Quota: quota}
	model.limits = []modelLimit{{quota: quota, from: 0, to: 1 << 62}}
	for i := range entries {
		model.entries = append(model.entries, &modelVM{name: core.VMID(fmt.Sprint("e", i)), lease: &Lease{}, workspace: workspace})
	}
	for i := range controls {
		model.controls = append(model.controls, &modelVM{name: core.VMID(fmt.Sprint("c", i)), workspace: workspace})
	}
	return model
}

func (vm *modelVM) runs(now time.Duration) bool { return now >= vm.frozenUntil && now >= vm.downUntil }

// send delivers a message unless the link is cut when it is sent or arrives. A suspended VM handles
// it later, and a VM that was started again drops it.
func (model *model) send(from, to *modelVM, run func()) {
	if model.now < from.cutUntil || model.now < to.cutUntil {
		return
	}
	delay := time.Duration(model.random.Int64N(int64(model.slowest)))
	model.messages = append(model.messages, modelMessage{at: model.now + delay, from: from, to: to, life: to.life, run: run})
}

func (model *model) deliver() {
	due := slices.Clone(model.messages[:0])
	model.messages = slices.DeleteFunc(model.messages, func(message modelMessage) bool {
		if message.at <= model.now {
			due = append(due, message)
		}
		return message.at <= model.now
	})
	for _, message := range due {
		to := message.to
		switch {
		case model.now < to.downUntil || to.life != message.life || model.now < to.cutUntil || model.now < message.from.cutUntil:
		case model.now < to.frozenUntil:
			to.inbox = append(to.inbox, message.run)
		default:
			message.run()
		}
	}
}

// step plays one step, in which each entry VM gets the requests that demand returns.
func (model *model) step(demand func(vm int) []core.Tokens) {
	model.now += modelStep
	model.assign()
	model.deliver()
	for _, vm := range slices.Concat(model.controls, model.entries) {
		if vm.runs(model.now) && len(vm.inbox) > 0 {
			inbox := vm.inbox
			vm.inbox = nil
			for _, run := range inbox {
				run()
			}
		}
	}
	for _, vm := range model.controls {
		model.propose(vm)
	}
	for i, vm := range model.entries {
		if vm.runs(model.now) {
			model.stepEntry(vm, demand(i))
		}
	}
	model.checkShares()
}

// checkShares notes if the shares that fill buckets now, at the grantor that has a lease and at the VMs
// without contact, or those that the VMs have, are more than the whole.
func (model *model) checkShares() {
	var filling, held core.QuotaShare
	for _, vm := range model.controls {
		if vm.grantor == nil || model.now >= vm.leaseEnd {
			continue
		}
		for _, member := range vm.grantor.order {
			if member.countedUntil > model.now {
				filling += member.counted
			}
		}
	}
	for _, vm := range model.entries {
		held += vm.lease.share
		if left := model.now - vm.lease.received; left >= AttachedTime && left < ownShareTime {
			filling += vm.lease.share
		}
	}
	if max(filling, held) > core.WholeQuota && model.overlap == "" {
		model.overlap = fmt.Sprintf("at %v shares of %d millionths fill buckets, and VMs have %d", model.now-time.Hour, filling, held)
	}
}

// assign renews the lease of the owner, and assigns the group to another control VM once the lease
// and its margin have ended.
func (model *model) assign() {
	if model.now%modelRenewal != 0 {
		return
	}
	alive := func(vm *modelVM) bool { return vm.runs(model.now) && model.now >= max(vm.cutUntil, vm.isolatedUntil) }
	if model.owner != nil && alive(model.owner) && model.granted > 0 {
		model.granted = model.now
		model.hold(model.owner)
		return
	}
	if model.owner != nil && model.now-model.granted < modelLease+modelMargin {
		return
	}
	for range 4 {
		next := model.controls[model.random.IntN(len(model.controls))]
		if alive(next) {
			model.owner, model.granted = next, model.now
			model.token++
			model.hold(next)
			model.publishOwner(next)
			return
		}
	}
}

// publishOwner tells each entry VM of a new owner, within a second.
func (model *model) publishOwner(owner *modelVM) {
	token := model.token
	for _, vm := range model.entries {
		at := model.now + time.Duration(model.random.Int64N(int64(time.Second)))
		model.messages = append(model.messages, modelMessage{at: at, from: &modelVM{}, to: &modelVM{}, run: func() {
			if token == model.token {
				vm.knows = owner
			}
		}})
	}
}

// hold makes a control VM the grantor, or extends its lease.
func (model *model) hold(vm *modelVM) {
	if vm.grantor == nil || vm.token != model.token {
		resumed := vm.token == model.token
		vm.token = model.token
		vm.grantor = NewGrantor(model.now, model.token, model.shares, resumed)
		vm.grantor.SetLimits(model.now, []core.Workspace{vm.workspace})
	}
	vm.leaseEnd = model.now + modelLease
}

// propose records the shares that a grantor proposes, or loses them.
func (model *model) propose(vm *modelVM) {
	if vm.grantor == nil || !vm.runs(model.now) || model.now-model.proposed < modelProposalPause {
		return
	}
	vm.grantor.SetShares(model.now, model.shares)
	next, ok := vm.grantor.Propose(model.now)
	if !ok || model.now < max(vm.cutUntil, vm.isolatedUntil) || model.random.IntN(4) == 0 {
		return
	}
	model.proposed = model.now
	token := vm.token
	model.messages = append(model.messages, modelMessage{at: model.now + time.Duration(model.random.Int64N(int64(model.slowest))), from: &modelVM{}, to: &modelVM{}, run: func() {
		if token == model.token && next.Number == model.shares.Number {
			model.shares = Shares{Number: next.Number + 1, Shares: next.Shares}
		}
	}})
}

func (model *model) stepEntry(vm *modelVM, demand []core.Tokens) {
	for _, tokens := range demand {
		model.asked++
		switch decision, _ := vm.lease.Take(model.now, &vm.workspace, tokens); decision {
		case Taken:
			model.use(tokens)
		case Refused:
			model.refused++
		default:
			if vm.backoff > model.now {
				model.takeOwn(vm, tokens)
				continue
			}
			vm.waiting = append(vm.waiting, modelRequest{model.now, tokens})
		}
	}
	if vm.call != 0 && model.now-vm.asked > modelCallTimeout {
		vm.call, vm.backoff = 0, model.now+SettleTime
	}
	for len(vm.waiting) > 0 && model.now-vm.waiting[0].at >= modelWait {
		model.takeOwn(vm, vm.waiting[0].tokens)
		vm.waiting = vm.waiting[1:]
	}
	if vm.call == 0 && vm.backoff <= model.now && (len(vm.waiting) > 0 || model.now >= vm.lease.Due() || vm.lease.Low(model.now, "w")) {
		model.ask(vm)
	}
}

func (model *model) takeOwn(vm *modelVM, tokens core.Tokens) {
	if _, ok := vm.lease.TakeOwn(model.now, &vm.workspace, tokens); ok {
		model.use(tokens)
		return
	}
	model.refused++
}

func (model *model) use(tokens core.Tokens) {
	model.used = append(model.used, modelUse{model.now, tokens})
}

// ask sends a request to the present owner, or to one that was before: an entry VM may know an old
// one.
func (model *model) ask(vm *modelVM) {
	owner := vm.knows
	if owner == nil || model.misled && model.random.IntN(20) == 0 {
		owner = model.controls[model.random.IntN(len(model.controls))]
	}
	var waiting []Waiting
	if len(vm.waiting) > 0 {
		demand := Waiting{Workspace: &vm.workspace, First: vm.waiting[0].tokens}
		for _, request := range vm.waiting {
			demand.Total += request.tokens
		}
		waiting = append(waiting, demand)
	}
	request := vm.lease.Request(model.now, vm.name, waiting)
	model.requests++
	vm.calls++
	call := vm.calls
	vm.call, vm.asked, vm.sent = call, model.now, request
	model.send(vm, owner, func() {
		if owner.grantor == nil || model.now >= owner.leaseEnd {
			return
		}
		result := owner.grantor.Grant(model.now, request)
		model.send(owner, vm, func() {
			if vm.call == call {
				model.answer(vm, result)
			}
		})
	})
}

func (model *model) answer(vm *modelVM, result Result) {
	vm.call = 0
	vm.lease.Answer(model.now, vm.asked, vm.sent, result)
	asked := vm.asked
	left := vm.waiting[:0]
	for _, request := range vm.waiting {
		switch {
		case vm.lease.TakeGranted(model.now, &vm.workspace, request.tokens):
			model.use(request.tokens)
		case request.at > asked:
			left = append(left, request)
		default:
			vm.lease.RefuseWaiting(model.now, &vm.workspace, request.tokens)
			model.refused++
		}
	}
	vm.waiting = left
}

// restart starts a VM again after some time. A grantor that is started again is still the owner.
func (model *model) restart(vm *modelVM, pause time.Duration) {
	vm.downUntil = model.now + pause
	vm.life++
	vm.inbox, vm.waiting, vm.call, vm.backoff = nil, nil, 0, 0
	vm.grantor, vm.leaseEnd = nil, 0
	if vm.lease != nil {
		vm.lease = &Lease{}
	}
}

// setLimit puts a limit in force on a VM unless it has a later one.
func (model *model) setLimit(vm *modelVM, change int, quota core.Quota) {
	if vm.change > change {
		return
	}
	vm.change = change
	vm.workspace.Quota = quota
	if vm.grantor != nil {
		vm.grantor.SetLimits(model.now, []core.Workspace{vm.workspace})
	}
	if vm.lease != nil {
		vm.lease.SetLimits(model.now, []core.Workspace{vm.workspace})
	}
}

// allowed returns the bound of the specification for the tokens that run in a window.
func allowed(quota core.Quota) float64 {
	return (float64(quota.Rate)*modelWindow.Seconds()+float64(quota.Burst))*1.1 + modelExcess
}

// derived returns the tokens that run in a window at most, by the rules of this package: the burst,
// the rate in the window and in the life of a lease before it, the debts and all own buckets.
func derived(quota core.Quota) float64 {
	const clockSteps = 100 * time.Millisecond // of the flow, and of the steps of the model
	const grantors = 5                        // that a window of 8 s holds
	return capacity(quota) + float64(quota.Rate)*(modelWindow+leaseTime+clockSteps).Seconds() + float64(maxDebt+grantors*earlyDebt) + ownCapacity(quota)
}

// TestAllowance guards against constants of this package with which more tokens run than the
// specification allows.
func TestAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := core.Quota{Rate: core.TokensPerSecond(rapid.Float64Range(0, 1e9).Draw(t, "rate")), Burst: core.Tokens(rapid.Int64Range(0, 1e12).Draw(t, "burst"))}
		if derived(quota) > allowed(quota) {
			t.Fatalf("%.0f tokens of %.0f", derived(quota), allowed(quota))
		}
	})
}

// checkWindows returns the first window in which more tokens ran than derived returns for the limits
// that were in force in it or in the 8 s before it.
func (model *model) checkWindows() error {
	first, sum := 0, core.Tokens(0)
	for _, use := range model.used {
		sum += use.tokens
		for use.at-model.used[first].at >= modelWindow {
			sum -= model.used[first].tokens
			first++
		}
		bound := 0.0
		start := use.at - modelWindow
		for _, limit := range model.limits {
			if limit.from <= use.at && limit.to >= start-modelWindow {
				bound = max(bound, derived(limit.quota))
			}
		}
		if float64(sum) > bound {
			return fmt.Errorf("%d tokens ran in the 8 s before %v, the bound is %.0f", sum, use.at-time.Hour, bound)
		}
	}
	return nil
}

// drawTokens returns the size of a request: one in 20, or half of them, may be large.
func drawTokens(random *rand.Rand, large bool) core.Tokens {
	if random.IntN(20) == 0 || large && random.IntN(2) == 0 {
		return core.Tokens(1 + random.IntN(40_000))
	}
	return core.Tokens(1 + random.IntN(1000))
}

// TestWindow guards against a workspace whose requests on all VMs exceed its limit in some window
// of 8 s, whatever stops, suspensions, partitions, slow links, bursts, changes of the limit and
// changes of the granting VM come in whatever order, and against a share of the rates that counts in
// two places at any moment. Times of little demand and no disturbance fill the buckets before.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 2, 3, 6}).Draw(t, "entries")
		model := newModel(rapid.Uint64().Draw(t, "seed"), entries, rapid.SampledFrom([]int{1, 2, 3}).Draw(t, "controls"), drawQuota(t))
		for range rapid.SampledFrom([]int{1, 2, 3}).Draw(t, "rounds") {
			model.misled, model.slowest = false, 5*time.Millisecond
			model.play(calmLoad, rapid.SampledFrom([]int{0, 300, 1000, 2000}).Draw(t, "calm"), -1)
			model.misled = rapid.Bool().Draw(t, "misled")
			model.large = rapid.Bool().Draw(t, "large")
			// Most events of a round are alike, since some errors show only when they add up.
			kind := drawKind(t)
			for range rapid.SampledFrom([]int{1, 2, 4, 8, 16}).Draw(t, "events") {
				load := rapid.SampledFrom([]float64{0, 1, 10, 10, 10, 10}).Draw(t, "load")
				model.play(load, rapid.SampledFrom([]int{1, 20, 60, 150, 400}).Draw(t, "steps"), rapid.SampledFrom([]int{-1, -1, 0, entries - 1}).Draw(t, "only"))
				if rapid.SampledFrom([]bool{true, true, false}).Draw(t, "alike") {
					model.disturb(t, kind)
				} else {
					model.disturb(t, drawKind(t))
				}
			}
			model.play(10, 300, -1)
		}
		if err := model.checkWindows(); err != nil {
			t.Fatal(err)
		}
		if model.overlap != "" {
			t.Fatal(model.overlap)
		}
	})
}

// calmLoad is the part of the rate that callers use in a calm time.
const calmLoad = 0.05

// play plays some steps in which callers ask for load times the rate and burst a second. If only
// names a VM, it gets all requests.
func (model *model) play(load float64, steps, only int) {
	for range steps {
		model.step(func(vm int) []core.Tokens { return model.demand(load, vm, only) })
	}
}

// drawQuota returns a limit whose bucket is full after at most 8 s.
func drawQuota(t *rapid.T) core.Quota {
	rate := rapid.SampledFrom([]float64{100, 5_000, 29_000, 100_000, 400_000}).Draw(t, "rate")
	seconds := rapid.SampledFrom([]float64{0, 0.1, 1, 4, 8}).Draw(t, "burst")
	return core.Quota{Rate: core.TokensPerSecond(rate), Burst: core.Tokens(rate * seconds)}
}

// demand returns the requests of a VM in one step, for all VMs together load times the rate, and from
// a load of 1 on also load times the burst in a second. If only names a VM, it gets all of them.
func (model *model) demand(load float64, vm, only int) []core.Tokens {
	if only >= 0 && vm != only {
		return nil
	}
	quota := model.entries[vm].workspace.Quota
	budget := load * float64(quota.Rate) * modelStep.Seconds()
	if load > 1 {
		// Also at a low rate there are large requests that may leave a debt.
		budget += max(20_000, load*float64(quota.Burst)*modelStep.Seconds())
	}
	if only < 0 {
		budget /= float64(len(model.entries))
	}
	var sizes []core.Tokens
	for len(sizes) < 40 {
		tokens := drawTokens(model.random, model.large)
		if budget < float64(tokens) && model.random.Float64() > budget/float64(tokens) {
			break
		}
		budget -= float64(tokens)
		sizes = append(sizes, tokens)
	}
	return sizes
}

// The kinds of disturbances.
const (
	restartOne = iota
	restartOwner
	restartAll
	freezeOne
	freezeOwner
	cutOne
	cutEntries
	isolateOwner
	slowLinks
	newLimit
	kinds
)

func drawKind(t *rapid.T) int {
	all := make([]int, kinds)
	for i := range all {
		all[i] = i
	}
	return rapid.SampledFrom(all).Draw(t, "kind")
}

// disturb plays a disturbance of the given kind.
func (model *model) disturb(t *rapid.T, kind int) {
	all := slices.Concat(model.entries, model.controls)
	vm := rapid.SampledFrom(all).Draw(t, "vm")
	owner := vm
	if model.owner != nil {
		owner = model.owner
	}
	pause := time.Duration(rapid.SampledFrom([]int{5, 20, 60, 120, 250, 600}).Draw(t, "pause")) * modelStep
	switch kind {
	case restartOne:
		model.restart(vm, pause)
	case restartOwner:
		model.restart(owner, pause)
	case restartAll:
		for _, vm := range all {
			model.restart(vm, pause/4)
		}
	case freezeOne:
		vm.frozenUntil = model.now + pause
	case freezeOwner:
		owner.frozenUntil = model.now + pause
	case cutOne:
		vm.cutUntil = model.now + pause
	case cutEntries:
		for _, entry := range model.entries {
			entry.cutUntil = model.now + pause
		}
	case isolateOwner:
		owner.isolatedUntil = model.now + pause
	case slowLinks:
		model.slowest = time.Duration(rapid.SampledFrom([]int{5, 20, 600, 3000}).Draw(t, "slowest")) * time.Millisecond
	case newLimit:
		model.changeLimit(drawQuota(t))
	}
}

// changeLimit puts a limit in force, in turn on all VMs, within two seconds.
func (model *model) changeLimit(quota core.Quota) {
	old := &model.limits[len(model.limits)-1]
	end, change := model.now, len(model.limits)
	for _, vm := range slices.Concat(model.entries, model.controls) {
		at := model.now + time.Duration(model.random.Int64N(int64(2*time.Second)))
		end = max(end, at)
		model.messages = append(model.messages, modelMessage{at: at, from: &modelVM{}, to: &modelVM{}, run: func() { model.setLimit(vm, change, quota) }})
	}
	old.to = end + modelStep
	model.limits = append(model.limits, modelLimit{quota: quota, from: model.now, to: 1 << 62})
}

// TestBelowLimit guards against refusals of a workspace that stays below its limit while contact is
// undisturbed: at 0.6 of its rate on average, with most requests at one VM and single requests of
// 40,000 tokens. It stays below if a bucket with the rate and three quarters of the burst has the
// tokens of each request. The grantor has been there for longer than earlyDebtTime.
func TestBelowLimit(t *testing.T) {
	const warmUp, steps = 1500, 6000
	for _, entries := range []int{1, 7, 70} {
		for _, uneven := range []int{0, 50, 100} {
			t.Run(fmt.Sprint(entries, " VMs, ", uneven, " percent at one"), func(t *testing.T) {
				model := newModel(7, entries, 3, core.Quota{Rate: 29_000, Burst: 58_000})
				caller := bucket{limit: core.Quota{Rate: 29_000, Burst: 43_500}}
				play := func(count int) {
					for range count {
						at := model.random.IntN(entries)
						if model.random.IntN(100) < uneven {
							at = 0
						}
						caller.fill(model.now.Seconds())
						sizes := slices.DeleteFunc(model.sizesAtRate(0.6), func(tokens core.Tokens) bool {
							ok := float64(tokens) <= caller.level
							if ok {
								caller.level -= float64(tokens)
							}
							return !ok
						})
						model.step(func(vm int) []core.Tokens {
							if vm == at {
								return sizes
							}
							return nil
						})
					}
				}
				play(warmUp)
				model.refused, model.asked, model.requests = 0, 0, 0
				play(steps)
				if model.refused > 0 {
					t.Errorf("%d of %d requests were refused", model.refused, model.asked)
				}
				t.Logf("%d requests of callers, %.1f requests a second and VM to the grantor", model.asked, float64(model.requests)/(steps*modelStep).Seconds()/float64(entries))
				if err := model.checkWindows(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// sizesAtRate returns the requests of one step for a share of the rate: one in 200 has 40,000
// tokens, the others 250 on average.
func (model *model) sizesAtRate(share float64) []core.Tokens {
	const usual, large, mean = 500, 40_000, 450
	budget := share * float64(model.entries[0].workspace.Quota.Rate) * modelStep.Seconds()
	var sizes []core.Tokens
	for budget >= mean || model.random.Float64() < budget/mean {
		budget -= mean
		tokens := core.Tokens(1 + model.random.IntN(usual))
		if model.random.IntN(200) == 0 {
			tokens = large
		}
		sizes = append(sizes, tokens)
	}
	return sizes
}
