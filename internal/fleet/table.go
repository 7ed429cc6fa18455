package fleet

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
	"github.com/dandelionring/dandelionring/pkg/policy/membership"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// removalAfter is the time without a report of a control VM after which an upstream is
// removed. The control VMs, not the entry VM, decide when an upstream counts as silent.
const removalAfter = time.Hour

// ServiceKey identifies weights on the engines of one service.
type ServiceKey struct {
	Service core.ServiceID
	Weights core.WeightKey
}

// Owner is the control VM that owns the engines of a zone, with its fencing token.
type Owner struct {
	VM    core.VMID
	Token core.FencingToken
}

// Table is the state that an entry VM knows and selects upstreams from. Use NewTable. Its
// methods are safe for concurrent use.
type Table struct {
	zone core.ZoneID
	// vm is the name of this VM.
	vm    core.VMID
	index atomic.Pointer[route.Index]
	// rotation counts the selections. It rotates among upstreams of equal cost.
	rotation atomic.Uint32
	// routesReady is closed once a route table is in force.
	routesReady     chan struct{}
	routesReadyOnce sync.Once

	// lock has position 1 in the lock order: while it is held, only locks with a higher
	// position may be acquired.
	lock      sync.Mutex
	members   *membership.Table
	upstreams map[core.UpstreamID]*upstream
	services  map[core.ServiceID][]*upstream
	revisions map[core.WeightKey]core.Revision
	owners    map[core.ZoneID]Owner
	// quotaOwner is the control VM that grants the quotas.
	quotaOwner Owner
	entryVMs   int
	// handoverTargets holds the entry VMs that take requests over, by the control VM that
	// stated them.
	handoverTargets map[core.VMID][]handover.Target
	// brittle holds what the upstreams of a service have said last of being brittle.
	brittle map[core.ServiceID]statedBrittle
	// othersAt holds the time of the last report of the requests of other VMs in a zone.
	othersAt map[core.ZoneID]time.Duration
	// readingRates holds the rates at which engines read prompts.
	readingRates readingRates
	// sendCounts counts the requests sent since the last report to the owner of a zone.
	sendCounts map[core.ZoneID]map[ServiceKey]int
	// changedZones holds the zones in which a request has begun or ended since the last
	// report, and lastReport the time of that report.
	changedZones map[core.ZoneID]bool
	lastReport   map[core.ZoneID]time.Duration
	// paces compares the upstreams of each service, and timesAskedAt holds the times at which
	// reports asked the owners for the times of their upstreams.
	paces               map[core.ServiceID]*servicePace
	timesAskedAt        map[core.ZoneID]time.Duration
	nextPace, nextDrain time.Duration
	// all holds the upstreams by position, and bounds their least costs for Select.
	all    []*upstream
	bounds []selection.Bound
	// holders holds the positions of the upstreams with weights. It is filled by Select and
	// cleared when weights or upstreams change.
	holders map[ServiceKey][]selection.Position
	// allowed is a buffer of Select.
	allowed []selection.Position
}

// NewTable returns an empty table for an entry VM in a zone.
func NewTable(zone core.ZoneID) *Table {
	return &Table{
		zone:         zone,
		routesReady:  make(chan struct{}),
		members:      membership.NewTable(membership.Timing{Silence: removalAfter, Removal: removalAfter}),
		upstreams:    make(map[core.UpstreamID]*upstream),
		services:     make(map[core.ServiceID][]*upstream),
		revisions:    make(map[core.WeightKey]core.Revision),
		owners:       make(map[core.ZoneID]Owner),
		brittle:      make(map[core.ServiceID]statedBrittle),
		othersAt:     make(map[core.ZoneID]time.Duration),
		readingRates: make(readingRates),
		sendCounts:   make(map[core.ZoneID]map[ServiceKey]int),
		changedZones: make(map[core.ZoneID]bool),
		lastReport:   make(map[core.ZoneID]time.Duration),
		paces:        make(map[core.ServiceID]*servicePace),
		timesAskedAt: make(map[core.ZoneID]time.Duration),
		holders:      make(map[ServiceKey][]selection.Position),
	}
}

// Routes returns the index of the route table in force, or nil before there is one.
func (table *Table) Routes() *route.Index { return table.index.Load() }

// RoutesReady returns a channel that is closed once a route table is in force.
func (table *Table) RoutesReady() <-chan struct{} { return table.routesReady }

