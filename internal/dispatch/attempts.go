package dispatch

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// attemptTTL is the minimum time for which the state of an attempt is kept. Expired
// entries are removed at most once per attemptTTL. An entry VM queries the state
// within seconds after it lost a link.
const attemptTTL = 2 * time.Minute

// attemptState states whether an attempt was sent or withdrawn.
type attemptState uint8

const (
	attemptSent attemptState = iota + 1
	attemptWithdrawn
)

type attemptEntry struct {
	state attemptState
	at    time.Time
}

// attempts records which attempts were sent and which must no longer be sent. The
// zero value is ready to use. The mutex of Owner guards it.
type attempts struct {
	entries   map[core.AttemptID]attemptEntry
	cleanedAt time.Time
}

// markSent records that an attempt is sent. It returns false if the attempt was
// withdrawn.
func (attempts *attempts) markSent(id core.AttemptID, now time.Time) bool {
	attempts.removeExpired(now)
	if attempts.entries[id].state == attemptWithdrawn {
		return false
	}
	attempts.entries[id] = attemptEntry{state: attemptSent, at: now}
	return true
}

// sent reports whether an attempt was sent.
func (attempts *attempts) sent(id core.AttemptID) bool {
	return attempts.entries[id].state == attemptSent
}

// withdraw reports whether an attempt was sent. If it was not, it must no longer be
// sent.
func (attempts *attempts) withdraw(id core.AttemptID, now time.Time) (sent bool) {
	attempts.removeExpired(now)
	if attempts.entries[id].state == attemptSent {
		return true
	}
	attempts.entries[id] = attemptEntry{state: attemptWithdrawn, at: now}
	return false
}

// removeExpired deletes the entries that are older than attemptTTL.
func (attempts *attempts) removeExpired(now time.Time) {
	if attempts.entries == nil {
		attempts.entries = make(map[core.AttemptID]attemptEntry)
	}
	if now.Sub(attempts.cleanedAt) < attemptTTL {
		return
	}
	attempts.cleanedAt = now
	for id, entry := range attempts.entries {
		if now.Sub(entry.at) > attemptTTL {
			delete(attempts.entries, id)
		}
	}
}

// Withdraw reports whether an attempt was sent to an upstream, and forbids sending it if
// it was not. An entry VM queries this after it lost the link on which it forwarded
// the call.
func (owner *Owner) Withdraw(id core.AttemptID) (sent bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.attempts.withdraw(id, clock.Time())
}
