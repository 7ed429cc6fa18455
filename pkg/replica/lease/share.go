package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Budget is the limit of the weight store. It comes from the settings and is the
// same on all VMs. The zero value is a budget of nothing.
type Budget struct {
	Loads   core.LoadsPerSecond
	Transit int
	// Zones is the number of zones, and GroupsPerZone the largest number of engine
	// groups in one. They fix the minimum share of a group; the leader creates no
	// engine group beyond GroupsPerZone.
	Zones         int
	GroupsPerZone int
}

// Share is a part of the budget.
type Share struct {
	Loads   core.LoadsPerSecond
	Transit int
}

// floorFraction is the part of the budget that is split into minimum shares. The
// rest follows the demand.
const floorFraction = 0.5

// Floor returns the minimum share of one engine group. Whoever owns the group may
// use it, with or without contact to the leader. It is never given to another
// group, so exclusive ownership keeps the sum of the floors within the budget.
func (budget Budget) Floor() Share {
	groups := budget.Zones * budget.GroupsPerZone
	if groups <= 0 {
		return Share{}
	}
	return Share{
		Loads:   budget.Loads * floorFraction / core.LoadsPerSecond(groups),
		Transit: int(float64(budget.Transit) * floorFraction / float64(groups)),
	}
}

// spare returns the part of the budget that follows the demand.
func (budget Budget) spare() Share {
	floors := budget.Floor().times(budget.Zones * budget.GroupsPerZone)
	return Share{Loads: budget.Loads - floors.Loads, Transit: budget.Transit - floors.Transit}
}

func (share Share) times(count int) Share {
	return Share{Loads: share.Loads * core.LoadsPerSecond(count), Transit: share.Transit * count}
}

func (share Share) plus(other Share) Share {
	return Share{Loads: share.Loads + other.Loads, Transit: share.Transit + other.Transit}
}

func (share Share) minus(other Share) Share {
	return Share{Loads: max(0, share.Loads-other.Loads), Transit: max(0, share.Transit-other.Transit)}
}

func (share Share) atMost(other Share) Share {
	return Share{Loads: min(share.Loads, other.Loads), Transit: min(share.Transit, other.Transit)}
}

func (share Share) atLeast(other Share) Share {
	return Share{Loads: max(share.Loads, other.Loads), Transit: max(share.Transit, other.Transit)}
}

// leasedShare is a share that a VM may use until the time given.
type leasedShare struct {
	share Share
	until time.Time
}

// outstanding returns the largest share that is still leased. An answer may be
// lost, so an earlier, larger share counts until its own end.
func outstanding(leased []leasedShare, now time.Time) Share {
	var largest Share
	for _, one := range leased {
		if now.Before(one.until) {
			largest = largest.atLeast(one.share)
		}
	}
	return largest
}

func unexpired(leased []leasedShare, now time.Time) []leasedShare {
	return slices.DeleteFunc(leased, func(one leasedShare) bool { return !now.Before(one.until) })
}

// weight is the demand of one member.
type weight struct {
	member Member
	weight float64
}

// divide splits a share by weight. Whole transits go by largest remainder, ties
// by name, so that the sum is exactly the share if any weight is positive.
func divide(whole Share, weights []weight) map[Member]Share {
	total := 0.0
	for _, one := range weights {
		total += one.weight
	}
	parts := make(map[Member]Share, len(weights))
	if total <= 0 {
		return parts
	}
	left := whole.Transit
	for _, one := range weights {
		transit := int(math.Floor(float64(whole.Transit) * one.weight / total))
		parts[one.member] = Share{Loads: whole.Loads * core.LoadsPerSecond(one.weight/total), Transit: transit}
		left -= transit
	}
	giveRemainders(parts, weights, float64(whole.Transit)/total, left)
	return parts
}

func giveRemainders(parts map[Member]Share, weights []weight, scale float64, left int) {
	order := slices.Clone(weights)
	remainder := func(one weight) float64 {
		return one.weight*scale - math.Floor(one.weight*scale)
	}
	slices.SortFunc(order, func(a, b weight) int {
		return cmp.Or(cmp.Compare(remainder(b), remainder(a)), compareMembers(a.member, b.member))
	})
	for _, one := range order {
		if left <= 0 {
			return
		}
		part := parts[one.member]
		part.Transit++
		parts[one.member] = part
		left--
	}
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}
