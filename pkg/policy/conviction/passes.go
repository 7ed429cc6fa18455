package conviction

import "time"

const (
	// passMemory is the least time for which passes are remembered.
	passMemory = 10 * time.Second
	// maxPasses bounds the traits that are remembered from each passMemory. At 100 requests
	// a second with four traits it holds those of 40 s.
	maxPasses = 16384
)

// Passes holds the times at which upstreams have answered requests, by trait. The zero
// value is ready to use. Times are readings of a monotonic clock that continues while the
// machine is suspended. A Passes is not safe for concurrent use.
type Passes struct {
	// recent holds the passes since rotated, and older those of the passMemory before.
	recent, older map[Trait]time.Duration
	rotated       time.Duration
}

// Record notes that an upstream has answered a request and goes on.
func (passes *Passes) Record(now time.Duration, request Request) {
	if passes.recent == nil || now-passes.rotated >= passMemory {
		passes.older, passes.recent, passes.rotated = passes.recent, make(map[Trait]time.Duration), now
	}
	for _, trait := range request.traits() {
		if _, known := passes.recent[trait]; known || len(passes.recent) < maxPasses {
			passes.recent[trait] = now
		}
	}
}

// Last returns the time of the last pass of a trait, and false if none is remembered.
func (passes *Passes) Last(trait Trait) (time.Duration, bool) {
	if at, ok := passes.recent[trait]; ok {
		return at, true
	}
	at, ok := passes.older[trait]
	return at, ok
}

// Suspect returns the evidence of a request that was suspect when an upstream ended.
func (passes *Passes) Suspect(now time.Duration, request Request) Suspect {
	suspect := Suspect{Content: passes.evidence(now, request.Content)}
	for _, part := range request.Parts {
		suspect.Parts = append(suspect.Parts, passes.evidence(now, part))
	}
	return suspect
}

func (passes *Passes) evidence(now time.Duration, trait Trait) Evidence {
	at, passed := passes.Last(trait)
	return Evidence{Trait: trait, Passed: passed, PassAge: now - at}
}
