package entry

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
)

// errRejected ends an attempt whose chunk must not reach the caller. The dispatcher
// then cancels the attempt at the upstream.
var errRejected = errors.New("the chunk does not belong to the answer")

// answerTiming measures the delays of an answer. The zero value is ready to use.
type answerTiming struct {
	// firstByte is the time from the start of the request to the first byte; it is
	// zero until then.
	firstByte  time.Duration
	longestGap time.Duration
	last       time.Time
}

// observe records the arrival of a chunk.
func (timing *answerTiming) observe(started, now time.Time) {
	if timing.last.IsZero() {
		timing.firstByte = now.Sub(started)
	} else {
		timing.longestGap = max(timing.longestGap, now.Sub(timing.last))
	}
	timing.last = now
}

// eventEnd terminates a server-sent event. JSON contains no unescaped line feed, so
// each terminator marks the end of one token.
var eventEnd = []byte("\n\n")

// countTokens returns the number of tokens in a chunk; it is zero for plain services.
func (active *activeRequest) countTokens(chunk core.Chunk) core.Tokens {
	if !active.isModel() {
		return 0
	}
	return core.Tokens(bytes.Count(chunk.Data, eventEnd))
}

// forward passes a chunk to the caller if the lifecycle accepts it. It returns
// errRejected for a chunk that does not belong to the answer.
func (active *activeRequest) forward(chunk core.Chunk) error {
	switch verdict := active.lifecycle.Accept(chunk, active.countTokens(chunk)); verdict {
	case attempt.Drop:
		return nil
	case attempt.Mismatch, attempt.Gap:
		active.verdict = verdict
		return errRejected
	}
	active.timing.observe(active.started, time.Now())
	if chunk.Head != nil {
		active.answer.Head = *chunk.Head
		active.recorded.setHead(*chunk.Head)
	}
	if !active.admitted.Repeatable {
		active.recorded.append(chunk.Data)
	}
	return active.writeToCaller(chunk.Data)
}

// writeToCaller passes data to the responder. If that fails, a call that may not be
// repeated continues without its caller, and the error is not returned.
func (active *activeRequest) writeToCaller(data []byte) error {
	if active.callerLeft {
		return nil
	}
	var err error
	if !active.headSent {
		active.headSent = true
		err = active.responder.Head(active.answer)
	}
	if err == nil {
		err = active.responder.Data(data)
	}
	if err == nil {
		return nil
	}
	active.callerLeft = true
	if !active.admitted.Repeatable {
		return nil
	}
	return errors.Wrap(err, "pass answer on")
}