// RoutesNumber returns the number of the route table in force, zero before there is one.
func (table *Table) RoutesNumber() core.ConfigNumber {
	index := table.index.Load()
	if index == nil {
		return 0
	}
	return index.Table().Number
}

// SetRoutes puts a route table in force if its number is above the present one. It returns
// true if it did.
func (table *Table) SetRoutes(routes core.RouteTable) bool {
	return table.setIndex(routes.Number, func(*route.Index) *route.Index { return route.NewIndex(routes) })
}

// ChangeRoutes is SetRoutes for a table to which a change of the present one leads.
func (table *Table) ChangeRoutes(routes core.RouteTable, change routediff.Change) bool {
	return table.setIndex(routes.Number, func(current *route.Index) *route.Index { return current.Change(routes, change) })
}

// setIndex puts the route table with a number in force if the number is above the present one. It
// returns true if it did.
func (table *Table) setIndex(number core.ConfigNumber, next func(current *route.Index) *route.Index) bool {
	for {
		current := table.index.Load()
		if current != nil && current.Table().Number >= number {
			return false
		}
		if table.index.CompareAndSwap(current, next(current)) {
			table.routesReadyOnce.Do(func() { close(table.routesReady) })
			table.lock.Lock()
			defer table.lock.Unlock()
			table.members.SetServices(table.Routes().Table().NamedServices())
			return true
		}
	}
}

// SetInstance updates an upstream with the state that a control VM reports. It returns true
// if something changed.
func (table *Table) SetInstance(now time.Duration, instance core.Instance) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	changed := table.members.Announce(now, instance)
	statusChanged := table.members.Merge(instance)
	if changed || statusChanged {
		table.rebuildUpstreams(now)
	}
	if known := table.upstreams[instance.Upstream]; known != nil && known.instance.Born == instance.Born && instance.Sequence >= known.endedSequence+endedAnnouncements {
		known.ended = false
	}
	return changed || statusChanged
}

// rebuildUpstreams updates the upstreams and the lists by service from the members. The
// caller holds the lock.
func (table *Table) rebuildUpstreams(now time.Duration) {
	clear(table.services)
	clear(table.holders)
	members := table.members.All()
	table.all = slices.Grow(table.all[:0], len(members))
	table.bounds = slices.Grow(table.bounds[:0], len(members))
	for position, instance := range members {
		known := table.upstreams[instance.Upstream]
		if known == nil || known.instance.Born != instance.Born {
			if known != nil {
				known.wakeWaiting()
			}
			known = &upstream{weights: announcedWeights(instance), inFlight: make(map[core.WeightKey]int)}
			table.upstreams[instance.Upstream] = known
		}
		if known.token == 0 && known.instance.Sequence != instance.Sequence {
			known.weights = announcedWeights(instance)
		}
		before := known.instance
		known.instance = instance
		if !known.usable() || before.Software != instance.Software {
			known.wakeWaiting()
		}
		known.position = selection.Position(position)
		table.setPaceState(now, known, before)
		table.all = append(table.all, known)
		table.bounds = append(table.bounds, selection.Bound{})
		table.updateBound(known)
		if known.usable() {
			table.services[instance.Service] = append(table.services[instance.Service], known)
		}
	}
	for id := range table.upstreams {
		if _, ok := table.members.Get(id); !ok {
			table.upstreams[id].wakeWaiting()
			table.servicePace(table.upstreams[id].instance.Service).tracker.Remove(id)
			delete(table.upstreams, id)
		}
	}
}

// SetResidency applies a change of an engine's weights that its owner reports. It ignores
// changes of another instance, of a former owner, and of a new owner that has not sent its
// whole state.
func (table *Table) SetResidency(change residency.Change, token core.FencingToken) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[change.Upstream]
	if known == nil || known.instance.Born != change.Born || known.token > token {
		return
	}
	if change.Whole {
		known.weights = make(map[core.WeightKey]core.Revision, len(change.Added))
	}
	if !change.Whole && known.token != token {
		return // the whole state of a new owner comes first
	}
	clear(table.holders)
	known.token = token
	for _, removed := range change.Removed {
		delete(known.weights, removed)
	}
	for _, added := range change.Added {
		known.weights[added.Weights] = added.Revision
	}
}

// SetRevision sets the newest revision of an adapter; a lower one is ignored.
func (table *Table) SetRevision(key core.WeightKey, revision core.Revision) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.revisions[key] = max(table.revisions[key], revision)
}

