package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// replacedHold is the time for which a control VM that was replaced still counts to the group. It is
// longer than the time after which a VM that was cut off knows that it has no leader, so that it does
// not answer for the group before the change.
const replacedHold = 3 * time.Second

// View is the group of control VMs as one of them knows it. The zero value is that of a VM that
// does not know one: its replica has no leader.
type View struct {
	// Number is the position of the membership in the log. A higher one is later.
	Number uint64
	// VMs are the control VMs that count, in order.
	VMs []core.VMID
}

// Contains reports whether a VM counts.
func (view View) Contains(vm core.VMID) bool { return slices.Contains(view.VMs, vm) }

// HasMajority reports whether the given VMs hold a majority of the group, and if the view has none,
// of as many VMs as were asked.
func (view View) HasMajority(vms []core.VMID, asked int) bool {
	if view.Number == 0 {
		return len(vms) >= core.Majority(asked)
	}
	count := 0
	for _, vm := range vms {
		if view.Contains(vm) {
			count++
		}
	}
	return count >= core.Majority(len(view.VMs))
}

// Join returns the later of two views, and the VMs of both if they have the same number: one that
// has restarted does not know which VMs have been removed a short time ago.
func (view View) Join(other View) View {
	switch {
	case view.Number > other.Number:
		return view
	case view.Number < other.Number:
		return other
	}
	vms := slices.Concat(view.VMs, other.VMs)
	slices.Sort(vms)
	return View{Number: view.Number, VMs: slices.Compact(vms)}
}

// Group follows the memberships of the control VMs. A majority of the VMs that it counts stores the
// records of sends to another software version, and a majority answers questions for them. The zero
// value knows no membership. A Group is not safe for concurrent use.
type Group struct {
	number uint64
	// members are the VMs of the last membership, those that were replaced left out.
	members []core.VMID
	// until holds the VMs that are no members any more, and the time until which they count.
	until map[core.VMID]time.Duration
}

// Set replaces the membership if the number is a later one. A VM that a successor has replaced counts
// for a short time, as the successor counts as well. One that was removed without a successor counts
// for as long as its records matter: a smaller group could have a majority that holds none of them.
func (group *Group) Set(now time.Duration, number uint64, members, replaced []core.VMID) {
	if number <= group.number {
		return
	}
	if group.until == nil {
		group.until = make(map[core.VMID]time.Duration)
	}
	for _, vm := range group.members {
		switch {
		case slices.Contains(replaced, vm):
			group.until[vm] = now + replacedHold
		case !slices.Contains(members, vm):
			group.until[vm] = now + memory
		}
	}
	group.number = number
	group.members = slices.DeleteFunc(slices.Clone(members), func(vm core.VMID) bool { return slices.Contains(replaced, vm) })
	maps.DeleteFunc(group.until, func(vm core.VMID, until time.Duration) bool {
		return now >= until || slices.Contains(group.members, vm)
	})
}

// View returns the VMs that count.
func (group *Group) View(now time.Duration) View {
	vms := slices.Clone(group.members)
	for vm, until := range group.until {
		if now < until {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return View{Number: group.number, VMs: slices.Compact(vms)}
}
