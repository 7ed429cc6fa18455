package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Renewal is one VM's renewal as the leader receives it.
type Renewal struct {
	Member
	Zone     core.ZoneID
	Sequence uint64
	// Answered is the largest sequence whose answer the VM has received.
	Answered uint64
	// Draining states that this member holds nothing and never will again.
	Draining bool
	Demands  []Demand
}

// Grant is the answer to a renewal. Without Granted the VM gets no lease.
type Grant struct {
	Granted bool
	// Share is the part of the budget above the minimum shares of the groups held.
	Share Share
}

// Leader is the side table of the leader of shard 0. It lives in memory only: a
// new leader starts with an empty one and waits until every earlier lease has
// ended. The caller must confirm its leadership between Renew and the answer.
type Leader struct {
	budget Budget
	// since is the start of the term, and watched the start of the time in which
	// the leader has ticked without a gap.
	since    time.Time
	watched  time.Time
	ticked   time.Time
	sessions map[Member]*session
	pending  map[core.GroupID]*move
	targets  map[Member]Share
	// leased holds the shares of the members that have any.
	leased map[Member][]leasedShare
	// highest holds the largest token that a VM has reported of each group.
	highest map[core.GroupID]core.FencingToken
}

type session struct {
	zone     core.ZoneID
	first    time.Time
	seen     time.Time
	granted  time.Time
	sequence uint64
	// answered and acked tell whether the VM receives the answers.
	answered uint64
	acked    time.Time
	draining bool
	demands  map[core.GroupID]Demand
}

// move is an assignment whose outcome is not known yet.
type move struct {
	assign   ledger.Assign
	from     Member
	proposed time.Time
}

// NewLeader returns the table of a leader whose term starts now.
func NewLeader(now time.Time, budget Budget) *Leader {
	return &Leader{
		budget:   budget,
		since:    now,
		watched:  now,
		ticked:   now,
		sessions: make(map[Member]*session),
		pending:  make(map[core.GroupID]*move),
		targets:  make(map[Member]Share),
		leased:   make(map[Member][]leasedShare),
		highest:  make(map[core.GroupID]core.FencingToken),
	}
}

// Renew records a renewal at the time of its receipt and decides about the lease.
// A grant counts as given even if the answer is never sent.
func (leader *Leader) Renew(now time.Time, renewal Renewal, owners Owners) Grant {
	leader.settle(owners)
	current := leader.session(now, renewal)
	if renewal.Sequence <= current.sequence {
		return Grant{}
	}
	current.record(now, renewal)
	for _, demand := range renewal.Demands {
		if demand.Group.Zone == renewal.Zone {
			leader.highest[demand.Group] = max(leader.highest[demand.Group], demand.Seen)
		}
	}
	if now.Sub(current.acked) > Length || leader.loses(renewal.Member) {
		return Grant{}
	}
	current.granted = now
	return Grant{Granted: true, Share: leader.share(now, renewal.Member, current)}
}

func (leader *Leader) session(now time.Time, renewal Renewal) *session {
	current, ok := leader.sessions[renewal.Member]
	if !ok {
		current = &session{first: now, acked: now, answered: renewal.Answered}
		leader.sessions[renewal.Member] = current
	}
	return current
}

func (current *session) record(now time.Time, renewal Renewal) {
	current.zone = renewal.Zone
	current.seen = now
	current.sequence = renewal.Sequence
	current.draining = current.draining || renewal.Draining
	if renewal.Answered > current.answered {
		current.answered = renewal.Answered
		current.acked = now
	}
	current.demands = make(map[core.GroupID]Demand, len(renewal.Demands))
	for _, demand := range renewal.Demands {
		current.demands[demand.Group] = demand
	}
}

// loses reports whether an assignment that takes a group from the member is under
// way. A lease granted now could outlast the assignment.
func (leader *Leader) loses(member Member) bool {
	for _, one := range leader.pending {
		if one.from == member && !leader.drained(member) {
			return true
		}
	}
	return false
}

func (leader *Leader) drained(member Member) bool {
	current, ok := leader.sessions[member]
	return ok && current.draining
}

// share leases the member its part of the budget above the minimum shares. The
// leased shares of all others and this one never exceed that part, whatever
// answers are lost.
func (leader *Leader) share(now time.Time, member Member, current *session) Share {
	if current.draining || now.Sub(leader.since) < Length+Margin {
		return Share{} // the previous leader's shares may still be in use
	}
	free := leader.budget.spare()
	for other, leased := range leader.leased {
		if other != member {
			free = free.minus(outstanding(leased, now))
		}
	}
	extra := leader.targets[member].atMost(free)
	if extra != (Share{}) {
		leader.leased[member] = append(unexpired(leader.leased[member], now), leasedShare{extra, now.Add(Length + Margin)})
	}
	return extra
}

// Tick returns the assignments to propose. An assignment stays under way, and is
// returned again after a second, until the owners show another token for its
// group: the proposal's error alone doesn't tell whether it may still be applied.
func (leader *Leader) Tick(now time.Time, owners Owners) []ledger.Assign {
	if now.Sub(leader.ticked) > tickGap {
		leader.watched = now
	}
	leader.ticked = now
	leader.settle(owners)
	leader.prune(now, owners)
	leader.weigh(now, owners)
	var assigns []ledger.Assign
	for _, group := range leader.groups(now, owners) {
		if assign, ok := leader.decide(now, group, owners); ok {
			assigns = append(assigns, assign)
		}
	}
	return assigns
}