// SetOwner sets the owner of a zone's engines; a lower or equal token is ignored.
func (table *Table) SetOwner(zone core.ZoneID, owner Owner) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if owner.Token > table.owners[zone].Token {
		table.owners[zone] = owner
	}
}

// SetQuotaOwner sets the control VM that grants the quotas; a lower or equal token is ignored. It
// returns true if the owner changed.
func (table *Table) SetQuotaOwner(owner Owner) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	if owner.Token <= table.quotaOwner.Token {
		return false
	}
	table.quotaOwner = owner
	return true
}

// QuotaOwner returns the control VM that grants the quotas, empty if none is known.
func (table *Table) QuotaOwner() core.VMID {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.quotaOwner.VM
}

// Owners returns the owner of the engines of each zone.
func (table *Table) Owners() map[core.ZoneID]core.VMID {
	table.lock.Lock()
	defer table.lock.Unlock()
	owners := make(map[core.ZoneID]core.VMID, len(table.owners))
	for zone, owner := range table.owners {
		owners[zone] = owner.VM
	}
	return owners
}

// OwnersFor returns the owners to ask, in this order, for an engine with the weights of the
// query. Each key has a preferred zone, so that its weights are loaded from the store once
// and not in every zone; it comes first and the own zone second. If more is set, for one
// more copy of the weights, the own zone comes first.
func (table *Table) OwnersFor(query Query, more bool) []core.VMID {
	table.lock.Lock()
	defer table.lock.Unlock()
	engines := make(map[core.ZoneID]int)
	for _, known := range table.services[query.Service] {
		if !known.instance.Silent && query.Origin.Allows(known.software()) {
			engines[known.instance.Zone]++
		}
	}
	scores := make(map[core.ZoneID]float64)
	var zones []core.ZoneID
	for zone := range table.owners {
		if engines[zone] == 0 {
			continue
		}
		zones = append(zones, zone)
		scores[zone] = rendezvousScore(zone, query.Weights, engines[zone])
	}
	slices.SortFunc(zones, func(a, b core.ZoneID) int { return cmp.Compare(scores[b], scores[a]) })
	ownPosition := 1
	if more {
		ownPosition = 0
	}
	if at := slices.Index(zones, table.zone); at > ownPosition {
		zones = slices.Insert(slices.Delete(zones, at, at+1), ownPosition, table.zone)
	}
	var owners []core.VMID
	for _, zone := range zones {
		if vm := table.owners[zone].VM; !slices.Contains(owners, vm) {
			owners = append(owners, vm)
		}
	}
	return owners
}

// rendezvousScore returns the score of a zone for weights by weighted rendezvous hashing.
// The zone with the highest score is preferred, so each zone is preferred for a share of
// the keys in proportion to its engines.
func rendezvousScore(zone core.ZoneID, key core.WeightKey, engines int) float64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(zone))
	_, _ = hash.WriteString(string(key.Model))
	_, _ = hash.WriteString(string(key.Adapter))
	uniform := (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(engines) / math.Log(uniform)
}

// SetEntryVMs sets the number of entry VMs; a lower one is ignored, since a VM that is
// partitioned from the others still shares budgets with them.
func (table *Table) SetEntryVMs(count int) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.entryVMs = max(table.entryVMs, count)
}

// EntryVMs returns the number of entry VMs that share budgets, at least one.
func (table *Table) EntryVMs() int {
	table.lock.Lock()
	defer table.lock.Unlock()
	return max(1, table.entryVMs)
}

// Query describes the upstream that a request needs.
type Query struct {
	Service core.ServiceID
	// Weights is zero for a plain service.
	Weights core.WeightKey
	// Exclude lists the upstreams that were already tried.
	Exclude []core.UpstreamID
	// Prompt is the size of the prompt, zero if there is none, and Objective the time in which
	// the first event should arrive.
	Prompt    core.Tokens
	Objective time.Duration
	// Origin states which software the upstream must have.
	Origin origin.Requirement
	// Request is the id of the waiting request, for the log.
	Request core.RequestID
	// Tokens is the size of the request, zero if unknown.
	Tokens core.Tokens
}

