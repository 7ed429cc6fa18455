package ledger

import (
	"cmp"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// crashID identifies a crash. Each incarnation of an upstream crashes at most once.
type crashID struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
}

// suspect is the stored state of a suspected fingerprint.
type suspect struct {
	Crashes []crashID
	// Until is the time when the suspicion ends, in Unix milliseconds.
	Until int64
}

// applyCrash counts each crash once per fingerprint, even if several VMs report it or
// one VM reports it repeatedly.
func (state *State) applyCrash(index uint64, report CrashReport) CrashResult {
	crash := crashID{report.Upstream, report.Incarnation}
	var result CrashResult
	for _, fingerprint := range report.Fingerprints {
		entry := state.suspects[fingerprint]
		if entry == nil {
			entry = &suspect{}
			state.suspects[fingerprint] = entry
		}
		if !slices.Contains(entry.Crashes, crash) {
			entry.Crashes = append(entry.Crashes, crash)
			entry.Until = max(entry.Until, state.now+report.ConvictionMillis)
			state.directoryNumber = index
		}
		result.Suspicions = append(result.Suspicions, entry.suspicion(fingerprint))
	}
	return result
}

func (state *State) expireSuspects(index uint64) {
	for fingerprint, entry := range state.suspects {
		if entry.Until < state.now {
			delete(state.suspects, fingerprint)
			state.directoryNumber = index
		}
	}
}

func (suspect *suspect) suspicion(fingerprint core.Fingerprint) Suspicion {
	return Suspicion{Fingerprint: fingerprint, Crashes: len(suspect.Crashes), Until: suspect.Until}
}

// SuspectedRequests returns all suspected and refused fingerprints that have not expired,
// sorted by fingerprint. Callers must compare Until with their own clock, because the
// time of the state advances only when a command is applied.
func (state *State) SuspectedRequests() []Suspicion {
	suspicions := make([]Suspicion, 0, len(state.suspects))
	for fingerprint, entry := range state.suspects {
		suspicions = append(suspicions, entry.suspicion(fingerprint))
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspicions
}
