package peer

import (
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// OriginMessage returns the message with the origin of a stream.
func OriginMessage(found origin.Origin) *wire.OriginResult {
	return &wire.OriginResult{Found: true, Service: string(found.Service), Software: string(found.Software), Send: uint32(found.Send)}
}

// OriginFromMessage returns the origin that a message carries, and false if it carries none. It
// is the inverse of OriginMessage.
func OriginFromMessage(message *wire.OriginResult) (origin.Origin, bool) {
	return origin.Origin{
		Service: core.ServiceID(message.GetService()), Software: core.SoftwareVersion(message.GetSoftware()), Send: int(message.GetSend()),
	}, message.GetFound()
}
