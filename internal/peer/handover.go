package peer

import (
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
)

// HandoverTargetsMessage returns the message that carries the entry VMs which take requests over.
func HandoverTargetsMessage(targets []handover.Target) *wire.HandoverTargets {
	message := &wire.HandoverTargets{}
	for _, target := range targets {
		message.Targets = append(message.Targets, &wire.HandoverTarget{Vm: string(target.VM), Zone: string(target.Zone), Address: target.Address})
	}
	return message
}

// HandoverTargetsFromMessage returns the entry VMs that a message carries. It is the inverse of
// HandoverTargetsMessage.
func HandoverTargetsFromMessage(message *wire.HandoverTargets) []handover.Target {
	targets := make([]handover.Target, 0, len(message.GetTargets()))
	for _, target := range message.GetTargets() {
		targets = append(targets, handover.Target{VM: core.VMID(target.GetVm()), Zone: core.ZoneID(target.GetZone()), Address: target.GetAddress()})
	}
	return targets
}
