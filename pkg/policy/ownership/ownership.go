package ownership

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// VMState is the state of a control VM, as known to the leader.
type VMState struct {
	VM   core.VMID
	Zone core.ZoneID
	// Granted is the time at which this leader last granted the VM a lease, zero for never.
	Granted time.Duration
	// Steady is the time for which the VM has renewed its lease without interruption.
	Steady time.Duration
}

// Timing holds the durations that govern leases.
type Timing struct {
	// Lease is the duration of a lease. Margin is the additional time for which the lease
	// may still be considered valid elsewhere.
	Lease, Margin time.Duration
	// Steady is the time for which a VM of the zone must have renewed its lease without
	// interruption before it takes over the engines from a VM of another zone.
	Steady time.Duration
}

// Zone is the state of a zone, as known to the leader.
type Zone struct {
	Zone core.ZoneID
	// Owner is the VM to which the engines were last assigned, empty for none.
	Owner     core.VMID
	Standings []VMState
	// Leading is the time since this leader was elected. The leader does not know the
	// leases that its predecessor granted.
	Leading time.Duration
}

// ChooseOwner returns the VM to which the engines of a zone are to be assigned, and in live
// whether the current owner may still hold a lease. If ok is false, the assignment does
// not change.
func (timing Timing) ChooseOwner(now time.Duration, zone Zone) (next core.VMID, live, ok bool) {
	maxValidity := timing.Lease + timing.Margin
	ownerMayHoldLease := zone.Owner != "" && zone.Leading < maxValidity
	var best VMState
	for _, state := range zone.Standings {
		leased := state.Granted != 0 && now-state.Granted < timing.Lease
		if state.VM == zone.Owner && state.Granted != 0 && now-state.Granted < maxValidity {
			ownerMayHoldLease = true
		}
		local := state.Zone == zone.Zone
		if leased && (best.VM == "" || local && best.Zone != zone.Zone) {
			best = state
		}
	}
	switch {
	case best.VM == "" || best.VM == zone.Owner:
		return "", false, false
	case !ownerMayHoldLease:
		return best.VM, false, true
	case best.Zone == zone.Zone && best.Steady >= timing.Steady && zone.ownerZone() != zone.Zone:
		return best.VM, true, zone.Leading >= maxValidity
	default:
		return "", false, false
	}
}

// ownerZone returns the zone of the current owner, empty if it is unknown.
func (zone Zone) ownerZone() core.ZoneID {
	for _, state := range zone.Standings {
		if state.VM == zone.Owner {
			return state.Zone
		}
	}
	return ""
}
