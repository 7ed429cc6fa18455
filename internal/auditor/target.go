package auditor

import (
	"cmp"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Member is a VM of the deployment.
type Member struct {
	VM   core.VMID
	Zone core.ZoneID
	Disk bool
}

// targets are the VMs that records of this VM may go to, the preferred first.
type targets struct {
	// disks are for first copies: the zone, other zones, the VM itself. The VM keeps a
	// record in memory until its second copy is on a disk, so its own disk comes last:
	// the loss of one VM with its disk must not take both.
	disks []Member
	// buddies are the other VMs of the zone without a disk, which buffer.
	buddies []Member
}

func newTargets(self Member, members []Member) targets {
	var result targets
	for _, member := range members {
		switch {
		case member.Disk:
			result.disks = append(result.disks, member)
		case member.VM != self.VM && member.Zone == self.Zone:
			result.buddies = append(result.buddies, member)
		}
	}
	slices.SortStableFunc(result.disks, func(a, b Member) int {
		return cmp.Compare(distance(self, a), distance(self, b))
	})
	return result
}

func distance(self, member Member) int {
	switch {
	case member.VM == self.VM:
		return 2
	case member.Zone == self.Zone:
		return 0
	default:
		return 1
	}
}

// seconds returns the disks for second copies of records that holder has. Other
// zones come first, so that the loss of a zone leaves a copy.
func (targets targets) seconds(holder core.VMID) []Member {
	var zone core.ZoneID
	var result []Member
	for _, member := range targets.disks {
		if member.VM == holder {
			zone = member.Zone
			continue
		}
		result = append(result, member)
	}
	slices.SortStableFunc(result, func(a, b Member) int {
		return cmp.Compare(sameZone(a, zone), sameZone(b, zone))
	})
	return result
}

func sameZone(member Member, zone core.ZoneID) int {
	if member.Zone == zone {
		return 1
	}
	return 0
}
