package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Renewal is a lease renewal of a VM as the leader receives it.
type Renewal struct {
	Member
	Zone     core.ZoneID
	Sequence uint64
	// Answered is the largest sequence number whose answer the VM has received.
	Answered uint64
	// Draining is set if this member holds nothing and will hold nothing again.
	Draining bool
	Demands  []Demand
	// ZoneHash is a hash of the VMs of the zone in the VM's settings. Strangers holds the
	// VMs of the zone that may not know this incarnation of the VM.
	ZoneHash  uint64
	Strangers []core.VMID
}

// Grant is the leader's decision on a renewal. If Granted is false, the VM gets no lease.
type Grant struct {
	Granted bool
	// Share is the leased share, in addition to the minimum shares of the groups held.
	Share Share
}

// Leader is the lease state of the leader of shard 0. It is kept in memory only: a new
// leader starts with an empty state and waits until all earlier leases have ended. The
// caller must confirm its leadership after Renew and before it sends the answer.
type Leader struct {
	budget Budget
	// termStart is the start of the term, and gaplessSince the time since which the leader
	// has ticked without a gap above maxTickGap.
	termStart    time.Time
	gaplessSince time.Time
	lastTick     time.Time
	sessions     map[Member]*session
	pending      map[core.GroupID]*transfer
	targetShares map[Member]Share
	// leasedShares holds the leased shares of each member.
	leasedShares map[Member][]leasedShare
	// highestTokens holds the largest token that any VM has reported for each group.
	highestTokens map[core.GroupID]core.FencingToken
}

// session holds what the leader knows of one member from its renewals.
type session struct {
	zone      core.ZoneID
	firstSeen time.Time
	lastSeen  time.Time
	lastGrant time.Time
	sequence  uint64
	// answered is the largest sequence number whose answer the VM has received, and
	// lastAcknowledged the time when it last increased. They show whether the VM receives
	// the leader's answers.
	answered         uint64
	lastAcknowledged time.Time
	draining         bool
	demands          map[core.GroupID]Demand
	zoneHash         uint64
	// uninformed holds the VMs of the zone that may not know this one.
	uninformed []core.VMID
}

// transfer is an assignment of a group whose outcome is not known yet.
type transfer struct {
	assign   ledger.Assign
	from     Member
	proposed time.Time
}

// NewLeader returns the state of a leader whose term starts now.
func NewLeader(now time.Time, budget Budget) *Leader {
	return &Leader{
		budget:        budget,
		termStart:     now,
		gaplessSince:  now,
		lastTick:      now,
		sessions:      make(map[Member]*session),
		pending:       make(map[core.GroupID]*transfer),
		targetShares:  make(map[Member]Share),
		leasedShares:  make(map[Member][]leasedShare),
		highestTokens: make(map[core.GroupID]core.FencingToken),
	}
}

// Renew records a renewal that is received now and decides whether to grant a lease. A
// granted lease counts as in use even if the answer is never sent.
func (leader *Leader) Renew(now time.Time, renewal Renewal, owners Owners) Grant {
	leader.dropResolvedTransfers(owners)
	current := leader.session(now, renewal)
	if renewal.Sequence <= current.sequence {
		return Grant{}
	}
	current.recordRenewal(now, renewal)
	for _, demand := range renewal.Demands {
		if demand.Group.Zone == renewal.Zone {
			leader.highestTokens[demand.Group] = max(leader.highestTokens[demand.Group], demand.Seen)
		}
	}
	if now.Sub(current.lastAcknowledged) > Length || leader.losesGroup(renewal.Member) {
		return Grant{}
	}
	current.lastGrant = now
	return Grant{Granted: true, Share: leader.leaseShare(now, renewal.Member, current)}
}

func (leader *Leader) session(now time.Time, renewal Renewal) *session {
	current, ok := leader.sessions[renewal.Member]
	if !ok {
		current = &session{firstSeen: now, lastAcknowledged: now, answered: renewal.Answered}
		leader.sessions[renewal.Member] = current
	}
	return current
}

func (current *session) recordRenewal(now time.Time, renewal Renewal) {
	current.zone = renewal.Zone
	current.zoneHash = renewal.ZoneHash
	current.uninformed = renewal.Strangers
	current.lastSeen = now
	current.sequence = renewal.Sequence
	current.draining = current.draining || renewal.Draining
	if renewal.Answered > current.answered {
		current.answered = renewal.Answered
		current.lastAcknowledged = now
	}
	current.demands = make(map[core.GroupID]Demand, len(renewal.Demands))
	for _, demand := range renewal.Demands {
		current.demands[demand.Group] = demand
	}
}

