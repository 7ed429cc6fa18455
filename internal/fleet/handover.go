package fleet

import (
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
)

// SetHandoverTargets sets the entry VMs that take requests over, as a control VM states them.
func (table *Table) SetHandoverTargets(control core.VMID, targets []handover.Target) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.handoverTargets == nil {
		table.handoverTargets = make(map[core.VMID][]handover.Target)
	}
	table.handoverTargets[control] = targets
}

// HandoverTargets returns the entry VMs that take requests over, as the control VMs stated them
// last. A VM that has ended may be among them.
func (table *Table) HandoverTargets() []handover.Target {
	table.lock.Lock()
	defer table.lock.Unlock()
	var all []handover.Target
	for _, control := range slices.Sorted(maps.Keys(table.handoverTargets)) {
		for _, target := range table.handoverTargets[control] {
			if target.VM != table.vm && !slices.Contains(all, target) {
				all = append(all, target)
			}
		}
	}
	return all
}

// Zone returns the zone of this VM.
func (table *Table) Zone() core.ZoneID { return table.zone }

// UsableUpstreams returns the upstreams of a service that take requests and are announced, or all
// that take requests if no announcement of any has arrived in time.
func (table *Table) UsableUpstreams(service core.ServiceID) []core.UpstreamID {
	table.lock.Lock()
	defer table.lock.Unlock()
	var announced, silent []core.UpstreamID
	for _, known := range table.services[service] {
		if known.instance.Silent {
			silent = append(silent, known.instance.Upstream)
		} else {
			announced = append(announced, known.instance.Upstream)
		}
	}
	if len(announced) == 0 {
		return silent
	}
	return announced
}

// Find returns an upstream that takes requests, without counting a request, and false if there
// is none with the ID.
func (table *Table) Find(id core.UpstreamID) (Selection, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[id]
	if known == nil || !known.usable() {
		return Selection{}, false
	}
	return Selection{Upstream: id, Born: known.instance.Born, Address: known.instance.Address, Zone: known.instance.Zone, Software: known.software()}, true
}
