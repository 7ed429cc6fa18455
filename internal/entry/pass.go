package entry

import (
	"bytes"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/attempt"
)

// errRejected ends an attempt whose chunk must not be passed on. Its dispatcher then
// cancels it at the upstream.
var errRejected = errors.New("the chunk does not belong to the answer")

// pace measures the times of an answer. The zero value is ready to use.
type pace struct {
	// firstByte is the time until the first byte; zero before that.
	firstByte  time.Duration
	longestGap time.Duration
	last       time.Time
}

func (pace *pace) mark(started, now time.Time) {
	if pace.last.IsZero() {
		pace.firstByte = now.Sub(started)
	} else {
		pace.longestGap = max(pace.longestGap, now.Sub(pace.last))
	}
	pace.last = now
}

// eventEnd ends a server-sent event. JSON holds no raw line feed, so that each one
// ends one token.
var eventEnd = []byte("\n\n")

func (run *run) tokens(chunk core.Chunk) core.Tokens {
	if !run.model() {
		return 0
	}
	return core.Tokens(bytes.Count(chunk.Data, eventEnd))
}

// pass hands a chunk to the caller if the life of the request accepts it.
func (run *run) pass(chunk core.Chunk) error {
	switch verdict := run.life.Accept(chunk, run.tokens(chunk)); verdict {
	case attempt.Drop:
		return nil
	case attempt.Mismatch, attempt.Gap:
		run.verdict = verdict
		return errRejected
	}
	run.pace.mark(run.started, time.Now())
	if chunk.Head != nil {
		run.answer.Head = *chunk.Head
		run.recorded.head(*chunk.Head)
	}
	if !run.admitted.Repeatable {
		run.recorded.data(chunk.Data)
	}
	return run.respond(chunk.Data)
}

// respond writes to the caller. A call that may not be repeated goes on without its
// caller.
func (run *run) respond(data []byte) error {
	if run.left {
		return nil
	}
	var err error
	if !run.headed {
		run.headed = true
		err = run.responder.Head(run.answer)
	}
	if err == nil {
		err = run.responder.Data(data)
	}
	if err == nil {
		return nil
	}
	run.left = true
	if !run.admitted.Repeatable {
		return nil
	}
	return errors.Wrap(err, "pass answer on")
}
