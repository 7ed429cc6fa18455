package peer

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
)

// AnswersMessage returns the message for what a VM has observed of one process, nil if that is
// nothing.
func AnswersMessage(born int64, answers pace.Answers) *wire.AnswerTimes {
	if answers == (pace.Answers{}) {
		return nil
	}
	return &wire.AnswerTimes{
		BornUnixMillis: born, Count: uint32(answers.Count), TotalMicros: uint64(answers.Total.Microseconds()), Untimed: uint32(answers.Untimed),
		Pauses: uint32(answers.Pauses), PauseMicros: uint64(answers.PauseTotal.Microseconds()),
		Rejections: uint32(answers.Rejections), Failures: uint32(answers.Failures),
	}
}

// AnswersFromMessage returns what a VM has observed of one process.
func AnswersFromMessage(message *wire.AnswerTimes) pace.Answers {
	return pace.Answers{
		Count: int(message.GetCount()), Total: durationFromMicros(message.GetTotalMicros()), Untimed: int(message.GetUntimed()),
		Pauses: int(message.GetPauses()), PauseTotal: durationFromMicros(message.GetPauseMicros()),
		Rejections: int(message.GetRejections()), Failures: int(message.GetFailures()),
	}
}

// durationFromMicros returns the duration, at most the largest one.
func durationFromMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

// SetTimes sets the times of a message about an upstream.
func SetTimes(use *wire.UpstreamUse, times pace.Times) {
	use.AnswerMicros, use.PauseMicros = micros(times.Answer), micros(times.Pause)
}

// TimesFromMessage returns the times of an upstream, or the medians of a service.
func TimesFromMessage(message interface {
	GetAnswerMicros() uint32
	GetPauseMicros() uint32
},
) pace.Times {
	return pace.Times{Answer: durationFromMicros(uint64(message.GetAnswerMicros())), Pause: durationFromMicros(uint64(message.GetPauseMicros()))}
}

// micros returns the duration in microseconds, at most the largest number.
func micros(duration time.Duration) uint32 {
	return uint32(min(max(0, duration.Microseconds()), math.MaxUint32))
}

// MediansMessage returns the message for the median times of a service.
func MediansMessage(service string, median pace.Times) *wire.ServiceTimes {
	return &wire.ServiceTimes{Service: service, AnswerMicros: micros(median.Answer), PauseMicros: micros(median.Pause)}
}

// SetOpen sets the share of the slots of a message about an upstream. A share is never stated
// as zero, which means that all slots may be used.
func SetOpen(use *wire.UpstreamUse, open float64) {
	if open < 1 {
		use.OpenPermille = uint32(max(1, math.Round(open*1000)))
	}
}

// OpenFromMessage returns the share of the slots that may be used.
func OpenFromMessage(message *wire.UpstreamUse) float64 {
	if message.GetOpenPermille() == 0 || message.GetOpenPermille() >= 1000 {
		return 1
	}
	return float64(message.GetOpenPermille()) / 1000
}
