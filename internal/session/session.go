package session

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// roundInterval is the time between two rounds of questions in the zone. Two of
	// them fit between the loss of contact and the end of a lease.
	roundInterval = lease.Interval / 2
	// renewTimeout bounds a renewal, so that the next one leaves in time and goes to
	// another disk VM.
	renewTimeout = lease.Interval - 50*time.Millisecond
	// consentTimeout is below roundInterval, so that rounds don't overlap.
	consentTimeout = 200 * time.Millisecond
)

// reporter takes crash reports into the replicated state.
type reporter interface {
	Crash(ctx context.Context, report ledger.CrashReport) (ledger.CrashResult, error)
}

// loadSource tells the rate of adapter loads that the owner of groups would use.
type loadSource interface {
	Loads() map[core.GroupID]core.LoadsPerSecond
}

// Parts are what a session needs from the other parts of the VM.
type Parts struct {
	Self lease.Member
	Zone core.ZoneID
	// ZoneVMs are the other VMs of the zone, DiskVMs all VMs with a disk.
	ZoneVMs []core.VMID
	DiskVMs []core.VMID
	Budget  lease.Budget
	Caller  caller
	// Jobs sends the pushes; those that wait too long are healed by renewals.
	Jobs     jobs
	Reporter reporter
	// Loads may be nil; the shares then follow the number of groups.
	Loads loadSource
	// Replica is that of shard 0, and nil on a VM without a disk.
	Replica replica
	Logger  *log.Logger
}

// Session keeps the VM in touch with the leader.
type Session struct {
	parts  Parts
	node   *Node
	leader *Leader
	demand demandTable
	finder finder
	// wake makes the next renewal leave at once.
	wake chan struct{}

	changeLock sync.Mutex // a leaf: nothing else is locked while it is held
	change     chan struct{}
}

// New returns the session of a VM that starts now. It works while Run runs.
func New(parts Parts) *Session {
	session := &Session{
		parts:  parts,
		node:   NewNode(time.Now(), parts.Self, parts.Zone, parts.ZoneVMs, parts.Budget),
		finder: finder{disks: parts.DiskVMs},
		wake:   make(chan struct{}, 1),
		change: make(chan struct{}),
	}
	if parts.Replica != nil {
		session.leader = NewLeader(parts.Self.VM, parts.Budget, parts.Replica, localCaller{session, parts.Caller}, parts.Jobs, parts.Logger)
	}
	return session
}

// localCaller handles requests to the own VM without a link.
type localCaller struct {
	session *Session
	caller  caller
}

func (local localCaller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if vm == local.session.parts.Self.VM {
		response, _ := local.session.Handle(ctx, request)
		return response, nil
	}
	return local.caller.Call(ctx, vm, request)
}

// Run renews the session until the context ends.
func (session *Session) Run(ctx context.Context) {
	var parts sync.WaitGroup
	if session.leader != nil {
		parts.Go(func() { session.leader.Run(ctx) })
		parts.Go(func() { session.follow(ctx) })
	}
	parts.Go(func() { session.renewals(ctx) })
	parts.Go(func() { session.rounds(ctx) })
	parts.Wait()
}

// renewals doesn't use the pool of workers: engines that don't answer occupy it, and
// a renewal that waits for a worker would cost the VM its groups.
func (session *Session) renewals(ctx context.Context) {
	ticker := time.NewTicker(lease.Interval)
	defer ticker.Stop()
	for {
		session.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-session.wake:
		}
	}
}

func (session *Session) demands(now time.Time) []lease.Demand {
	var loads map[core.GroupID]core.LoadsPerSecond
	if session.parts.Loads != nil {
		loads = session.parts.Loads.Loads()
	}
	return session.demand.demands(now, loads)
}

// renew sends one renewal to the VM that is believed to lead, and one more if the
// answer names another.
func (session *Session) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	for range 2 {
		vm := session.finder.target()
		response, err := session.send(ctx, vm)
		if err != nil {
			session.parts.Logger.Debug("Renewal not answered.", "vm", vm, "error", err)
			session.finder.failed(vm)
			return
		}
		result := response.GetRenewResult()
		if result.GetLeader() {
			session.accept(result)
			return
		}
		session.finder.redirected(vm, core.VMID(result.GetLeaderVm()))
		if result.GetLeaderVm() == "" {
			return
		}
	}
}

func (session *Session) send(ctx context.Context, vm core.VMID) (*wire.Response, error) {
	now := time.Now()
	renewal := session.node.Renewal(now, session.demands(now))
	caller := localCaller{session, session.parts.Caller}
	return caller.Call(ctx, vm, &wire.Request{Body: &wire.Request_Renew{Renew: renewal}})
}

func (session *Session) accept(result *wire.RenewResult) {
	if err := session.node.Answered(time.Now(), result); err != nil {
		session.parts.Logger.Error("Lists not applied.", "error", err)
	}
	session.changed()
}

