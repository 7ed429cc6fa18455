package peer

import (
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/throttle"
)

// StatedLimitMessage returns the message with the limit that an upstream has stated.
func StatedLimitMessage(statement throttle.Statement) *wire.StatedLimit {
	return &wire.StatedLimit{
		Upstream: string(statement.Process.Upstream), BornUnixMillis: statement.Process.Born,
		Stated: statement.Limit.Stated, Rate: float64(statement.Limit.Rate), AgeMillis: ageMillis(statement.Age),
	}
}

// StatedLimitFromMessage returns the statement that a message carries. It is the inverse of
// StatedLimitMessage.
func StatedLimitFromMessage(message *wire.StatedLimit) throttle.Statement {
	return throttle.Statement{
		Process: throttle.Process{Upstream: core.UpstreamID(message.GetUpstream()), Born: message.GetBornUnixMillis()},
		Limit:   core.RequestLimit{Stated: message.GetStated(), Rate: core.RequestsPerSecond(message.GetRate())},
		Age:     millisAge(message.GetAgeMillis()),
	}
}
