package session

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// confirmTimeout bounds one confirmation round. A leader without a quorum steps
	// down within this time.
	confirmTimeout = time.Second
	// pushTimeout bounds one push. It is below lease.PushRetryDelay, after which the
	// push is repeated.
	pushTimeout = 200 * time.Millisecond
	// assignTimeout bounds one assignment. The leader proposes it again afterwards.
	assignTimeout = time.Second
	// leaderInterval is the interval between two checks for due assignments and
	// pushes.
	leaderInterval = 100 * time.Millisecond
)

// caller sends a request to another VM and waits for its response.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
}

// workerPool runs functions on a pool of workers. Each function waits for another VM,
// for pushTimeout at most.
type workerPool interface {
	Go(job func())
}

// replica is the local replica of shard 0.
type replica interface {
	// IsLeader returns true only after all entries of earlier terms are applied.
	IsLeader() (raft.Term, bool)
	Leader() core.VMID
	// Confirm returns nil if this VM led at some time after the call, with everything
	// applied that was committed before the call.
	Confirm(ctx context.Context) error
	View(read func(state *ledger.State))
	Subscribe() (changes <-chan struct{}, cancel func())
	// AssignIn has no effect if term is not the current one.
	AssignIn(ctx context.Context, term raft.Term, assign ledger.Assign) (ledger.AssignResult, error)
}

// Leader manages the sessions of all VMs while the local replica leads shard 0: it
// answers renewals, proposes owners and pushes changes. It runs on each VM with a
// disk.
type Leader struct {
	self    core.VMID
	budget  lease.Budget
	replica replica
	caller  caller
	jobs    workerPool
	logger  *log.Logger
	confirm confirmer

	lock      sync.Mutex // lock 1 of the lock order; no other lock is taken while it is held
	authority *Authority
}

// NewLeader returns the Leader of a VM with a disk. It is active while Run runs.
func NewLeader(self core.VMID, budget lease.Budget, replica replica, caller caller, jobs workerPool, logger *log.Logger) *Leader {
	return &Leader{
		self: self, budget: budget, replica: replica, caller: caller, jobs: jobs, logger: logger,
		confirm: confirmer{confirm: replica.Confirm},
	}
}

// currentAuthority returns the Authority of the term in which the replica leads, or
// nil if it does not lead. Each term starts with a new Authority.
func (leader *Leader) currentAuthority(now time.Time) *Authority {
	term, leads := leader.replica.IsLeader()
	leader.lock.Lock()
	defer leader.lock.Unlock()
	if !leads {
		leader.authority = nil
		return nil
	}
	if leader.authority == nil || leader.authority.term != uint64(term) {
		leader.authority = NewAuthority(now, leader.self, uint64(term), leader.budget, lease.DeliveryOptions{})
		leader.logger.Info("Started leading the sessions.", "term", term)
	}
	return leader.authority
}

// Renew answers a renewal. If this VM does not lead, the answer names the leader it
// knows of.
func (leader *Leader) Renew(ctx context.Context, message *wire.Renew) *wire.RenewResult {
	notLeader := &wire.RenewResult{LeaderVm: string(leader.replica.Leader()), Sequence: message.GetSequence()}
	authority := leader.currentAuthority(clock.Time())
	if authority == nil {
		return notLeader
	}
	leader.observeNumbers(authority)
	grant := authority.RecordRenewal(clock.Time(), message)
	if err := leader.confirm.Wait(ctx); err != nil || leader.currentAuthority(clock.Time()) != authority {
		return notLeader
	}
	return authority.RenewResult(message, grant, leader.readState(authority, core.ConfigNumber(message.GetConfigNumber())))
}

func (leader *Leader) readState(authority *Authority, configNumber core.ConfigNumber) StateReading {
	seen := authority.SeenDirectory()
	var reading StateReading
	leader.replica.View(func(state *ledger.State) { reading = ReadState(state, seen, configNumber) })
	return reading
}

// observeNumbers updates authority from the state without reading the lists: no
// configuration is newer than the highest number.
func (leader *Leader) observeNumbers(authority *Authority) {
	authority.Observe(leader.readState(authority, ^core.ConfigNumber(0)))
}

// Run assigns owners and pushes changes until ctx ends.
func (leader *Leader) Run(ctx context.Context) {
	changes, cancel := leader.replica.Subscribe()
	defer cancel()
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	var assignments sync.WaitGroup
	defer assignments.Wait()
	for {
		leader.step(ctx, &assignments)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}

func (leader *Leader) step(ctx context.Context, assignments *sync.WaitGroup) {
	now := clock.Time()
	authority := leader.currentAuthority(now)
	if authority == nil {
		return
	}
	leader.observeNumbers(authority)
	for _, assign := range authority.DueAssignments(now) {
		assignments.Go(func() { leader.proposeOwner(ctx, authority, assign) })
	}
	for _, push := range authority.DuePushes(now) {
		leader.jobs.Go(func() { leader.sendPush(ctx, authority, push) })
	}
}

// proposeOwner proposes an owner in the term in which it was chosen. After an error
// the Authority proposes it again.
func (leader *Leader) proposeOwner(ctx context.Context, authority *Authority, assign ledger.Assign) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	result, err := leader.replica.AssignIn(ctx, raft.Term(authority.term), assign)
	if err != nil {
		leader.logger.Warn("Group not assigned.", "group", assign.Group, "vm", assign.VM, "error", err)
		return
	}
	if result.Changed {
		leader.logger.Info("Group assigned.", "group", assign.Group, "vm", assign.VM, "token", result.Ownership.Token)
	}
}

func (leader *Leader) sendPush(ctx context.Context, authority *Authority, push lease.Push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	message := authority.PushMessage(push, leader.readState(authority, push.Has.Config))
	response, err := leader.caller.Call(ctx, push.VM, &wire.Request{Body: &wire.Request_Push{Push: message}})
	if err != nil {
		leader.logger.Debug("Push not acknowledged.", "vm", push.VM, "error", err)
		return
	}
	if result := response.GetPushResult(); result != nil {
		authority.RecordAcknowledgment(push.Member, result)
	}
}
