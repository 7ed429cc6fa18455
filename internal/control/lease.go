package control

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/ownership"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// leaseTime is the length of a lease. The holder counts it from the time at which it
	// sent the renewal.
	leaseTime = 2 * time.Second
	// leaseMargin covers the drift between the clocks of two VMs during a lease, and a
	// leader that grants one more lease while it is being replaced.
	leaseMargin = 1500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 500 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 400 * time.Millisecond
	// reclaimAfter is the time for which a VM of the zone must have been heard of without a
	// gap before it takes the zone back from a VM of another zone.
	reclaimAfter = 6 * time.Second
	// engineGroupName is the name of the group of all engines of a zone.
	engineGroupName = "engines"
)

// renewLoop renews the lease of this VM and updates the list of control VMs, until the
// context ends.
func (control *Control) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		control.renewLease(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewLease asks the control VMs one after another until the leader grants a lease.
func (control *Control) renewLease(ctx context.Context) {
	request := &wire.Request{Body: &wire.Request_Hold{Hold: &wire.Hold{
		Vm: string(control.options.VM), Zone: string(control.options.Zone), OperatorAddress: control.options.OperatorAddress,
		Features: peer.FeatureMessages(core.SupportedFeatures()),
	}}}
	for _, vm := range control.leaseCandidates() {
		sent := clock.Now()
		result := control.requestLease(ctx, vm, request)
		if result == nil {
			continue
		}
		control.addPeers(result)
		if result.GetLeader() {
			control.applyLease(sent, result)
			return
		}
	}
}

// applyLease extends the lease of this VM by a grant that it requested at the time sent. A
// VM that was disconnected may not know yet that its zones were assigned to others, so a
// grant counts only if this VM has applied all that the leader had applied when it granted
// the lease.
func (control *Control) applyLease(sent time.Duration, result *wire.HoldResult) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if control.applied < result.GetApplied() {
		return // the next renewal requests the lease again
	}
	control.leaseEnd = sent + time.Duration(result.GetLeaseMillis())*time.Millisecond
}

// requestLease sends a renewal to a control VM. It returns nil if there is no answer.
func (control *Control) requestLease(ctx context.Context, vm core.VMID, request *wire.Request) *wire.HoldResult {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if vm == control.options.VM {
		return control.grantLease(ctx, request.GetHold())
	}
	response, err := control.options.Calls.Call(ctx, vm, request)
	if err != nil {
		control.options.Logger.Debug("A control VM did not answer the lease renewal.", "control", vm, "error", err)
		return nil
	}
	return response.GetHoldResult()
}

// leaseCandidates returns the control VMs in the order in which they are asked for a
// lease: the presumed leader first.
func (control *Control) leaseCandidates() []core.VMID {
	var order []core.VMID
	if replica, ok := control.options.Host.Replica(0); ok {
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

// addPeers adds the control VMs that another one knows.
func (control *Control) addPeers(result *wire.HoldResult) {
	if control.peers.recordMentions(clock.Now(), result.GetControlVms()) {
		control.hub.publishState()
	}
}

// grantLease answers a renewal with the known control VMs. It grants a lease only if this
// VM is the leader and a quorum confirms it.
func (control *Control) grantLease(ctx context.Context, hold *wire.Hold) *wire.HoldResult {
	vm := core.VMID(hold.GetVm())
	now := clock.Now()
	if control.peers.recordContact(now, Peer{VM: vm, Zone: core.ZoneID(hold.GetZone()), OperatorAddress: hold.GetOperatorAddress()}) {
		control.options.Logger.Info("A control VM joined.", "control", vm, "zone", hold.GetZone())
		control.hub.publishState()
	}
	control.peers.recordFeatures(vm, peer.FeaturesFromMessage(hold.GetFeatures()))
	result := &wire.HoldResult{ControlVms: control.peers.messagesWithFeatures(now)}
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return result
	}
	result.LeaderVm = string(replica.Leader())
	if _, leads := replica.IsLeader(); !leads || replica.Confirm(ctx) != nil {
		return result
	}
	control.peers.recordGrant(clock.Now(), vm)
	result.Leader, result.LeaseMillis = true, leaseTime.Milliseconds()
	replica.View(func(state *ledger.State) { result.Applied = state.Applied() })
	return result
}

// assignLoop assigns the engines of each zone and the granting of the quotas to a control VM while this VM leads the
// replicas, until the context ends.
func (control *Control) assignLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var term raft.Term
	var leaderSince time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		replica, ok := control.options.Host.Replica(0)
		if !ok {
			continue
		}
		current, leads := replica.IsLeader()
		if !leads {
			term = 0
			continue
		}
		now := clock.Now()
		if current != term {
			term, leaderSince = current, now
		}
		control.assignZones(ctx, replica, term, now, now-leaderSince)
	}
}

// leaseTiming holds the times that decide on the assignment of zones.
var leaseTiming = ownership.Timing{Lease: leaseTime, Margin: leaseMargin, Steady: reclaimAfter}

// assignZones assigns each zone without an owner, each zone whose owner has no valid lease,
// and each zone that a VM of the zone itself takes back from a VM of another one. ledFor is
// the time for which this VM has led.
func (control *Control) assignZones(ctx context.Context, replica *host.Replica, term raft.Term, now, ledFor time.Duration) {
	statuses := control.peers.statuses(now)
	control.assignQuotas(ctx, replica, term, now, ledFor, statuses)
	for _, zone := range control.zones() {
		group := core.GroupID{Zone: zone, Kind: core.EngineGroup, Name: engineGroupName}
		var owner ledger.Ownership
		replica.View(func(state *ledger.State) { owner, _ = state.Owner(group) })
		next, live, ok := leaseTiming.ChooseOwner(now, ownership.Zone{Zone: zone, Owner: owner.VM, Standings: statuses, Leading: ledFor})
		if !ok {
			continue
		}
		assign := ledger.Assign{Group: group, VM: next, Previous: owner.Token, Live: live}
		result, err := replica.AssignIn(ctx, term, assign)
		control.options.Logger.Info("The engines of a zone were given to a control VM.", "zone", zone, "control", next,
			"former", owner.VM, "token", result.Ownership.Token, "error", err)
	}
}

// zones returns the zones that contain a known engine or control VM.
func (control *Control) zones() []core.ZoneID {
	control.lock.Lock()
	defer control.lock.Unlock()
	seen := make(map[core.ZoneID]bool)
	var zones []core.ZoneID
	for _, instance := range control.known.All() {
		if _, isEngine := control.engineSpecs[instance.Service]; isEngine && !seen[instance.Zone] {
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
