package session

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// roundInterval is the interval between two consent rounds in the zone. Two of
	// them fit between the loss of contact with the leader and the end of a lease.
	roundInterval = lease.Interval / 2
	// renewTimeout bounds all attempts of one renewal, so that the next one is sent in
	// time. attemptTimeout bounds one attempt at a VM that does not answer; an answer
	// takes two round trips between zones, 6 ms.
	renewTimeout   = lease.Interval - 50*time.Millisecond
	attemptTimeout = 300 * time.Millisecond
	// retryInterval is the delay after a renewal that reached no leader. An election
	// takes up to 1.5 s of the 2 s of a lease.
	retryInterval = lease.Interval / 2
	// consentTimeout is below roundInterval, so that rounds do not overlap.
	consentTimeout = 200 * time.Millisecond
)

// crashReporter commits crash reports to the replicated state.
type crashReporter interface {
	Crash(ctx context.Context, report ledger.CrashReport) (ledger.CrashResult, error)
}

// loadRateSource returns the rate of adapter loads that each owned group could use.
type loadRateSource interface {
	Loads() map[core.GroupID]core.LoadsPerSecond
}

// Options are the dependencies and settings of a Session.
type Options struct {
	Self lease.Member
	Zone core.ZoneID
	// ZoneVMs are the other VMs of the zone. DiskVMs are all VMs with a disk.
	ZoneVMs []core.VMID
	DiskVMs []core.VMID
	Budget  lease.Budget
	Caller  caller
	// Jobs runs the pushes. If a push waits too long for a worker, the VM gets the
	// change with its next renewal.
	Jobs     workerPool
	Reporter crashReporter
	// Loads may be nil. The shares then depend on the number of groups only.
	Loads loadRateSource
	// Replica is the local replica of shard 0. It is nil on a VM without a disk.
	Replica replica
	Logger  *log.Logger
}

// Session maintains the session of this VM with the leader of shard 0.
type Session struct {
	options Options
	node    *Node
	leader  *Leader
	demand  demandTable
	finder  leaderFinder
	// renewNow triggers the next renewal without waiting for the interval.
	renewNow chan struct{}

	changedLock   sync.Mutex // leaf lock: no other lock is taken while it is held
	changedSignal chan struct{}
}

// New returns the Session of a VM that starts now. It is active while Run runs.
func New(options Options) *Session {
	session := &Session{
		options:       options,
		node:          NewNode(clock.Time(), options.Self, options.Zone, options.ZoneVMs, options.Budget),
		finder:        leaderFinder{diskVMs: options.DiskVMs},
		renewNow:      make(chan struct{}, 1),
		changedSignal: make(chan struct{}),
	}
	if options.Replica != nil {
		session.leader = NewLeader(options.Self.VM, options.Budget, options.Replica, localCaller{session, options.Caller}, options.Jobs, options.Logger)
	}
	return session
}

// localCaller handles requests to the local VM directly and sends all others through
// caller.
type localCaller struct {
	session *Session
	caller  caller
}

func (local localCaller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if vm == local.session.options.Self.VM {
		response, _ := local.session.Handle(ctx, request)
		return response, nil
	}
	return local.caller.Call(ctx, vm, request)
}

// Run renews the session and sends consent requests until ctx ends. On a VM with a
// disk it also runs the Leader.
func (session *Session) Run(ctx context.Context) {
	var loops sync.WaitGroup
	if session.leader != nil {
		loops.Go(func() { session.leader.Run(ctx) })
		loops.Go(func() { session.followReplica(ctx) })
	}
	loops.Go(func() { session.renewLoop(ctx) })
	loops.Go(func() { session.consentLoop(ctx) })
	loops.Wait()
}

// renewLoop sends renewals until ctx ends. It does not use the worker pool: engines
// that do not answer can occupy all workers, and a renewal that waits for a worker
// would cost the VM its groups.
func (session *Session) renewLoop(ctx context.Context) {
	for {
		pause := lease.Interval
		if !session.renew(ctx) {
			pause = retryInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-session.renewNow:
			timer.Stop()
		}
	}
}

