package quarantine

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// ConvictionThreshold is the number of crashed incarnations at which a request becomes
// convicted.
const ConvictionThreshold = 2

const (
	// DefaultTTL is the time after the last counted crash during which a request stays
	// suspect or convicted. Crashes after the conviction are not counted.
	DefaultTTL = 600 * time.Second
	// maxEntries limits the memory of the table. It is twice the largest batch, which
	// has 65536 requests.
	maxEntries = 1 << 17
)

// Status classifies a request by the crashes it was involved in.
type Status uint8

// Statuses of a request.
const (
	// Clear requests may run concurrently with others.
	Clear Status = iota
	// Suspect requests were in flight at one crash and must run alone.
	Suspect
	// Convicted requests are refused.
	Convicted
)

// String returns "clear", "suspect" or "convicted", and "invalid" for any other value.
func (status Status) String() string {
	switch status {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Convicted:
		return "convicted"
	default:
		return "invalid"
	}
}

// Table holds the crashes known to one VM. The zero value is ready to use and keeps
// them for DefaultTTL. A Table is not safe for concurrent use.
type Table struct {
	// Term replaces DefaultTTL if it is positive.
	Term        time.Duration
	entries     map[core.Fingerprint]*entry
	lastCleanup time.Time
}

type entry struct {
	// crashed holds up to ConvictionThreshold incarnations, so that repeated reports of
	// the same crash count once.
	crashed []core.Incarnation
	// replicatedCrashes is the number of crashes in the replicated state.
	replicatedCrashes int
	expires           time.Time
}

// Report records that the incarnation of an upstream crashed while it ran the requests.
// A report has no effect on a request for which the same incarnation or
// ConvictionThreshold incarnations were reported before, nor on a new request while the
// table is full.
func (table *Table) Report(incarnation core.Incarnation, fingerprints []core.Fingerprint, now time.Time) {
	for _, fingerprint := range fingerprints {
		current := table.entry(fingerprint, now)
		if current == nil || len(current.crashed) >= ConvictionThreshold || slices.Contains(current.crashed, incarnation) {
			continue
		}
		current.crashed = append(current.crashed, incarnation)
		current.expires = latest(current.expires, now.Add(table.ttl()))
	}
}

// Merge records the number of crashes in the replicated state, which is valid until the
// given time. It never lowers the current status of a request.
func (table *Table) Merge(fingerprint core.Fingerprint, crashes int, until, now time.Time) {
	if !now.Before(until) {
		return
	}
	current := table.entry(fingerprint, now)
	if current == nil {
		return
	}
	current.replicatedCrashes = max(current.replicatedCrashes, crashes)
	current.expires = latest(current.expires, until)
}

// Status returns the status of a request.
func (table *Table) Status(fingerprint core.Fingerprint, now time.Time) Status {
	current, ok := table.entries[fingerprint]
	if !ok || !now.Before(current.expires) {
		return Clear
	}
	return StatusOf(max(len(current.crashed), current.replicatedCrashes))
}

// StatusOf returns the status of a request that was in flight at the crashes of the
// given number of incarnations.
func StatusOf(crashes int) Status {
	switch {
	case crashes >= ConvictionThreshold:
		return Convicted
	case crashes > 0:
		return Suspect
	default:
		return Clear
	}
}

// entry returns the entry of a fingerprint. It creates one if there is none or if it has
// expired, and returns nil if the table is full.
func (table *Table) entry(fingerprint core.Fingerprint, now time.Time) *entry {
	if table.entries == nil {
		table.entries = make(map[core.Fingerprint]*entry)
	}
	current, ok := table.entries[fingerprint]
	if ok && now.Before(current.expires) {
		return current
	}
	table.removeExpired(now)
	if !ok && len(table.entries) >= maxEntries {
		return nil
	}
	current = &entry{}
	table.entries[fingerprint] = current
	return current
}

// removeExpired removes expired entries, at most once a second.
func (table *Table) removeExpired(now time.Time) {
	if now.Sub(table.lastCleanup) < time.Second {
		return
	}
	table.lastCleanup = now
	for fingerprint, current := range table.entries {
		if !now.Before(current.expires) {
			delete(table.entries, fingerprint)
		}
	}
}

// ttl returns Term, or DefaultTTL if Term is not positive.
func (table *Table) ttl() time.Duration {
	if table.Term > 0 {
		return table.Term
	}
	return DefaultTTL
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
