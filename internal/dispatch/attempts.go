package dispatch

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// attemptMemory is the time for which the owner remembers what it did with an
// attempt. An entry VM asks within seconds of a lost link.
const attemptMemory = 2 * time.Minute

// attemptStage is what the owner did with an attempt.
type attemptStage uint8

const (
	attemptSent attemptStage = iota + 1
	attemptBarred
)

type attemptEntry struct {
	stage attemptStage
	at    time.Time
}

// attempts remembers which attempts were sent and which may not be sent any more. The
// zero value is ready to use; the owner's lock guards it.
type attempts struct {
	entries map[core.AttemptID]attemptEntry
	cleaned time.Time
}

// send marks an attempt as sent. It returns false if the attempt was barred.
func (attempts *attempts) send(id core.AttemptID, now time.Time) bool {
	attempts.clean(now)
	if attempts.entries[id].stage == attemptBarred {
		return false
	}
	attempts.entries[id] = attemptEntry{stage: attemptSent, at: now}
	return true
}

// sent reports whether an attempt was sent.
func (attempts *attempts) sent(id core.AttemptID) bool {
	return attempts.entries[id].stage == attemptSent
}

// bar forbids an attempt that was not sent and reports whether it was sent before.
func (attempts *attempts) bar(id core.AttemptID, now time.Time) (sent bool) {
	attempts.clean(now)
	if attempts.entries[id].stage == attemptSent {
		return true
	}
	attempts.entries[id] = attemptEntry{stage: attemptBarred, at: now}
	return false
}

func (attempts *attempts) clean(now time.Time) {
	if attempts.entries == nil {
		attempts.entries = make(map[core.AttemptID]attemptEntry)
	}
	if now.Sub(attempts.cleaned) < attemptMemory {
		return
	}
	attempts.cleaned = now
	for id, entry := range attempts.entries {
		if now.Sub(entry.at) > attemptMemory {
			delete(attempts.entries, id)
		}
	}
}

// Bar forbids an attempt that was not sent to an upstream yet, and reports whether it
// was sent. An entry VM asks after it lost the link on which it forwarded the call.
func (owner *Owner) Bar(id core.AttemptID) (sent bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.attempts.bar(id, time.Now())
}
