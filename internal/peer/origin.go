package peer

import (
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// OriginMessage returns the message with what a control VM knows of the origin of a stream.
func OriginMessage(answer origin.Answer) *wire.OriginResult {
	return &wire.OriginResult{
		Found: answer.Found, Service: string(answer.Origin.Service), Software: string(answer.Origin.Software), Send: uint32(answer.Origin.Send),
		Sole: string(answer.Sole), Complete: answer.Complete, Group: ControlGroupMessage(answer.View),
	}
}

// ControlGroupMessage returns the message with a view of the group of control VMs.
func ControlGroupMessage(view origin.View) *wire.ControlGroup {
	message := &wire.ControlGroup{Number: view.Number}
	for _, vm := range view.VMs {
		message.Vms = append(message.Vms, string(vm))
	}
	return message
}

// ControlGroupFromMessage is the inverse of ControlGroupMessage.
func ControlGroupFromMessage(message *wire.ControlGroup) origin.View {
	view := origin.View{Number: message.GetNumber()}
	for _, vm := range message.GetVms() {
		view.VMs = append(view.VMs, core.VMID(vm))
	}
	return view
}

// OriginFromMessage returns what a message says of the origin of a stream. It is the inverse of
// OriginMessage.
func OriginFromMessage(message *wire.OriginResult) origin.Answer {
	return origin.Answer{
		Found: message.GetFound(), Sole: core.SoftwareVersion(message.GetSole()), Complete: message.GetComplete(),
		View: ControlGroupFromMessage(message.GetGroup()),
		Origin: origin.Origin{
			Service: core.ServiceID(message.GetService()), Software: core.SoftwareVersion(message.GetSoftware()), Send: int(message.GetSend()),
		},
	}
}
