package gateway

import (
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
)

// slowReadTime is the time from which the forwarding of events, which usually takes a fraction
// of a millisecond, shows that the caller reads slowly. The pauses between the reads of such a
// stream say nothing of the upstream.
const slowReadTime = 5 * time.Millisecond

// pauseTimes measures the pauses between the events of one send. Events of the first read have
// no pauses: an upstream may send what it has at hand at once. The zero value has no events.
type pauseTimes struct {
	// first and last are the times of the first and the last read with events, and count the
	// number of events after the first read.
	first, last time.Duration
	count       int
	// slowReader is set once the caller has read slowly.
	slowReader bool
}

// add adds the events of a read. It returns true for the first read.
func (pauses *pauseTimes) add(at time.Duration, count int) bool {
	pauses.last = at
	if pauses.first == 0 {
		pauses.first = at
		return true
	}
	pauses.count += count
	return false
}

// forwarded notes when the events of a read were forwarded.
func (pauses *pauseTimes) forwarded(read, now time.Duration) {
	pauses.slowReader = pauses.slowReader || now-read >= slowReadTime
}

// answers returns the pauses so far.
func (pauses *pauseTimes) answers() pace.Answers {
	if pauses.slowReader || pauses.count == 0 {
		return pace.Answers{}
	}
	return pace.Answers{Pauses: pauses.count, PauseTotal: pauses.last - pauses.first}
}

// observeFirst reports the time until the first event of a stream.
func (attempt *attempt) observeFirst() {
	attempt.observeAnswers(pace.Answers{Count: 1, Total: attempt.heardAt - attempt.sentAt})
}

// observePauses reports the pauses of a stream after its end.
func (attempt *attempt) observePauses() {
	if answers := attempt.pauses.answers(); answers.Pauses > 0 {
		attempt.observeAnswers(answers)
	}
}

// observeWhole reports the time of a whole answer. Other answers than those of calls that
// succeeded may be quick without any work.
func (attempt *attempt) observeWhole(status int) {
	answers := pace.Answers{Untimed: 1}
	if status < http.StatusMultipleChoices {
		answers = pace.Answers{Count: 1, Total: clock.Now() - attempt.sentAt}
	}
	attempt.observeAnswers(answers)
}

// observeOverdue reports that the deadline of the request has passed. The time so far is the
// least that the answer, or the next event, takes.
func (attempt *attempt) observeOverdue() {
	now := clock.Now()
	if attempt.pauses.first == 0 {
		attempt.observeAnswers(pace.Answers{Count: 1, Total: now - attempt.sentAt})
		return
	}
	attempt.pauses.add(now, 1)
}

func (attempt *attempt) observeAnswers(answers pace.Answers) {
	attempt.call.gateway.options.Table.ObserveAnswer(clock.Now(), attempt.selection, answers)
}
