package session

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// confirmTimeout bounds a round of the replicas; a leader without a quorum steps
	// down within it.
	confirmTimeout = time.Second
	// pushTimeout bounds a push. It is below the time of the first repetition.
	pushTimeout = 200 * time.Millisecond
	// assignTimeout bounds an assignment; after it the same one is proposed again.
	assignTimeout = time.Second
	// leaderInterval is the time between two looks at the table.
	leaderInterval = 100 * time.Millisecond
)

// caller asks another VM.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
}

// jobs runs a function on a pool of workers. The functions wait for other VMs, up to
// pushTimeout each.
type jobs interface {
	Go(job func())
}

// replica is the replica of shard 0 on this VM.
type replica interface {
	// IsLeader returns true only after everything of earlier terms is applied.
	IsLeader() (raft.Term, bool)
	Leader() core.VMID
	// Confirm returns nil if this VM led at some time after the call, with everything
	// applied that was committed before the call.
	Confirm(ctx context.Context) error
	View(read func(state *ledger.State))
	Subscribe() (changes <-chan struct{}, cancel func())
	// AssignIn has no effect outside of the given term.
	AssignIn(ctx context.Context, term raft.Term, assign ledger.Assign) (ledger.AssignResult, error)
}

// Leader is the part of the sessions on a VM with a disk. While its replica leads
// shard 0, it answers renewals, proposes owners and pushes changes.
type Leader struct {
	self    core.VMID
	budget  lease.Budget
	replica replica
	caller  caller
	jobs    jobs
	logger  *log.Logger
	confirm confirmer

	lock      sync.Mutex // part of the session table, lock 1; held for no other lock
	authority *Authority
}

// NewLeader returns the part of a VM with a disk. It works while Run runs.
func NewLeader(self core.VMID, budget lease.Budget, replica replica, caller caller, jobs jobs, logger *log.Logger) *Leader {
	return &Leader{
		self: self, budget: budget, replica: replica, caller: caller, jobs: jobs, logger: logger,
		confirm: confirmer{confirm: replica.Confirm},
	}
}

// current returns the table of the term that the replica leads, and nil if it leads
// none. A new term starts with an empty table.
func (leader *Leader) current(now time.Time) *Authority {
	term, leads := leader.replica.IsLeader()
	leader.lock.Lock()
	defer leader.lock.Unlock()
	if !leads {
		leader.authority = nil
		return nil
	}
	if leader.authority == nil || leader.authority.term != uint64(term) {
		leader.authority = NewAuthority(now, leader.self, uint64(term), leader.budget, lease.Techniques{})
		leader.logger.Info("Leading the sessions.", "term", term)
	}
	return leader.authority
}

// Renew answers a renewal. The answer names the leader if it is another VM.
func (leader *Leader) Renew(ctx context.Context, message *wire.Renew) *wire.RenewResult {
	other := &wire.RenewResult{LeaderVm: string(leader.replica.Leader()), Sequence: message.GetSequence()}
	authority := leader.current(time.Now())
	if authority == nil {
		return other
	}
	leader.observe(authority)
	grant := authority.Renewed(time.Now(), message)
	if err := leader.confirm.Wait(ctx); err != nil || leader.current(time.Now()) != authority {
		return other
	}
	return authority.Answer(message, grant, leader.read(authority, core.ConfigNumber(message.GetConfigNumber())))
}

func (leader *Leader) read(authority *Authority, has core.ConfigNumber) Reading {
	seen := authority.Seen()
	var reading Reading
	leader.replica.View(func(state *ledger.State) { reading = Read(state, seen, has) })
	return reading
}

// observe reads the state without the lists.
func (leader *Leader) observe(authority *Authority) {
	authority.Observe(leader.read(authority, ^core.ConfigNumber(0)))
}

// Run works until the context ends.
func (leader *Leader) Run(ctx context.Context) {
	changes, cancel := leader.replica.Subscribe()
	defer cancel()
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	var assigning sync.WaitGroup
	defer assigning.Wait()
	for {
		leader.step(ctx, &assigning)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}

func (leader *Leader) step(ctx context.Context, assigning *sync.WaitGroup) {
	now := time.Now()
	authority := leader.current(now)
	if authority == nil {
		return
	}
	leader.observe(authority)
	for _, assign := range authority.Tick(now) {
		assigning.Go(func() { leader.assign(ctx, authority, assign) })
	}
	for _, push := range authority.Due(now) {
		leader.jobs.Go(func() { leader.push(ctx, authority, push) })
	}
}

// assign proposes an owner in the term in which it was chosen. After an error the
// table proposes it again.
func (leader *Leader) assign(ctx context.Context, authority *Authority, assign ledger.Assign) {
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

func (leader *Leader) push(ctx context.Context, authority *Authority, push lease.Push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	message := authority.Push(push, leader.read(authority, push.Has.Config))
	response, err := leader.caller.Call(ctx, push.VM, &wire.Request{Body: &wire.Request_Push{Push: message}})
	if err != nil {
		leader.logger.Debug("Push not acknowledged.", "vm", push.VM, "error", err)
		return
	}
	if result := response.GetPushResult(); result != nil {
		authority.Acknowledged(push.Member, result)
	}
}
