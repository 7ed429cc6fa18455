package ledger

import (
	"cmp"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// crashID names one crash: an upstream loses its incarnation only once.
type crashID struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
}

// suspect is what is kept about a fingerprint.
type suspect struct {
	Crashes []crashID
	Until   int64
}

// applyCrash counts a crash once for each fingerprint, however many VMs report it
// and however often.
func (state *State) applyCrash(index uint64, report CrashReport) CrashResult {
	crash := crashID{report.Upstream, report.Incarnation}
	var result CrashResult
	for _, fingerprint := range report.Fingerprints {
		known := state.suspects[fingerprint]
		if known == nil {
			known = &suspect{}
			state.suspects[fingerprint] = known
		}
		if !slices.Contains(known.Crashes, crash) {
			known.Crashes = append(known.Crashes, crash)
			known.Until = max(known.Until, state.now+report.ConvictionMillis)
			state.directory = index
		}
		result.Suspicions = append(result.Suspicions, known.describe(fingerprint))
	}
	return result
}

func (state *State) expireSuspects(index uint64) {
	for fingerprint, known := range state.suspects {
		if known.Until < state.now {
			delete(state.suspects, fingerprint)
			state.directory = index
		}
	}
}

func (known *suspect) describe(fingerprint core.Fingerprint) Suspicion {
	return Suspicion{Fingerprint: fingerprint, Crashes: len(known.Crashes), Until: known.Until}
}

// Suspicions returns all fingerprints whose suspicion or conviction has not ended,
// sorted. A reader compares Until with its own time, since the time of the state
// stands still between commands.
func (state *State) Suspicions() []Suspicion {
	suspicions := make([]Suspicion, 0, len(state.suspects))
	for fingerprint, known := range state.suspects {
		suspicions = append(suspicions, known.describe(fingerprint))
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspicions
}
