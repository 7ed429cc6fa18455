package quarantine

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// CrashesToConvict is the number of crashed incarnations after which a request is
// refused.
const CrashesToConvict = 2

const (
	// DefaultTerm is the time for which suspicion and conviction last after the
	// last crash.
	DefaultTerm = 600 * time.Second
	// maxEntries bounds the memory of the table; a batch has up to 65536 requests.
	maxEntries = 1 << 17
)

// Standing is what is known about a request.
type Standing uint8

// The standings of a request.
const (
	// Clear requests run with others.
	Clear Standing = iota
	// Suspect requests were in flight at a crash and run alone.
	Suspect
	// Convicted requests are refused.
	Convicted
)

// String returns "clear", "suspect" or "convicted", and "invalid" for any other value.
func (standing Standing) String() string {
	switch standing {
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

// Table holds the crashes that one VM knows of. The zero value is ready to use
// and keeps them for DefaultTerm. It must not be used concurrently.
type Table struct {
	// Term replaces DefaultTerm if it is positive.
	Term    time.Duration
	entries map[core.Fingerprint]*entry
	cleaned time.Time
}

type entry struct {
	// crashed holds up to CrashesToConvict incarnations, so that two reports of the
	// same crash count once.
	crashed []core.Incarnation
	// replicated is the number of crashes in the replicated state.
	replicated int
	until      time.Time
}

// Report states that the incarnation of an upstream crashed while it ran the
// requests. A second report of the same incarnation changes nothing.
func (table *Table) Report(incarnation core.Incarnation, fingerprints []core.Fingerprint, now time.Time) {
	for _, fingerprint := range fingerprints {
		held := table.entry(fingerprint, now)
		if held == nil || len(held.crashed) >= CrashesToConvict || slices.Contains(held.crashed, incarnation) {
			continue
		}
		held.crashed = append(held.crashed, incarnation)
		held.until = later(held.until, now.Add(table.term()))
	}
}

// Merge takes the number of crashes from the replicated state. It never lowers a
// standing before its end.
func (table *Table) Merge(fingerprint core.Fingerprint, crashes int, until, now time.Time) {
	if !now.Before(until) {
		return
	}
	held := table.entry(fingerprint, now)
	if held == nil {
		return
	}
	held.replicated = max(held.replicated, crashes)
	held.until = later(held.until, until)
}

// Standing returns what is known about a request.
func (table *Table) Standing(fingerprint core.Fingerprint, now time.Time) Standing {
	held, ok := table.entries[fingerprint]
	if !ok || !now.Before(held.until) {
		return Clear
	}
	return StandingOf(max(len(held.crashed), held.replicated))
}

// StandingOf returns the standing after a number of crashes.
func StandingOf(crashes int) Standing {
	switch {
	case crashes >= CrashesToConvict:
		return Convicted
	case crashes > 0:
		return Suspect
	default:
		return Clear
	}
}

// entry returns the entry of a fingerprint, fresh if the old one has ended, or nil
// if the table is full.
func (table *Table) entry(fingerprint core.Fingerprint, now time.Time) *entry {
	if table.entries == nil {
		table.entries = make(map[core.Fingerprint]*entry)
	}
	held, ok := table.entries[fingerprint]
	if ok && now.Before(held.until) {
		return held
	}
	table.clean(now)
	if !ok && len(table.entries) >= maxEntries {
		return nil
	}
	held = &entry{}
	table.entries[fingerprint] = held
	return held
}

// clean drops ended entries, at most once a second.
func (table *Table) clean(now time.Time) {
	if now.Sub(table.cleaned) < time.Second {
		return
	}
	table.cleaned = now
	for fingerprint, held := range table.entries {
		if !now.Before(held.until) {
			delete(table.entries, fingerprint)
		}
	}
}

func (table *Table) term() time.Duration {
	if table.Term > 0 {
		return table.Term
	}
	return DefaultTerm
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