// losesGroup reports whether an assignment that takes a group from the member is pending.
// A lease granted now could end after the assignment takes effect.
func (leader *Leader) losesGroup(member Member) bool {
	for _, transfer := range leader.pending {
		if transfer.from == member && !leader.drained(member) {
			return true
		}
	}
	return false
}

func (leader *Leader) drained(member Member) bool {
	current, ok := leader.sessions[member]
	return ok && current.draining
}

// leaseShare leases the member its share of the part of the budget that is distributed by
// demand. The sum of all leased shares never exceeds that part, also if answers are
// lost.
func (leader *Leader) leaseShare(now time.Time, member Member, current *session) Share {
	if current.draining || now.Sub(leader.termStart) < Length+Margin {
		return Share{} // the previous leader's shares may still be in use
	}
	free := leader.budget.demandShare()
	for other, leased := range leader.leasedShares {
		if other != member {
			free = free.minus(outstanding(leased, now))
		}
	}
	extra := leader.targetShares[member].atMost(free)
	if extra != (Share{}) {
		leader.leasedShares[member] = append(unexpired(leader.leasedShares[member], now), leasedShare{extra, now.Add(Length + Margin)})
	}
	return extra
}

// Tick returns the assignments to propose. An assignment stays pending and is returned
// again after a second until owners contains another token for its group, because a
// proposal that returned an error may still be applied.
func (leader *Leader) Tick(now time.Time, owners Owners) []ledger.Assign {
	if now.Sub(leader.lastTick) > maxTickGap {
		leader.gaplessSince = now
	}
	leader.lastTick = now
	leader.dropResolvedTransfers(owners)
	leader.prune(now, owners)
	leader.updateTargetShares(now, owners)
	var assigns []ledger.Assign
	for _, group := range leader.knownGroups(now, owners) {
		if assign, ok := leader.decideAssignment(now, group, owners); ok {
			assigns = append(assigns, assign)
		}
	}
	return assigns
}

// dropResolvedTransfers deletes the pending assignments whose outcome is known, because
// the token of the group has changed.
func (leader *Leader) dropResolvedTransfers(owners Owners) {
	maps.DeleteFunc(leader.pending, func(group core.GroupID, transfer *transfer) bool {
		return owners[group].Token != transfer.assign.Previous
	})
}

// prune deletes the leased shares that have ended, and the sessions of members that own no
// group and have not renewed for sessionExpiry.
func (leader *Leader) prune(now time.Time, owners Owners) {
	holding := make(map[Member]bool, len(owners))
	for _, owned := range owners {
		holding[memberOf(owned)] = true
	}
	maps.DeleteFunc(leader.leasedShares, func(_ Member, leased []leasedShare) bool { return outstanding(leased, now) == Share{} })
	maps.DeleteFunc(leader.sessions, func(member Member, current *session) bool {
		return !holding[member] && now.Sub(current.lastSeen) > sessionExpiry
	})
}

// updateTargetShares computes the target share of each owner of engine groups in
// proportion to its demand, or to its number of groups if there is no demand.
func (leader *Leader) updateTargetShares(now time.Time, owners Owners) {
	demands := make(map[Member]float64)
	counts := make(map[Member]float64)
	total := 0.0
	for group, owned := range owners {
		member := memberOf(owned)
		if group.Kind != core.EngineGroup || !leader.hasLiveLease(now, member) {
			continue
		}
		loads := float64(leader.sessions[member].demands[group].Loads)
		demands[member] += max(0, loads)
		counts[member]++
		total += max(0, loads)
	}
	if total <= 0 {
		demands = counts
	}
	weights := make([]memberWeight, 0, len(demands))
	for member, loads := range demands {
		weights = append(weights, memberWeight{member, loads})
	}
	slices.SortFunc(weights, func(a, b memberWeight) int { return compareMembers(a.member, b.member) })
	leader.targetShares = divide(leader.budget.demandShare(), weights)
}

