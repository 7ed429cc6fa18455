package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// listLifetime is the time for which the list of a control VM counts after its watch has ended,
// and that of the settings after the start. Control VMs drop a VM from their lists after the same
// time.
const listLifetime = 60 * time.Second

// controlList is a list of control VMs from one source.
type controlList struct {
	vms []ControlVM
	// ended is set once the source is not followed, since the time endedAt.
	ended   bool
	endedAt time.Duration
}

// controlGroup is the set of the control VMs that any of them lists. A control VM that has just
// started lists itself alone; a majority of that list would be no majority of the group. The zero
// value is empty. A controlGroup is not safe for concurrent use.
type controlGroup struct {
	// lists holds the lists by the VM that sent them. That of the settings has no VM.
	lists map[core.VMID]controlList
}

// set replaces the list of a control VM that is followed. It returns false if that changes nothing.
func (group *controlGroup) set(source core.VMID, vms []ControlVM) bool {
	if before := group.lists[source]; !before.ended && slices.Equal(before.vms, vms) {
		return false
	}
	if group.lists == nil {
		group.lists = make(map[core.VMID]controlList)
	}
	group.lists[source] = controlList{vms: vms}
	return true
}

// seed adds control VMs from the settings.
func (group *controlGroup) seed(now time.Duration, seeds []core.VMID) {
	vms := group.lists[""].vms
	for _, seed := range seeds {
		vms = append(slices.Clone(vms), ControlVM{VM: seed})
	}
	group.set("", vms)
	group.end(now, "")
}

// end notes that a source is not followed any more.
func (group *controlGroup) end(now time.Duration, source core.VMID) {
	if list, ok := group.lists[source]; ok && !list.ended {
		list.ended, list.endedAt = true, now
		group.lists[source] = list
	}
}

// all returns the control VMs in order, each one once.
func (group *controlGroup) all(now time.Duration) []ControlVM {
	var all []ControlVM
	for source, list := range group.lists {
		if list.ended && now-list.endedAt > listLifetime {
			delete(group.lists, source)
			continue
		}
		all = append(all, list.vms...)
	}
	// Of two entries of one VM, that with a zone comes first and is kept.
	slices.SortFunc(all, func(a, b ControlVM) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(b.Zone, a.Zone)) })
	return slices.CompactFunc(all, func(a, b ControlVM) bool { return a.VM == b.VM })
}
