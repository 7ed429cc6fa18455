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

// targets lists the VMs that records of this VM can be sent to, in order of preference.
type targets struct {
	// disks are the VMs with a disk, in the order for first copies: the other VMs of the
	// zone, the VMs of other zones, and this VM. This VM keeps a record in memory until
	// its second copy is on a disk, so its own disk comes last: the loss of this VM and
	// its disk must not destroy both copies.
	disks []Member
	// bufferPeers are the other VMs of the zone without a disk, which buffer records.
	bufferPeers []Member
}

func newTargets(self Member, members []Member) targets {
	var result targets
	for _, member := range members {
		switch {
		case member.Disk:
			result.disks = append(result.disks, member)
		case member.VM != self.VM && member.Zone == self.Zone:
			result.bufferPeers = append(result.bufferPeers, member)
		}
	}
	slices.SortStableFunc(result.disks, func(a, b Member) int {
		return cmp.Compare(diskRank(self, a), diskRank(self, b))
	})
	return result
}

func diskRank(self, member Member) int {
	switch {
	case member.VM == self.VM:
		return 2
	case member.Zone == self.Zone:
		return 0
	default:
		return 1
	}
}

// secondCopyDisks returns the VMs with a disk for second copies of records whose first copy
// is on firstCopyVM. VMs of other zones than that come first, so that the loss of a zone
// leaves one copy.
func (targets targets) secondCopyDisks(firstCopyVM core.VMID) []Member {
	var zone core.ZoneID
	var result []Member
	for _, member := range targets.disks {
		if member.VM == firstCopyVM {
			zone = member.Zone
			continue
		}
		result = append(result, member)
	}
	slices.SortStableFunc(result, func(a, b Member) int {
		return cmp.Compare(zoneRank(a, zone), zoneRank(b, zone))
	})
	return result
}

func zoneRank(member Member, zone core.ZoneID) int {
	if member.Zone == zone {
		return 1
	}
	return 0
}
