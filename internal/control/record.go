package control

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// recordRoutes states a committed route table in the audit log.
func (control *Control) recordRoutes(table core.RouteTable) {
	if control.parts.Records == nil {
		return
	}
	control.parts.Records.Note(audit.Record{
		At: time.Now().UnixMilli(), Event: audit.EventRoutes, Config: table.Number, Targets: audit.TargetsOf(table),
	})
}

// recordApplied states the table in force if this VM leads. The VM that an operator asked
// states it too; that one alone may be lost right after its answer. The caller holds the
// lock.
func (control *Control) recordApplied(table core.RouteTable, leader core.VMID) {
	if table.Number <= control.recorded || leader != control.parts.VM {
		return
	}
	control.recorded = table.Number
	control.recordRoutes(table)
}

// setRecordMembers tells the audit log which control VMs there are if they are not those
// that it was told before. It returns them.
func (control *Control) setRecordMembers(before []Peer) []Peer {
	peers := control.peers.All()
	if control.parts.Records == nil || slices.Equal(peers, before) {
		return peers
	}
	members := make([]auditor.Member, 0, len(peers))
	for _, peer := range peers {
		members = append(members, auditor.Member{VM: peer.VM, Zone: peer.Zone, Disk: true})
	}
	control.parts.Records.SetMembers(members)
	return peers
}