// Selection is a selected upstream.
type Selection struct {
	Upstream core.UpstreamID
	Born     int64
	Address  string
	Zone     core.ZoneID
	// Software is the version of the upstream's software, empty if unknown.
	Software core.SoftwareVersion
	// Revision is the revision of the adapter that a request must run with, zero if none
	// was named.
	Revision core.Revision
	// Cost is the cost from package selection. Below 1 the upstream has a free slot.
	Cost float64
	// Weights is the key from the query.
	Weights core.WeightKey
	// Reading is the time that the upstream needs for the prompts before that of the request.
	Reading time.Duration
	// prompt is the prompt of the request, nil if it states none.
	prompt *pendingPrompt
	// Limit is the limit that the upstream has stated.
	Limit core.RequestLimit
	// Service is the learned time of one answer of a call, or until the first event of a
	// stream, at an upstream with a free slot. It is zero if unknown.
	Service time.Duration
	// unhindered is set if the time of the answer is likely not to include a wait for a slot.
	unhindered bool
}

// Select selects the upstream with the lowest cost for a request and counts the request as
// running there until Finish is called. It returns false if no upstream can serve it.
func (table *Table) Select(now time.Duration, query Query) (Selection, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	revision := table.revisions[query.Weights]
	positions := table.holdersOf(query)
	if len(query.Exclude) > 0 || query.Origin != (origin.Requirement{}) {
		// Most repeats come here. Among upstreams of equal cost, the one behind an excluded one
		// must not get its share too.
		table.allowed = table.allowed[:0]
		for _, position := range positions {
			if table.canServe(now, table.all[position], query, revision) {
				table.allowed = append(table.allowed, position)
			}
		}
		positions = table.allowed
	}
	at, cost := selection.Choose(table.bounds, positions, int(table.rotation.Add(1)), relativeSize(query), func(at selection.Position) (float64, bool) {
		known := table.all[at]
		if !table.canServe(now, known, query, revision) {
			return 0, false
		}
		return table.candidate(now, known, query).Cost(), true
	})
	if at < 0 {
		return Selection{}, false
	}
	return table.take(now, table.all[at], query, cost), true
}

// holdersOf returns the positions of the upstreams of the service that hold the weights of a
// query, in any revision. The caller holds the lock.
func (table *Table) holdersOf(query Query) []selection.Position {
	key := ServiceKey{query.Service, query.Weights}
	positions, ok := table.holders[key]
	if ok {
		return positions
	}
	for _, known := range table.services[query.Service] {
		if _, held := known.heldRevision(query.Weights); held || query.Weights.Model == "" {
			positions = append(positions, known.position)
		}
	}
	if len(positions) > 0 { // callers may name any weights
		table.holders[key] = positions
	}
	return positions
}

// take counts a request as running at an upstream and returns the selection of it. The caller
// holds the lock.
func (table *Table) take(now time.Duration, known *upstream, query Query, cost float64) Selection {
	candidate := table.candidate(now, known, query)
	table.sendBrittle(now, known)
	table.countSend(known, query)
	prompt := known.sendPrompt(query)
	instance := &known.instance
	return Selection{
		Upstream: instance.Upstream, Born: instance.Born, Address: instance.Address, Zone: instance.Zone, Software: known.software(),
		Revision: table.revisions[query.Weights], Cost: cost, Weights: query.Weights, Limit: known.stated.limit, prompt: prompt, Reading: candidate.Reading,
		Service:    known.service,
		unhindered: pace.Unhindered(known.running-1+known.otherRunning, known.instance.Slots),
	}
}

// HasSoftware reports whether an upstream that takes requests and is not excluded has the
// software that the query asks for, whatever weights it holds.
func (table *Table) HasSoftware(query Query) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	return slices.ContainsFunc(table.services[query.Service], func(known *upstream) bool {
		return query.Origin.Allows(known.software()) && !slices.Contains(query.Exclude, known.instance.Upstream)
	})
}

// canServe reports whether an upstream may be sent the query. An engine must hold the
// weights in at least the given revision. The caller holds the lock.
func (table *Table) canServe(now time.Duration, known *upstream, query Query, revision core.Revision) bool {
	if known.stated.limit.Stated && known.stated.heldUntil > now || table.brittleWait(now, known) > 0 {
		return false
	}
	return table.holdsFor(now, known, query, revision)
}

// holdsFor reports whether an upstream could serve the query if it stated no limit. The
// caller holds the lock.
func (table *Table) holdsFor(now time.Duration, known *upstream, query Query, revision core.Revision) bool {
	if known.backoffUntil > now || slices.Contains(query.Exclude, known.instance.Upstream) || !query.Origin.Allows(known.software()) {
		return false
	}
	if query.Weights.Model == "" {
		return true
	}
	held, ok := known.heldRevision(query.Weights)
	return ok && held >= revision
}

