package handover

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Target is an entry VM that takes requests over.
type Target struct {
	VM   core.VMID
	Zone core.ZoneID
	// Address is the address on which it takes them over.
	Address string
}

const (
	// declinedPause is the time for which a VM is not asked again that does not reach the
	// upstreams of a service either. A partition of several VMs lasts for seconds.
	declinedPause = 2 * time.Second
	// failedPause is the time for which a VM that cannot be reached or does not take a request
	// over in time gets none.
	failedPause = 2 * time.Second
	// remoteCost is the number of requests in flight that a VM of the own zone may have more
	// than one of another zone: bytes between zones are dearer, and a zone may have only one VM
	// left that reaches the upstreams.
	remoteCost = 8
)

// declined identifies the upstreams that a VM does not reach.
type declined struct {
	vm      core.VMID
	service core.ServiceID
}

// Table knows what the other VMs have said and how many requests they have in flight from this
// one. The zero value knows nothing. It is not safe for concurrent use.
type Table struct {
	running  map[core.VMID]int
	failed   map[core.VMID]time.Duration
	declined map[declined]time.Duration
	turns    int
}

// Choose returns the target for a request and counts it as running there until Finish is
// called. It returns false if there is none.
func (table *Table) Choose(now time.Duration, zone core.ZoneID, service core.ServiceID, targets []Target, tried []core.VMID) (Target, bool) {
	best, lowest := -1, 0
	table.turns++
	for i := range targets {
		index := (i + table.turns) % len(targets)
		target := targets[index]
		if now < table.failed[target.VM] || now < table.declined[declined{target.VM, service}] || slices.Contains(tried, target.VM) {
			continue
		}
		cost := table.running[target.VM]
		if target.Zone != zone {
			cost += remoteCost
		}
		if best < 0 || cost < lowest {
			best, lowest = index, cost
		}
	}
	if best < 0 {
		return Target{}, false
	}
	if table.running == nil {
		table.running = make(map[core.VMID]int)
	}
	table.running[targets[best].VM]++
	return targets[best], true
}

// Finish notes the end of a request that Choose has counted.
func (table *Table) Finish(vm core.VMID) {
	if table.running[vm]--; table.running[vm] <= 0 {
		delete(table.running, vm)
	}
}

// Failed notes that a VM cannot be reached or has not taken a request over in time.
func (table *Table) Failed(now time.Duration, vm core.VMID) {
	if table.failed == nil {
		table.failed = make(map[core.VMID]time.Duration)
	}
	forget(now, table.failed)
	table.failed[vm] = now + failedPause
}

// Declined notes that a VM does not reach the upstreams of a service either, or ends.
func (table *Table) Declined(now time.Duration, vm core.VMID, service core.ServiceID) {
	if table.declined == nil {
		table.declined = make(map[declined]time.Duration)
	}
	forget(now, table.declined)
	table.declined[declined{vm, service}] = now + declinedPause
}

// forget deletes the pauses that have ended.
func forget[Key comparable](now time.Duration, pauses map[Key]time.Duration) {
	for key, until := range pauses {
		if until <= now {
			delete(pauses, key)
		}
	}
}
