package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Budget is the load limit of the weight store. It comes from the settings and is the
// same on all VMs. The zero value allows no loads.
type Budget struct {
	// Loads is the rate of adapter loads over all VMs, and Transit the number of loads
	// that may run at the same time.
	Loads   core.LoadsPerSecond
	Transit int
	// Zones is the number of zones, and GroupsPerZone the maximum number of engine groups
	// in a zone. They determine the minimum share of a group. The leader does not create
	// more than GroupsPerZone engine groups in a zone.
	Zones         int
	GroupsPerZone int
}

// Share is a part of the budget.
type Share struct {
	Loads   core.LoadsPerSecond
	Transit int
}

// minimumFraction is the fraction of the budget that is split into minimum shares. The
// rest is distributed by demand.
const minimumFraction = 0.5

// MinimumShare returns the minimum share of one engine group. The owner of the group may
// use it with or without contact to the leader. It is never given to another group, so
// exclusive ownership keeps the sum of the minimum shares within the budget.
func (budget Budget) MinimumShare() Share {
	groups := budget.Zones * budget.GroupsPerZone
	if groups <= 0 {
		return Share{}
	}
	return Share{
		Loads:   budget.Loads * minimumFraction / core.LoadsPerSecond(groups),
		Transit: int(float64(budget.Transit) * minimumFraction / float64(groups)),
	}
}

// demandShare returns the part of the budget that is distributed by demand.
func (budget Budget) demandShare() Share {
	minimum := budget.MinimumShare().times(budget.Zones * budget.GroupsPerZone)
	return Share{Loads: budget.Loads - minimum.Loads, Transit: budget.Transit - minimum.Transit}
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

// leasedShare is a share that a VM may use until the given time.
type leasedShare struct {
	share Share
	until time.Time
}

// outstanding returns, for each part of a share, the maximum of the shares that are
// still leased. The VM may not have received the latest answer, so an earlier, larger
// share counts until its own end.
func outstanding(leased []leasedShare, now time.Time) Share {
	var largest Share
	for _, entry := range leased {
		if now.Before(entry.until) {
			largest = largest.atLeast(entry.share)
		}
	}
	return largest
}

func unexpired(leased []leasedShare, now time.Time) []leasedShare {
	return slices.DeleteFunc(leased, func(entry leasedShare) bool { return !now.Before(entry.until) })
}

// memberWeight is a member with the weight of its demand.
type memberWeight struct {
	member Member
	weight float64
}

// divide splits a share in proportion to the weights. Transit is an integer and is split
// by the largest-remainder method, with ties broken by member name. If any weight is
// positive, the transits of the result sum to that of the share.
func divide(whole Share, weights []memberWeight) map[Member]Share {
	total := 0.0
	for _, weight := range weights {
		total += weight.weight
	}
	parts := make(map[Member]Share, len(weights))
	if total <= 0 {
		return parts
	}
	remaining := whole.Transit
	for _, weight := range weights {
		transit := int(math.Floor(float64(whole.Transit) * weight.weight / total))
		parts[weight.member] = Share{Loads: whole.Loads * core.LoadsPerSecond(weight.weight/total), Transit: transit}
		remaining -= transit
	}
	distributeRemainder(parts, weights, float64(whole.Transit)/total, remaining)
	return parts
}

// distributeRemainder adds one transit each to the parts with the largest fractional
// remainders, until no transit remains.
func distributeRemainder(parts map[Member]Share, weights []memberWeight, scale float64, remaining int) {
	order := slices.Clone(weights)
	remainder := func(weight memberWeight) float64 {
		return weight.weight*scale - math.Floor(weight.weight*scale)
	}
	slices.SortFunc(order, func(a, b memberWeight) int {
		return cmp.Or(cmp.Compare(remainder(b), remainder(a)), compareMembers(a.member, b.member))
	})
	for _, weight := range order {
		if remaining <= 0 {
			return
		}
		part := parts[weight.member]
		part.Transit++
		parts[weight.member] = part
		remaining--
	}
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}
