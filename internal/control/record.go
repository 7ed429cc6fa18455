package control

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// recordRoutes writes a committed route table to the audit log.
func (control *Control) recordRoutes(table core.RouteTable) {
	if control.options.Records == nil {
		return
	}
	control.options.Records.RecordEvent(audit.Record{
		At: time.Now().UnixMilli(), Event: audit.EventRoutes, Config: table.Number, Targets: audit.AllowedTargets(table),
	})
}

// recordApplied writes the newest route table to the audit log if this VM is the leader.
// The VM that answered the operator records it too, but may fail right after its answer,
// so its record alone is not enough. The caller holds the lock.
func (control *Control) recordApplied(table core.RouteTable, leader core.VMID) {
	if table.Number <= control.recordedRoutes || leader != control.options.VM {
		return
	}
	control.recordedRoutes = table.Number
	control.recordRoutes(table)
}

// updateAuditMembers sets the control VMs as members of the audit log if they differ from
// the previous ones. It returns them.
func (control *Control) updateAuditMembers(previous []Peer) []Peer {
	peers := control.peers.All()
	if control.options.Records == nil || slices.Equal(peers, previous) {
		return peers
	}
	members := make([]auditor.Member, 0, len(peers))
	for _, peer := range peers {
		members = append(members, auditor.Member{VM: peer.VM, Zone: peer.Zone, Disk: true})
	}
	control.options.Records.SetMembers(members)
	return peers
}
