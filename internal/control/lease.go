package control

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/ownership"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// leaseTime is the length of a lease, from the sending of its renewal.
	leaseTime = 2 * time.Second
	// leaseMargin covers the time by which clocks of two VMs drift apart during a lease,
	// and a leader that gives a last lease while it is being replaced.
	leaseMargin = 1500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 500 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 400 * time.Millisecond
	// steadyBefore is the time for which a VM of the zone must have been heard before it
	// takes the zone back from a VM of another one.
	steadyBefore = 6 * time.Second
	// enginesName is the name of the group of all engines of a zone.
	enginesName = "engines"
)

// renew keeps the lease of this VM and the list of control VMs up to date.
func (control *Control) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		control.renewOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (control *Control) renewOnce(ctx context.Context) {
	request := &wire.Request{Body: &wire.Request_Hold{Hold: &wire.Hold{
		Vm: string(control.parts.VM), Zone: string(control.parts.Zone), OperatorAddress: control.parts.OperatorAddress,
	}}}
	for _, vm := range control.leaderFirst() {
		sent := clock.Now()
		result := control.hold(ctx, vm, request)
		if result == nil {
			continue
		}
		control.learn(result)
		if result.GetLeader() {
			control.extend(sent, result)
			return
		}
	}
}

// extend takes in a lease that was asked for at the time sent. A VM that has been away may
// not know yet that its zones were given to others: its lease counts only once it has taken
// in what the leader had applied when it gave the lease.
func (control *Control) extend(sent time.Duration, result *wire.HoldResult) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if control.applied < result.GetApplied() {
		return // asked for again with the next renewal
	}
	control.lease = sent + time.Duration(result.GetLeaseMillis())*time.Millisecond
}

func (control *Control) hold(ctx context.Context, vm core.VMID, request *wire.Request) *wire.HoldResult {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if vm == control.parts.VM {
		return control.grant(ctx, request.GetHold())
	}
	response, err := control.parts.Calls.Call(ctx, vm, request)
	if err != nil {
		control.parts.Logger.Debug("A control VM did not answer the renewal.", "control", vm, "error", err)
		return nil
	}
	return response.GetHoldResult()
}

// leaderFirst returns the control VMs in the order in which they are asked for a lease.
func (control *Control) leaderFirst() []core.VMID {
	var order []core.VMID
	if replica, ok := control.parts.Host.Replica(0); ok {
		if leader := replica.Leader(); leader != "" {
			order = append(order, leader)
		}
	}
	for _, vm := range control.peers.withSeeds() {
		if !slices.Contains(order, vm) {
			order = append(order, vm)
		}
	}
	return order
}

// learn takes in the control VMs that another one knows.
func (control *Control) learn(result *wire.HoldResult) {
	changed := false
	now := clock.Now()
	for _, message := range result.GetControlVms() {
		changed = control.peers.hear(now, peerOf(message)) || changed
	}
	if changed {
		control.hub.state()
	}
}

// grant answers a renewal. Only a leader that a quorum confirms gives a lease.
func (control *Control) grant(ctx context.Context, hold *wire.Hold) *wire.HoldResult {
	vm := core.VMID(hold.GetVm())
	now := clock.Now()
	if control.peers.hear(now, Peer{VM: vm, Zone: core.ZoneID(hold.GetZone()), OperatorAddress: hold.GetOperatorAddress()}) {
		control.parts.Logger.Info("A control VM has come.", "control", vm, "zone", hold.GetZone())
		control.hub.state()
	}
	result := &wire.HoldResult{ControlVms: peerMessages(control.peers.All())}
	replica, ok := control.parts.Host.Replica(0)
	if !ok {
		return result
	}
	result.LeaderVm = string(replica.Leader())
	if _, leads := replica.IsLeader(); !leads || replica.Confirm(ctx) != nil {
		return result
	}
	control.peers.grant(clock.Now(), vm)
	result.Leader, result.LeaseMillis = true, leaseTime.Milliseconds()
	replica.View(func(state *ledger.State) { result.Applied = state.Applied() })
	return result
}

// lead gives the engines of each zone to a control VM while this VM leads the replicas.
func (control *Control) lead(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var term raft.Term
	var since time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		replica, ok := control.parts.Host.Replica(0)
		if !ok {
			continue
		}
		present, leads := replica.IsLeader()
		if !leads {
			term = 0
			continue
		}
		now := clock.Now()
		if present != term {
			term, since = present, now
		}
		control.assign(ctx, replica, term, now, now-since)
	}
}

// leases are the times by which zones are given away.
var leases = ownership.Timing{Lease: leaseTime, Margin: leaseMargin, Steady: steadyBefore}

// assign gives away the zones that have no owner, or whose owner has no lease any more.
func (control *Control) assign(ctx context.Context, replica *host.Replica, term raft.Term, now, leading time.Duration) {
	standings := control.peers.standings(now)
	for _, zone := range control.zones() {
		group := core.GroupID{Zone: zone, Kind: core.EngineGroup, Name: enginesName}
		var owner ledger.Ownership
		replica.View(func(state *ledger.State) { owner, _ = state.Owner(group) })
		next, live, ok := leases.Choose(now, ownership.Zone{Zone: zone, Owner: owner.VM, Standings: standings, Leading: leading})
		if !ok {
			continue
		}
		assign := ledger.Assign{Group: group, VM: next, Previous: owner.Token, Live: live}
		result, err := replica.AssignIn(ctx, term, assign)
		control.parts.Logger.Info("The engines of a zone were given to a control VM.", "zone", zone, "control", next,
			"former", owner.VM, "token", result.Ownership.Token, "error", err)
	}
}

// zones returns the zones of the known engines and control VMs.
func (control *Control) zones() []core.ZoneID {
	control.lock.Lock()
	defer control.lock.Unlock()
	seen := make(map[core.ZoneID]bool)
	var zones []core.ZoneID
	for _, instance := range control.known.All() {
		if _, isEngine := control.spec[instance.Service]; isEngine && !seen[instance.Zone] {
			seen[instance.Zone] = true
			zones = append(zones, instance.Zone)
		}
	}
	for _, peer := range control.peers.All() {
		if !seen[peer.Zone] {
			seen[peer.Zone] = true
			zones = append(zones, peer.Zone)
		}
	}
	return zones
}
