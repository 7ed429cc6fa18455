package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// pick chooses the VM of the group's zone for the group by rendezvous hashing.
// VMs that already have their part of the zone's groups come last, so that a few
// groups don't gather on one VM.
func (leader *Leader) pick(now time.Time, owned ledger.Ownership, owners Owners) (Member, bool) {
	group := owned.Group
	candidates := slices.DeleteFunc(leader.candidates(now, group.Zone), func(member Member) bool { return !leader.known(member, owned) })
	if len(candidates) == 0 {
		return Member{}, false
	}
	counts, total := leader.counts(group, owners)
	bound := (total + len(candidates)) / len(candidates) // ceiling of total+1 groups
	var best Member
	var bestScore uint64
	found := false
	for _, member := range candidates {
		if counts[member] >= bound {
			continue
		}
		if score := rendezvous(group, member.VM); !found || score > bestScore {
			best, bestScore, found = member, score, true
		}
	}
	return best, found
}

// known reports whether the silent owner asks the member for consent while it is cut
// off: both have the same VMs in their settings, or the owner has heard of the
// member. A group that was given up, or never had an owner, may go to any member. An
// owner that the member's settings don't list was removed by the operator.
func (leader *Leader) known(member Member, owned ledger.Ownership) bool {
	current := leader.sessions[member]
	if owned.VM == "" || owned.VM == member.VM || leader.drained(memberOf(owned)) {
		return true
	}
	return current.zoneHash == owned.ZoneHash || !slices.Contains(current.strangers, owned.VM)
}

// candidates returns the newest live member of each VM of the zone.
func (leader *Leader) candidates(now time.Time, zone core.ZoneID) []Member {
	newest := make(map[core.VMID]Member)
	for member, current := range leader.sessions {
		if current.zone != zone || !leader.live(now, member) || leader.loses(member) {
			continue
		}
		other, ok := newest[member.VM]
		if !ok || leader.newer(member, other) {
			newest[member.VM] = member
		}
	}
	members := make([]Member, 0, len(newest))
	for _, member := range newest {
		members = append(members, member)
	}
	return members
}

func (leader *Leader) newer(member, other Member) bool {
	first, second := leader.sessions[member].first, leader.sessions[other].first
	if first.Equal(second) {
		return member.Incarnation > other.Incarnation
	}
	return first.After(second)
}

// counts returns the number of other groups of the same zone and kind per member,
// and their sum over the members that keep them.
func (leader *Leader) counts(group core.GroupID, owners Owners) (map[Member]int, int) {
	counts := make(map[Member]int)
	total := 0
	for other, owned := range owners {
		if other == group || other.Zone != group.Zone || other.Kind != group.Kind || leader.pending[other] != nil {
			continue
		}
		counts[memberOf(owned)]++
		total++
	}
	for other, under := range leader.pending {
		if other != group && other.Zone == group.Zone && other.Kind == group.Kind {
			counts[Member{under.assign.VM, under.assign.Incarnation}]++
			total++
		}
	}
	return counts, total
}

func rendezvous(group core.GroupID, vm core.VMID) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(group.String() + "\x00" + string(vm)))
	mixed := sum.Sum64()
	// FNV changes the high bits little for a change in the last byte.
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
