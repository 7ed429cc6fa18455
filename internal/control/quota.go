package control

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/ownership"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// shareInterval is the least time between two commands that record shares. Entry VMs that
	// start together are recorded with few commands.
	shareInterval = 100 * time.Millisecond
	// shareTimeout bounds the commit of the shares.
	shareTimeout = time.Second
)

// quotas is the state of the VM that grants the quotas. The zero value grants none.
type quotas struct {
	// limited is set while the route table has a workspace with a limit, and number is the number
	// of that table.
	limited bool
	number  core.ConfigNumber
	// limits holds the workspaces of the table.
	limits []core.Workspace
	// grantor is nil unless this VM owns the group, with the given token.
	grantor *quota.Grantor
	token   core.FencingToken
	// grantsFrom is the earliest time at which tokens may be granted.
	grantsFrom time.Duration
	// attached and known are the numbers of VMs that were logged last.
	attached, known int
	// proposed is the time of the last command that records shares.
	proposed time.Duration
}

// setLimits stores the workspaces of the route table. The caller holds the lock.
func (control *Control) setLimits(now time.Duration, routes core.RouteTable) {
	quotas := &control.quotas
	if quotas.number == routes.Number {
		return
	}
	quotas.number, quotas.limits, quotas.limited = routes.Number, routes.Workspaces, quota.Limited(routes.Workspaces)
	if quotas.grantor != nil {
		quotas.grantor.SetLimits(now, routes.Workspaces)
	}
}

// setQuotaOwner starts or stops the granting of quotas by this VM as the replicated state says. The
// caller holds the lock.
func (control *Control) setQuotaOwner(now time.Duration, owner ledger.Ownership, shares quota.Shares) {
	quotas := &control.quotas
	switch {
	case owner.VM != control.options.VM:
		if quotas.grantor != nil {
			control.options.Logger.Info("This VM no longer grants the quotas.", "owner", owner.VM, "token", owner.Token)
			quotas.grantor, quotas.token = nil, 0
		}
	case quotas.token == owner.Token:
		quotas.grantor.SetShares(now, shares)
	default:
		quotas.grantor, quotas.token, quotas.grantsFrom = quota.NewGrantor(now, owner.Token, shares, !control.stateLoaded), owner.Token, now
		if owner.Live {
			quotas.grantsFrom += leaseTime + leaseMargin
		}
		quotas.grantor.SetLimits(now, quotas.limits)
		control.options.Logger.Info("This VM grants the quotas.", "token", owner.Token, "workspaces", len(quotas.limits), "vms", len(shares.Shares))
	}
}

// assignQuotas assigns the granting of the quotas to a control VM if its owner has no valid lease.
// Without a workspace with a limit, nobody needs an owner.
func (control *Control) assignQuotas(ctx context.Context, replica *host.Replica, term raft.Term, now, ledFor time.Duration, statuses []ownership.VMState) {
	control.lock.Lock()
	limited := control.quotas.limited
	control.lock.Unlock()
	if !limited {
		return
	}
	var owner ledger.Ownership
	replica.View(func(state *ledger.State) { owner, _ = state.Owner(core.QuotaGroup) })
	next, live, ok := leaseTiming.ChooseOwner(now, ownership.Zone{Owner: owner.VM, Standings: statuses, Leading: ledFor})
	if !ok {
		return
	}
	result, err := replica.AssignIn(ctx, term, ledger.Assign{Group: core.QuotaGroup, VM: next, Previous: owner.Token, Live: live})
	control.options.Logger.Info("The granting of the quotas was given to a control VM.", "control", next,
		"former", owner.VM, "token", result.Ownership.Token, "error", err)
}

// grantQuotas answers a request for tokens. This VM grants only while it holds a lease: then no
// other VM grants.
func (control *Control) grantQuotas(message *wire.QuotaRequest) *wire.QuotaResult {
	request := peer.QuotaRequestFromMessage(message)
	control.lock.Lock()
	defer control.lock.Unlock()
	now := clock.Now()
	quotas := &control.quotas
	if quotas.grantor == nil || now < quotas.grantsFrom || now >= control.leaseEnd {
		quotaRequestCounts.Inc("not owner", attachment(message))
		return &wire.QuotaResult{NotOwner: true}
	}
	quotaRequestCounts.Inc("granted", attachment(message))
	result := quotas.grantor.Grant(now, request)
	control.signalShares(now)
	return peer.QuotaResultMessage(result)
}

// attachment returns whether a request states that the share of its sender belongs to the grantor.
func attachment(message *wire.QuotaRequest) string {
	if message.GetAttached() {
		return "attached"
	}
	return "own share"
}

// signalShares makes shareLoop look for shares to record, at most every shareInterval. The caller
// holds the lock.
func (control *Control) signalShares(now time.Duration) {
	quotas := &control.quotas
	if now-quotas.proposed < shareInterval {
		return
	}
	quotas.proposed = now
	if attached, known := quotas.grantor.Attached(now); attached != quotas.attached || known != quotas.known {
		control.options.Logger.Info("The entry VMs that share the quotas changed.", "attached", attached, "known", known)
		quotas.attached, quotas.known = attached, known
	}
	select {
	case control.sharesDue <- struct{}{}:
	default:
	}
}

// shareLoop records the shares of the entry VMs when they change, until the context ends.
func (control *Control) shareLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-control.sharesDue:
			control.recordShares(ctx)
		}
	}
}

// recordShares commits the shares that the grantor proposes. They take effect when this VM applies
// the command.
func (control *Control) recordShares(ctx context.Context) {
	put, ok := control.proposeShares(clock.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	result, err := control.options.Commands.Propose(ctx, 0, ledger.Command{QuotaShares: &put})
	if err != nil || result.QuotaShares == nil {
		control.options.Logger.Warn("The shares of the quotas were not recorded.", "vms", len(put.Shares), "fault", result.Fault, "error", err)
		return
	}
	control.options.Logger.Info("The shares of the quotas were recorded.", "vms", len(put.Shares), "changed", result.QuotaShares.Changed)
}

// proposeShares returns the command that records the shares, or false if they are right.
func (control *Control) proposeShares(now time.Duration) (ledger.PutQuotaShares, bool) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if control.quotas.grantor == nil || now >= control.leaseEnd {
		return ledger.PutQuotaShares{}, false
	}
	shares, ok := control.quotas.grantor.Propose(now)
	return ledger.PutQuotaShares{Token: control.quotas.token, Replaces: shares.Number, Shares: shares.Shares}, ok
}