func (session *Session) demands(now time.Time) []lease.Demand {
	var loads map[core.GroupID]core.LoadsPerSecond
	if session.options.Loads != nil {
		loads = session.options.Loads.Loads()
	}
	return session.demand.demands(now, loads)
}

// renew sends a renewal to the probable leader. After a failure or a redirect it tries
// another VM. It returns false if no leader answered.
func (session *Session) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	for range len(session.options.DiskVMs) + 1 {
		vm := session.finder.currentCandidate()
		response, err := session.sendRenewal(ctx, vm)
		if ctx.Err() != nil {
			session.finder.selectNext(vm)
			return false
		}
		if err != nil {
			session.options.Logger.Debug("Renewal not answered.", "vm", vm, "error", err)
			session.finder.selectNext(vm)
			continue
		}
		result := response.GetRenewResult()
		if result.GetLeader() {
			session.applyRenewResult(result)
			return true
		}
		session.finder.redirect(vm, core.VMID(result.GetLeaderVm()))
	}
	return false
}

func (session *Session) sendRenewal(ctx context.Context, vm core.VMID) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	now := clock.Time()
	renewal := session.node.Renewal(now, session.demands(now))
	caller := localCaller{session, session.options.Caller}
	return caller.Call(ctx, vm, &wire.Request{Body: &wire.Request_Renew{Renew: renewal}})
}

func (session *Session) applyRenewResult(result *wire.RenewResult) {
	if err := session.node.ApplyAnswer(clock.Time(), result); err != nil {
		session.options.Logger.Error("Configuration not applied.", "error", err)
	}
	session.notifyChange()
}

