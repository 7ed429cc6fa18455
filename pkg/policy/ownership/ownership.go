package ownership

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Standing is what the leader knows of a control VM.
type Standing struct {
	VM   core.VMID
	Zone core.ZoneID
	// Granted is the time of the last lease that this leader gave it, zero for none.
	Granted time.Duration
	// Steady is the time for which it has renewed without a gap.
	Steady time.Duration
}

// Timing holds the times of leases.
type Timing struct {
	// Lease is the length of a lease, and Margin the time for which it may be believed in
	// longer elsewhere.
	Lease, Margin time.Duration
	// Steady is the time for which a VM of the zone must have renewed before it takes the
	// zone back from a VM of another zone.
	Steady time.Duration
}

// Zone is a zone as the leader sees it.
type Zone struct {
	Zone core.ZoneID
	// Owner is the VM to which the zone was given last, empty for none.
	Owner     core.VMID
	Standings []Standing
	// Leading is the time for which this leader has led. Leases of the leader before it
	// are not known.
	Leading time.Duration
}

// Choose returns the VM to which the engines of a zone are to be given and whether the
// present owner has a lease. It returns false if they stay where they are.
func (timing Timing) Choose(now time.Duration, zone Zone) (next core.VMID, live, ok bool) {
	whole := timing.Lease + timing.Margin
	held := zone.Owner != "" && zone.Leading < whole
	var best Standing
	for _, standing := range zone.Standings {
		alive := standing.Granted != 0 && now-standing.Granted < timing.Lease
		if standing.VM == zone.Owner && standing.Granted != 0 && now-standing.Granted < whole {
			held = true
		}
		local := standing.Zone == zone.Zone
		if alive && (best.VM == "" || local && best.Zone != zone.Zone) {
			best = standing
		}
	}
	switch {
	case best.VM == "" || best.VM == zone.Owner:
		return "", false, false
	case !held:
		return best.VM, false, true
	case best.Zone == zone.Zone && best.Steady >= timing.Steady && zone.ownerZone() != zone.Zone:
		return best.VM, true, zone.Leading >= whole
	default:
		return "", false, false
	}
}

// ownerZone returns the zone of the present owner, empty if it is not known.
func (zone Zone) ownerZone() core.ZoneID {
	for _, standing := range zone.Standings {
		if standing.VM == zone.Owner {
			return standing.Zone
		}
	}
	return ""
}
