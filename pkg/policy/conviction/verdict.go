package conviction

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
)

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
	// Trier is the entry VM that carries out the trials of a convicted trait, empty for none.
	Trier core.VMID
}

// ChooseTrier returns the entry VM that carries out the trials of a trait, by rendezvous
// hashing, and the empty ID if there are no VMs. Control VMs that know the same entry VMs
// choose the same one, so that a trial is not carried out once for each of them.
func ChooseTrier(trait Trait, vms []core.VMID) core.VMID {
	var chosen core.VMID
	var highest uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(string(vm) + "\x00" + string(trait))
		if chosen == "" || score > highest || score == highest && vm > chosen {
			chosen, highest = vm, score
		}
	}
	return chosen
}
