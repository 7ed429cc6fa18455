package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// selectOwner chooses a VM of the group's zone as owner by rendezvous hashing. It skips
// VMs that already own their part of the zone's groups, because hashing alone can assign
// most of a small number of groups to one VM. It returns false if there is no candidate.
func (leader *Leader) selectOwner(now time.Time, owned ledger.Ownership, owners Owners) (Member, bool) {
	group := owned.Group
	candidates := slices.DeleteFunc(leader.candidates(now, group.Zone), func(member Member) bool { return !leader.eligible(member, owned) })
	if len(candidates) == 0 {
		return Member{}, false
	}
	counts, total := leader.countGroups(group, owners)
	bound := (total + len(candidates)) / len(candidates) // (total+1)/len(candidates), rounded up
	var best Member
	var bestScore uint64
	found := false
	for _, member := range candidates {
		if counts[member] >= bound {
			continue
		}
		if score := rendezvousScore(group, member.VM); !found || score > bestScore {
			best, bestScore, found = member, score, true
		}
	}
	return best, found
}

// eligible reports whether a group may be assigned to the member although its owner may
// be running without contact to the leader. The owner must then be known to ask the
// member for consent: both have the same VMs in their settings, or the owner knows the
// member. A group that has no owner, or that its owner gave up, may be assigned to any
// member. An owner that is not in the member's settings was removed by the operator.
func (leader *Leader) eligible(member Member, owned ledger.Ownership) bool {
	current := leader.sessions[member]
	if owned.VM == "" || owned.VM == member.VM || leader.drained(memberOf(owned)) {
		return true
	}
	return current.zoneHash == owned.ZoneHash || !slices.Contains(current.uninformed, owned.VM)
}

// candidates returns the newest member with a live lease of each VM of the zone, except
// members that are losing a group.
func (leader *Leader) candidates(now time.Time, zone core.ZoneID) []Member {
	newest := make(map[core.VMID]Member)
	for member, current := range leader.sessions {
		if current.zone != zone || !leader.hasLiveLease(now, member) || leader.losesGroup(member) {
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

// newer reports whether the leader saw member later than other for the first time. Ties
// are broken by the incarnation.
func (leader *Leader) newer(member, other Member) bool {
	first, second := leader.sessions[member].firstSeen, leader.sessions[other].firstSeen
	if first.Equal(second) {
		return member.Incarnation > other.Incarnation
	}
	return first.After(second)
}

// countGroups returns, for each member, the number of other groups of the same zone and
// kind that it owns or is being assigned, and the sum of these numbers.
func (leader *Leader) countGroups(group core.GroupID, owners Owners) (map[Member]int, int) {
	counts := make(map[Member]int)
	total := 0
	for other, owned := range owners {
		if other == group || other.Zone != group.Zone || other.Kind != group.Kind || leader.pending[other] != nil {
			continue
		}
		counts[memberOf(owned)]++
		total++
	}
	for other, transfer := range leader.pending {
		if other != group && other.Zone == group.Zone && other.Kind == group.Kind {
			counts[Member{transfer.assign.VM, transfer.assign.Incarnation}]++
			total++
		}
	}
	return counts, total
}

// rendezvousScore returns the hash by which rendezvous hashing ranks the VMs for a group.
func rendezvousScore(group core.GroupID, vm core.VMID) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(group.String() + "\x00" + string(vm)))
	mixed := sum.Sum64()
	// A change of the last byte hardly changes the high bits of an FNV hash, so mix them.
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}