// candidate returns the upstream as input of the selection. The caller holds the lock.
func (table *Table) candidate(now time.Duration, known *upstream, query Query) selection.Candidate {
	candidate := table.pacedCandidate(known)
	candidate.Faults, candidate.Silent = known.failures.value(now), known.instance.Silent
	candidate.Limited = known.stated.limit.Stated && now-known.stated.at < limitRefresh
	candidate.Size = relativeSize(query)
	candidate.Reading, candidate.Objective = table.reading(known), query.Objective
	return candidate
}

// relativeSize returns the size of a request as the selection takes it.
func relativeSize(query Query) float64 { return float64(query.Tokens) / float64(tokensPerSlot) }

// updateBound updates the least cost of an upstream after a change of its requests, its speed or
// its share. The caller holds the lock.
func (table *Table) updateBound(known *upstream) {
	table.bounds[known.position] = table.pacedCandidate(known).Bound()
}

// Reserve counts a request as running at a given upstream until Finish is called. It
// returns false if no request may be sent there.
func (table *Table) Reserve(now time.Duration, id core.UpstreamID, query Query) (Selection, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[id]
	if known == nil || !known.usable() || known.backoffUntil > now || !query.Origin.Allows(known.software()) || table.brittleWait(now, known) > 0 {
		return Selection{}, false
	}
	return table.take(now, known, query, table.candidate(now, known, query).Cost()), true
}

// Revision returns the newest revision of an adapter, zero if none was named.
func (table *Table) Revision(key core.WeightKey) core.Revision {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.revisions[key]
}

// Finish marks a request as ended that Select or Reserve counted as running.
func (table *Table) Finish(selected Selection) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.removePrompt(selected)
	if known == nil || known.running == 0 {
		return
	}
	known.running--
	table.updateBound(known)
	table.changedZones[known.instance.Zone] = true
	if known.inFlight[selected.Weights]--; known.inFlight[selected.Weights] <= 0 {
		delete(known.inFlight, selected.Weights)
	}
}

// RequestResult is the result of a request to an upstream.
type RequestResult uint8

// The results.
const (
	// Answered means that the upstream itself answered, without a failure.
	Answered RequestResult = iota + 1
	// Failed means a failure, an invalid answer, or no answer in time.
	Failed
	// Unreachable means that the connection could not be opened or was lost.
	Unreachable
	// Rejected means that the upstream had no room for the request and has not run it.
	Rejected
)

// The bounds of the exponential backoff before an unreachable upstream is tried again.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Observe records the result of a request and starts the backoff of an unreachable
// upstream.
func (table *Table) Observe(now time.Duration, selected Selection, result RequestResult) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if known == nil || known.instance.Born != selected.Born {
		return
	}
	known.failures.observe(now, result != Answered)
	switch result {
	case Rejected:
		table.observePace(now, known, pace.Answers{Rejections: 1})
	case Failed, Unreachable:
		table.observePace(now, known, pace.Answers{Failures: 1})
	}
	if result != Unreachable {
		known.connectFailures = 0
		return
	}
	known.connectFailures++
	known.backoffUntil = now + min(maxBackoff, minBackoff<<min(known.connectFailures-1, 5))
}

// MarkEnded notes that the selected process refuses connections and so seems to have ended.
func (table *Table) MarkEnded(selected Selection) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[selected.Upstream]; known != nil && known.instance.Born == selected.Born {
		known.ended, known.endedSequence = true, known.instance.Sequence
		known.wakeWaiting()
	}
}

// EndExpected reports whether the selected process had announced that it leaves, or is
// known no more.
func (table *Table) EndExpected(selected Selection) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	return known == nil || known.instance.Born != selected.Born || !known.usable()
}

// MarkNotHeld records that an engine does not hold weights, contrary to the table.
func (table *Table) MarkNotHeld(selected Selection, key core.WeightKey) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[selected.Upstream]; known != nil && known.instance.Born == selected.Born {
		delete(known.weights, key)
		clear(table.holders)
	}
}

// countSend counts a request as running and for the next report to the owner of the
// engine. The caller holds the lock.
func (table *Table) countSend(known *upstream, query Query) {
	known.running++
	known.unreported++
	table.updateBound(known)
	table.changedZones[known.instance.Zone] = true
	if query.Weights.Model == "" {
		return
	}
	known.inFlight[query.Weights]++
	zone := known.instance.Zone
	if table.sendCounts[zone] == nil {
		table.sendCounts[zone] = make(map[ServiceKey]int)
	}
	table.sendCounts[zone][ServiceKey{query.Service, query.Weights}]++
}