// knownGroups returns the groups that have an owner and those that a VM with a live lease
// in their zone reports as wanted, sorted.
func (leader *Leader) knownGroups(now time.Time, owners Owners) []core.GroupID {
	known := make(map[core.GroupID]bool, len(owners))
	for group := range owners {
		known[group] = true
	}
	for member, current := range leader.sessions {
		if !leader.hasLiveLease(now, member) {
			continue
		}
		for group, demand := range current.demands {
			if demand.Wanted && group.Zone == current.zone {
				known[group] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(known), CompareGroups)
}

// CompareGroups orders groups by zone, kind and name.
func CompareGroups(a, b core.GroupID) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// decideAssignment returns the assignment of a group to propose now, and false if there is
// none. An owner is replaced only if all its leases have ended or it is draining.
func (leader *Leader) decideAssignment(now time.Time, group core.GroupID, owners Owners) (ledger.Assign, bool) {
	if transfer, ok := leader.pending[group]; ok {
		if now.Sub(transfer.proposed) < time.Second {
			return ledger.Assign{}, false
		}
		transfer.proposed = now
		return transfer.assign, true
	}
	owned, ok := owners[group]
	if !ok {
		return leader.proposeFirstOwner(now, group, owners)
	}
	if now.Sub(leader.termStart) < Length+Margin || now.Sub(leader.gaplessSince) < Length+Margin {
		return ledger.Assign{}, false
	}
	if leader.leasesExpired(now, memberOf(owned)) {
		return leader.proposeOwner(now, owned, owners)
	}
	if leader.highestTokens[group] > owned.Token { // the group was taken over without contact to the leader
		return leader.startTransfer(now, owned, memberOf(owned)), true
	}
	return ledger.Assign{}, false
}

func (leader *Leader) proposeFirstOwner(now time.Time, group core.GroupID, owners Owners) (ledger.Assign, bool) {
	if now.Sub(leader.termStart) < groupCreationDelay || leader.zoneFull(group, owners) {
		return ledger.Assign{}, false
	}
	return leader.proposeOwner(now, ledger.Ownership{Group: group}, owners)
}

// zoneFull reports whether the zone already has the maximum number of engine groups, one
// for each minimum share of the budget.
func (leader *Leader) zoneFull(group core.GroupID, owners Owners) bool {
	if group.Kind != core.EngineGroup || leader.budget.GroupsPerZone <= 0 {
		return false
	}
	count := 0
	for other := range owners {
		if other.Zone == group.Zone && other.Kind == core.EngineGroup {
			count++
		}
	}
	for other, transfer := range leader.pending {
		if other.Zone == group.Zone && other.Kind == core.EngineGroup && transfer.assign.Previous == 0 {
			count++
		}
	}
	return count >= leader.budget.GroupsPerZone
}

// proposeOwner selects a new owner for a group and starts the transfer to it. It returns
// false if there is no candidate.
func (leader *Leader) proposeOwner(now time.Time, owned ledger.Ownership, owners Owners) (ledger.Assign, bool) {
	to, ok := leader.selectOwner(now, owned, owners)
	if !ok {
		return ledger.Assign{}, false
	}
	return leader.startTransfer(now, owned, to), true
}

// startTransfer records the assignment of a group as pending and returns it.
func (leader *Leader) startTransfer(now time.Time, owned ledger.Ownership, to Member) ledger.Assign {
	assign := ledger.Assign{Group: owned.Group, VM: to.VM, Incarnation: to.Incarnation, Previous: owned.Token}
	if current, ok := leader.sessions[to]; ok {
		assign.ZoneHash = current.zoneHash
	}
	from := memberOf(owned)
	if from == to {
		from = Member{} // a new token for the same owner takes no group from it
	}
	leader.pending[owned.Group] = &transfer{assign: assign, from: from, proposed: now}
	return assign
}

// leasesExpired reports whether every lease of the member has ended, including the
// margin, or the member is draining.
func (leader *Leader) leasesExpired(now time.Time, member Member) bool {
	last := leader.termStart
	if current, ok := leader.sessions[member]; ok {
		if current.draining {
			return true
		}
		if current.lastGrant.After(last) {
			last = current.lastGrant
		}
	}
	return now.Sub(last) >= Length+Margin
}

// hasLiveLease reports whether the member is not draining and has a lease that it may
// still use.
func (leader *Leader) hasLiveLease(now time.Time, member Member) bool {
	current, ok := leader.sessions[member]
	return ok && !current.draining && !current.lastGrant.IsZero() && now.Sub(current.lastGrant) < Length
}