// settle forgets the assignments whose outcome the owners show.
func (leader *Leader) settle(owners Owners) {
	maps.DeleteFunc(leader.pending, func(group core.GroupID, one *move) bool {
		return owners[group].Token != one.assign.Previous
	})
}

func (leader *Leader) prune(now time.Time, owners Owners) {
	holding := make(map[Member]bool, len(owners))
	for _, owned := range owners {
		holding[memberOf(owned)] = true
	}
	maps.DeleteFunc(leader.leased, func(_ Member, leased []leasedShare) bool { return outstanding(leased, now) == Share{} })
	maps.DeleteFunc(leader.sessions, func(member Member, current *session) bool {
		return !holding[member] && now.Sub(current.seen) > forget
	})
}

// weigh sets the target of each owner of engine groups: by demand, or by the
// number of groups while there is no demand.
func (leader *Leader) weigh(now time.Time, owners Owners) {
	demands := make(map[Member]float64)
	counts := make(map[Member]float64)
	total := 0.0
	for group, owned := range owners {
		member := memberOf(owned)
		if group.Kind != core.EngineGroup || !leader.live(now, member) {
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
	weights := make([]weight, 0, len(demands))
	for member, loads := range demands {
		weights = append(weights, weight{member, loads})
	}
	slices.SortFunc(weights, func(a, b weight) int { return compareMembers(a.member, b.member) })
	leader.targets = divide(leader.budget.spare(), weights)
}

// groups returns the owned groups and those that a live VM of their zone reports.
func (leader *Leader) groups(now time.Time, owners Owners) []core.GroupID {
	known := make(map[core.GroupID]bool, len(owners))
	for group := range owners {
		known[group] = true
	}
	for member, current := range leader.sessions {
		if !leader.live(now, member) {
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

func (leader *Leader) decide(now time.Time, group core.GroupID, owners Owners) (ledger.Assign, bool) {
	if under, ok := leader.pending[group]; ok {
		if now.Sub(under.proposed) < time.Second {
			return ledger.Assign{}, false
		}
		under.proposed = now
		return under.assign, true
	}
	owned, ok := owners[group]
	if !ok {
		return leader.create(now, group, owners)
	}
	if now.Sub(leader.since) < Length+Margin || now.Sub(leader.watched) < Length+Margin {
		return ledger.Assign{}, false
	}
	if leader.silent(now, memberOf(owned)) {
		return leader.propose(now, owned, owners)
	}
	if leader.highest[group] > owned.Token { // left behind by a takeover in a cut-off zone
		return leader.begin(now, owned, memberOf(owned)), true
	}
	return ledger.Assign{}, false
}

func (leader *Leader) create(now time.Time, group core.GroupID, owners Owners) (ledger.Assign, bool) {
	if now.Sub(leader.since) < settle || leader.full(group, owners) {
		return ledger.Assign{}, false
	}
	return leader.propose(now, ledger.Ownership{Group: group}, owners)
}

// full reports whether the zone has as many engine groups as the budget has
// minimum shares for.
func (leader *Leader) full(group core.GroupID, owners Owners) bool {
	if group.Kind != core.EngineGroup || leader.budget.GroupsPerZone <= 0 {
		return false
	}
	count := 0
	for other := range owners {
		if other.Zone == group.Zone && other.Kind == core.EngineGroup {
			count++
		}
	}
	for other, under := range leader.pending {
		if other.Zone == group.Zone && other.Kind == core.EngineGroup && under.assign.Previous == 0 {
			count++
		}
	}
	return count >= leader.budget.GroupsPerZone
}

func (leader *Leader) propose(now time.Time, owned ledger.Ownership, owners Owners) (ledger.Assign, bool) {
	to, ok := leader.pick(now, owned.Group, owners)
	if !ok {
		return ledger.Assign{}, false
	}
	return leader.begin(now, owned, to), true
}

func (leader *Leader) begin(now time.Time, owned ledger.Ownership, to Member) ledger.Assign {
	assign := ledger.Assign{Group: owned.Group, VM: to.VM, Incarnation: to.Incarnation, Previous: owned.Token}
	from := memberOf(owned)
	if from == to {
		from = Member{} // a fresh token for the same owner takes nothing away
	}
	leader.pending[owned.Group] = &move{assign: assign, from: from, proposed: now}
	return assign
}

// silent reports whether every lease of the member has ended, or the member has
// given its groups up.
func (leader *Leader) silent(now time.Time, member Member) bool {
	last := leader.since
	if current, ok := leader.sessions[member]; ok {
		if current.draining {
			return true
		}
		if current.granted.After(last) {
			last = current.granted
		}
	}
	return now.Sub(last) >= Length+Margin
}

// live reports whether the member has a lease that it may still use.
func (leader *Leader) live(now time.Time, member Member) bool {
	current, ok := leader.sessions[member]
	return ok && !current.draining && !current.granted.IsZero() && now.Sub(current.granted) < Length
}
