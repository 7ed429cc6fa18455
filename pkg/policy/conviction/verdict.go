package conviction

import "time"

// Status is what a verdict says about a trait.
type Status uint8

// The statuses.
const (
	// Suspected traits are not refused. Entry VMs report their passes.
	Suspected Status = iota + 1
	// Convicted traits are refused.
	Convicted
	// Cleared traits are neither refused nor watched any more.
	Cleared
)

// String returns the name of the status, and "invalid" for any other value.
func (status Status) String() string {
	switch status {
	case Suspected:
		return "suspected"
	case Convicted:
		return "convicted"
	case Cleared:
		return "cleared"
	default:
		return "invalid"
	}
}

// Verdict is the judgement of one control VM about a trait. Of two verdicts the younger one
// holds.
type Verdict struct {
	Trait  Trait
	Status Status
	// Age is the time since the judgement; of a suspected trait, since the first end that
	// counts against it.
	Age time.Duration
	// Left is the time until the verdict ends.
	Left time.Duration
}