// followReplica applies the configuration of the local replica, also while no leader
// can be reached.
func (session *Session) followReplica(ctx context.Context) {
	changes, cancel := session.options.Replica.Subscribe()
	defer cancel()
	for {
		session.applyReplicaLists()
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

func (session *Session) applyReplicaLists() {
	currentNumber := session.node.Index().Number()
	var delta ledger.Delta
	session.options.Replica.View(func(state *ledger.State) {
		if state.Number() > currentNumber {
			delta = state.DeltaSince(currentNumber)
		}
	})
	if delta.To <= currentNumber {
		return
	}
	if err := session.node.Apply(delta); err != nil {
		session.options.Logger.Error("Configuration of the local replica not applied.", "error", err)
	}
	session.notifyChange()
}

// consentLoop sends consent requests to the other VMs of the zone until ctx ends. Like
// renewLoop it does not use the worker pool.
func (session *Session) consentLoop(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		now := clock.Time()
		for _, round := range session.node.Rounds(now, session.demands(now)) {
			running.Go(func() { session.runRound(ctx, round) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound sends one consent request to all other VMs of the zone in parallel and
// applies the replies.
func (session *Session) runRound(ctx context.Context, round Round) {
	ctx, cancel := context.WithTimeout(ctx, consentTimeout)
	defer cancel()
	others := round.Peers()
	granted := make([]bool, len(others))
	refused := make([]bool, len(others))
	var calls sync.WaitGroup
	for i, vm := range others {
		calls.Go(func() {
			response, err := session.options.Caller.Call(ctx, vm, round.WireRequest())
			result := response.GetConsentResult()
			granted[i] = err == nil && result.GetGranted()
			refused[i] = err == nil && result != nil && !result.GetGranted()
		})
	}
	calls.Wait()
	var replies lease.Replies
	for i, vm := range others {
		switch {
		case granted[i]:
			replies.Granted = append(replies.Granted, vm)
		case refused[i]:
			replies.Refused++
		default:
			replies.Unreachable++
		}
	}
	session.node.ApplyReplies(clock.Time(), round, replies)
}

// Handle answers a Renew, Push or Consent request of another VM. It returns false for
// any other request.
func (session *Session) Handle(ctx context.Context, request *wire.Request) (*wire.Response, bool) {
	switch body := request.GetBody().(type) {
	case *wire.Request_Renew:
		result := &wire.RenewResult{LeaderVm: string(session.finder.currentCandidate()), Sequence: body.Renew.GetSequence()}
		if session.leader != nil {
			result = session.leader.Renew(ctx, body.Renew)
		}
		return &wire.Response{Body: &wire.Response_RenewResult{RenewResult: result}}, true
	case *wire.Request_Push:
		return &wire.Response{Body: &wire.Response_PushResult{PushResult: session.applyPush(body.Push)}}, true
	case *wire.Request_Consent:
		result := session.node.Consent(clock.Time(), body.Consent)
		return &wire.Response{Body: &wire.Response_ConsentResult{ConsentResult: result}}, true
	default:
		return nil, false
	}
}

func (session *Session) applyPush(push *wire.Push) *wire.PushResult {
	result, err := session.node.ApplyPush(clock.Time(), push)
	if err != nil {
		session.options.Logger.Error("Pushed configuration not applied.", "error", err)
	}
	session.notifyChange()
	return result
}

// RecordAnnouncement records that an upstream announced itself to this VM. The next renewal
// asks the leader for an owner of its group.
func (session *Session) RecordAnnouncement(announcement core.Announcement) {
	session.demand.recordAnnouncement(clock.Time(), announcement)
}

// Index returns the index of the accepted plans and grants.
func (session *Session) Index() *admission.Index { return session.node.Index() }

// ConfigAge returns zero while the VM has a lease from the leader. Otherwise it returns
// the time since it received the last such lease, or since its start if it received none.
func (session *Session) ConfigAge() time.Duration { return session.node.ConfigAge(clock.Time()) }

// Lease returns the fencing token of a group and the time until which this VM is its
// only dispatcher. held is false if the VM has no lease on the group.
func (session *Session) Lease(group core.GroupID) (token core.FencingToken, until time.Time, held bool) {
	return session.node.Lease(clock.Time(), group)
}

// Owner returns the VM that owns a group, and false if none is known.
func (session *Session) Owner(group core.GroupID) (core.VMID, bool) {
	return session.node.Owner(clock.Time(), group)
}

// Owners returns the owners of all groups in the newest directory, sorted by group.
func (session *Session) Owners() []ledger.Ownership {
	return session.node.Owners()
}

// Groups returns the groups with a kind and name, the one of the VM's own zone first.
func (session *Session) Groups(kind core.GroupKind, name string) []core.GroupID {
	return session.node.Groups(clock.Time(), kind, name)
}

// Share returns the part of the weight store's budget that this VM may use now.
func (session *Session) Share() lease.Share { return session.node.Share(clock.Time()) }

// Crashes returns how many upstreams a request has crashed.
func (session *Session) Crashes(fingerprint core.Fingerprint) int {
	return session.node.Crashes(clock.Time(), fingerprint)
}

// ReportCrash commits a crash report to the replicated state. This VM applies the resulting
// suspicions at once, the others receive them by push.
func (session *Session) ReportCrash(ctx context.Context, report ledger.CrashReport) error {
	result, err := session.options.Reporter.Crash(ctx, report)
	if err != nil {
		return err
	}
	session.node.AddSuspicions(result.Suspicions)
	return nil
}

// Drain gives up the groups of this VM and waits until each has another owner. It
// returns the error of ctx if that ends first. The caller must start no load and no
// eviction afterwards.
func (session *Session) Drain(ctx context.Context) error {
	session.node.Drain()
	select {
	case session.renewNow <- struct{}{}:
	default:
	}
	return session.waitFor(ctx, func() bool { return !session.node.OwnsGroups() })
}

// WaitForConfig waits until the VM has the configuration number. It returns the error of ctx
// if that ends first.
func (session *Session) WaitForConfig(ctx context.Context, number core.ConfigNumber) error {
	return session.waitFor(ctx, func() bool { return session.node.Index().Number() >= number })
}

func (session *Session) waitFor(ctx context.Context, condition func() bool) error {
	for {
		session.changedLock.Lock()
		signal := session.changedSignal
		session.changedLock.Unlock()
		if condition() {
			return nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyChange wakes all callers of waitFor.
func (session *Session) notifyChange() {
	session.changedLock.Lock()
	defer session.changedLock.Unlock()
	close(session.changedSignal)
	session.changedSignal = make(chan struct{})
}
