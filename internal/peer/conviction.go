package peer

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
)

// CrashMessage returns the message with the report of a crash.
func CrashMessage(crash conviction.Crash) *wire.Crash {
	message := &wire.Crash{Upstream: string(crash.Upstream), BornUnixMillis: crash.Born, AgeMillis: ageMillis(crash.Age)}
	for _, suspect := range crash.Suspects {
		next := &wire.Suspect{Content: EvidenceMessage(suspect.Content)}
		for _, part := range suspect.Parts {
			next.Parts = append(next.Parts, EvidenceMessage(part))
		}
		message.Suspects = append(message.Suspects, next)
	}
	return message
}

// CrashFromMessage returns the report of a crash that a message carries. It is the inverse of
// CrashMessage.
func CrashFromMessage(message *wire.Crash) conviction.Crash {
	crash := conviction.Crash{Upstream: core.UpstreamID(message.GetUpstream()), Born: message.GetBornUnixMillis(), Age: millisAge(message.GetAgeMillis())}
	for _, suspect := range message.GetSuspects() {
		next := conviction.Suspect{Content: EvidenceFromMessage(suspect.GetContent())}
		for _, part := range suspect.GetParts() {
			next.Parts = append(next.Parts, EvidenceFromMessage(part))
		}
		crash.Suspects = append(crash.Suspects, next)
	}
	return crash
}

// EvidenceMessage returns the message with the evidence about a trait.
func EvidenceMessage(evidence conviction.Evidence) *wire.Evidence {
	message := &wire.Evidence{Trait: string(evidence.Trait), Passed: evidence.Passed}
	if evidence.Passed {
		message.PassAgeMillis = ageMillis(evidence.PassAge)
	}
	return message
}

// EvidenceFromMessage returns the evidence that a message carries. It is the inverse of
// EvidenceMessage.
func EvidenceFromMessage(message *wire.Evidence) conviction.Evidence {
	return conviction.Evidence{
		Trait: conviction.Trait(message.GetTrait()), Passed: message.GetPassed(), PassAge: millisAge(message.GetPassAgeMillis()),
	}
}

// VerdictMessage returns the message with a verdict.
func VerdictMessage(verdict conviction.Verdict) *wire.Verdict {
	return &wire.Verdict{
		Trait: string(verdict.Trait), Status: uint32(verdict.Status), AgeMillis: ageMillis(verdict.Age), LeftMillis: ageMillis(verdict.Left),
		Trier: string(verdict.Trier),
	}
}

// VerdictFromMessage returns the verdict that a message carries. It is the inverse of
// VerdictMessage.
func VerdictFromMessage(message *wire.Verdict) conviction.Verdict {
	return conviction.Verdict{
		Trait: conviction.Trait(message.GetTrait()), Status: conviction.Status(message.GetStatus()),
		Age: millisAge(message.GetAgeMillis()), Left: millisAge(message.GetLeftMillis()), Trier: core.VMID(message.GetTrier()),
	}
}

func ageMillis(age time.Duration) uint64 { return uint64(max(0, age.Milliseconds())) }

// maxAge bounds the times in messages, so that they do not overflow a time.Duration.
const maxAge = 24 * time.Hour

func millisAge(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