// follow takes the lists from the own replica, also while no leader can be reached.
func (session *Session) follow(ctx context.Context) {
	changes, cancel := session.parts.Replica.Subscribe()
	defer cancel()
	for {
		session.adopt()
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

func (session *Session) adopt() {
	has := session.node.Book().Number()
	var delta ledger.Delta
	session.parts.Replica.View(func(state *ledger.State) {
		if state.Number() > has {
			delta = state.DeltaSince(has)
		}
	})
	if delta.To <= has {
		return
	}
	if err := session.node.Apply(delta); err != nil {
		session.parts.Logger.Error("Lists of the replica not applied.", "error", err)
	}
	session.changed()
}

// rounds asks the other VMs of the zone while there is something to ask. Like
// renewals it doesn't use the pool of workers.
func (session *Session) rounds(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		now := time.Now()
		for _, round := range session.node.Rounds(now, session.demands(now)) {
			asking.Go(func() { session.ask(ctx, round) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ask puts one question to all other VMs of the zone at the same time.
func (session *Session) ask(ctx context.Context, round Round) {
	ctx, cancel := context.WithTimeout(ctx, consentTimeout)
	defer cancel()
	others := round.Others()
	granted := make([]bool, len(others))
	refused := make([]bool, len(others))
	var calls sync.WaitGroup
	for i, vm := range others {
		calls.Go(func() {
			response, err := session.parts.Caller.Call(ctx, vm, round.Message())
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
	session.node.Finish(time.Now(), round, replies)
}

// Handle answers a Renew, Push or Consent request of another VM. It returns false for
// any other request.
func (session *Session) Handle(ctx context.Context, request *wire.Request) (*wire.Response, bool) {
	switch body := request.GetBody().(type) {
	case *wire.Request_Renew:
		result := &wire.RenewResult{LeaderVm: string(session.finder.target()), Sequence: body.Renew.GetSequence()}
		if session.leader != nil {
			result = session.leader.Renew(ctx, body.Renew)
		}
		return &wire.Response{Body: &wire.Response_RenewResult{RenewResult: result}}, true
	case *wire.Request_Push:
		return &wire.Response{Body: &wire.Response_PushResult{PushResult: session.pushed(body.Push)}}, true
	case *wire.Request_Consent:
		result := session.node.Consent(time.Now(), body.Consent)
		return &wire.Response{Body: &wire.Response_ConsentResult{ConsentResult: result}}, true
	default:
		return nil, false
	}
}

func (session *Session) pushed(push *wire.Push) *wire.PushResult {
	result, err := session.node.Pushed(time.Now(), push)
	if err != nil {
		session.parts.Logger.Error("Pushed lists not applied.", "error", err)
	}
	session.changed()
	return result
}

// Announced records that an upstream announced itself to this VM. The leader gives
// its group an owner.
func (session *Session) Announced(announcement core.Announcement) {
	session.demand.announced(time.Now(), announcement)
}

// Book returns the accepted lists.
func (session *Session) Book() *admission.Book { return session.node.Book() }

// ConfigAge returns the time since the last contact to the leader; zero while the VM
// has a lease.
func (session *Session) ConfigAge() time.Duration { return session.node.Age(time.Now()) }

// Lease returns the fencing token of a group, and until when this VM is its only
// dispatcher.
func (session *Session) Lease(group core.GroupID) (token core.FencingToken, until time.Time, held bool) {
	return session.node.Lease(time.Now(), group)
}

// Owner returns the VM that owns a group.
func (session *Session) Owner(group core.GroupID) (core.VMID, bool) {
	return session.node.Owner(time.Now(), group)
}

// Owners returns the owners of all groups as the leader last told, sorted by group.
func (session *Session) Owners() []ledger.Ownership {
	return session.node.Owners()
}

// Groups returns the groups of a kind and name, the own zone's first.
func (session *Session) Groups(kind core.GroupKind, name string) []core.GroupID {
	return session.node.Groups(time.Now(), kind, name)
}

// Share returns the part of the store's budget that this VM may use now.
func (session *Session) Share() lease.Share { return session.node.Share(time.Now()) }

// Crashes returns the number of upstreams that a request has crashed.
func (session *Session) Crashes(fingerprint core.Fingerprint) int {
	return session.node.Crashes(time.Now(), fingerprint)
}

// Report takes a crash into the replicated state. This VM knows the result at once,
// the others by push.
func (session *Session) Report(ctx context.Context, report ledger.CrashReport) error {
	result, err := session.parts.Reporter.Crash(ctx, report)
	if err != nil {
		return err
	}
	session.node.Suspect(result.Suspicions)
	return nil
}

// Drain gives up the groups of this VM and waits until each has another owner, or
// until the context ends. The caller starts no load and no eviction afterwards.
func (session *Session) Drain(ctx context.Context) error {
	session.node.Drain()
	select {
	case session.wake <- struct{}{}:
	default:
	}
	return session.await(ctx, func() bool { return !session.node.Owning() })
}

// Await waits until the VM has the configuration number, or until the context ends.
func (session *Session) Await(ctx context.Context, number core.ConfigNumber) error {
	return session.await(ctx, func() bool { return session.node.Book().Number() >= number })
}

func (session *Session) await(ctx context.Context, reached func() bool) error {
	for {
		session.changeLock.Lock()
		change := session.change
		session.changeLock.Unlock()
		if reached() {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changed wakes those that wait for a change.
func (session *Session) changed() {
	session.changeLock.Lock()
	defer session.changeLock.Unlock()
	close(session.change)
	session.change = make(chan struct{})
}
