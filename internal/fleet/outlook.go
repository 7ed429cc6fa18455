package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// Outlook is what is known of the upstreams that could serve a query.
type Outlook struct {
	// Best is the upstream that Select would choose. No request is counted there.
	Best Selection
	// Load is the relative load, with one more request, of the best upstream whatever its zone.
	Load float64
	// Slots and Requests are the sums over the upstreams, without those that seem to answer
	// nothing, and Age is the age of the oldest report of other VMs' requests there.
	Slots, Requests int
	Age             time.Duration
}

// Look returns the outlook of a query, and false if no upstream can serve it. If no slot is free,
// it makes reports due, whose answers bring newer numbers.
func (table *Table) Look(now time.Duration, query Query) (Outlook, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	outlook, found := Outlook{}, false
	lowest, lowestAnyZone := math.Inf(1), math.Inf(1)
	revision := table.revisions[query.Weights]
	for _, position := range table.holdersOf(query) {
		known := table.all[position]
		if !table.canServe(now, known, query, revision) {
			continue
		}
		candidate := table.candidate(now, known, query)
		if cost := candidate.Cost(); cost < lowest {
			lowest, found = cost, true
			outlook.Best = table.describe(now, known, query, cost)
		}
		candidate.Local = true
		if cost := candidate.Cost(); cost < lowestAnyZone {
			lowestAnyZone, outlook.Load = cost, candidate.Load()
		}
		outlook.Slots += candidate.Slots
		outlook.Requests += candidate.Running + candidate.Others
		outlook.Age = max(outlook.Age, table.reportAge(now, known.instance.Zone))
	}
	if outlook.Requests > outlook.Slots {
		table.leaveOutStuck(now, query, &outlook)
	}
	if outlook.Load > 1 {
		for _, position := range table.holdersOf(query) {
			table.changedZones[table.all[position].instance.Zone] = true
		}
	}
	return outlook, found
}

// leaveOutStuck takes upstreams out of the sums that have far more requests for their slots than the
// best one: a suspended upstream keeps the requests that it was sent, while no others go there.
// The caller holds the lock.
func (table *Table) leaveOutStuck(now time.Duration, query Query, outlook *Outlook) {
	revision := table.revisions[query.Weights]
	for _, position := range table.holdersOf(query) {
		known := table.all[position]
		if !table.canServe(now, known, query, revision) {
			continue
		}
		if candidate := table.pacedCandidate(known); candidate.Load() > 1+2*outlook.Load {
			outlook.Slots -= candidate.Slots
			outlook.Requests -= candidate.Running + candidate.Others
		}
	}
}

// Reported returns a channel that gets an element after reports of the requests of other VMs.
func (table *Table) Reported() <-chan struct{} { return table.reported }

// noteReport tells the receiver of Reported of a report of a zone. While the upstreams of a plain
// service have no free slot on average, it evens out what was reported of them, and makes the next
// report of the zone due: requests that arrive then are decided on with it. The caller holds
// the lock.
func (table *Table) noteReport(zone core.ZoneID) {
	select {
	case table.reported <- struct{}{}:
	default:
	}
	index := table.index.Load()
	if index == nil {
		return
	}
	for service, upstreams := range table.services {
		spec, ok := index.Table().Service(service)
		inZone := slices.ContainsFunc(upstreams, func(known *upstream) bool { return known.instance.Zone == zone })
		if !ok || spec.Engine != nil || !inZone {
			continue
		}
		candidates := make([]selection.Candidate, len(upstreams))
		for i, known := range upstreams {
			candidates[i] = selection.Candidate{Running: known.running, Others: known.reportedRunning, Slots: known.instance.Slots, Open: known.open}
		}
		table.evenings++
		if selection.Discount(candidates, upstreams[0].service, math.Phi*float64(table.evenings)) {
			table.changedZones[zone] = true
		}
		for i, known := range upstreams {
			known.otherRunning = candidates[i].Others
			table.updateBound(known)
		}
	}
}
