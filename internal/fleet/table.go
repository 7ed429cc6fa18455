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
	"github.com/dandelionring/dandelionring/pkg/policy/membership"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// The silence of an upstream is judged by the control VMs; an entry VM only forgets those
// of which it has not heard anything for long.
const forgetAfter = time.Hour

// ServiceKey is weights of the engines of one service.
type ServiceKey struct {
	Service core.ServiceID
	Weights core.WeightKey
}

// Owner is the control VM that owns the engines of a zone.
type Owner struct {
	VM    core.VMID
	Token core.FencingToken
}

// Table is the picture of an entry VM. Use NewTable; its methods may be called by any
// number of goroutines.
type Table struct {
	zone  core.ZoneID
	index atomic.Pointer[route.Index]
	turn  atomic.Uint32
	// first is closed once a route table is in force.
	first     chan struct{}
	firstOnce sync.Once

	// lock is table 1 of the lock order: while it is held, only locks with a higher
	// number may be taken.
	lock      sync.Mutex
	members   *membership.Table
	upstreams map[core.UpstreamID]*upstream
	services  map[core.ServiceID][]*upstream
	revisions map[core.WeightKey]core.Revision
	owners    map[core.ZoneID]Owner
	entryVMs  int
	// used counts the sends since the last report to the owner of a zone.
	used map[core.ZoneID]map[ServiceKey]int
	// touched holds the zones in which a request has begun or ended since the last report,
	// and reported the time of the last one.
	touched  map[core.ZoneID]bool
	reported map[core.ZoneID]time.Duration
}

// NewTable returns the empty picture of an entry VM in a zone.
func NewTable(zone core.ZoneID) *Table {
	return &Table{
		zone:      zone,
		first:     make(chan struct{}),
		members:   membership.NewTable(membership.Timing{Silence: forgetAfter, Removal: forgetAfter}),
		upstreams: make(map[core.UpstreamID]*upstream),
		services:  make(map[core.ServiceID][]*upstream),
		revisions: make(map[core.WeightKey]core.Revision),
		owners:    make(map[core.ZoneID]Owner),
		used:      make(map[core.ZoneID]map[ServiceKey]int),
		touched:   make(map[core.ZoneID]bool),
		reported:  make(map[core.ZoneID]time.Duration),
	}
}

// Routes returns the route table in force, or nil before there is one.
func (table *Table) Routes() *route.Index { return table.index.Load() }

// HasRoutes returns a channel that is closed once a route table is in force.
func (table *Table) HasRoutes() <-chan struct{} { return table.first }

// Number returns the number of the route table in force, zero before there is one.
func (table *Table) Number() core.ConfigNumber {
	index := table.index.Load()
	if index == nil {
		return 0
	}
	return index.Table().Number
}

// SetRoutes puts a route table in force unless its number is not above the present one.
// It returns true if it did.
func (table *Table) SetRoutes(routes core.RouteTable) bool {
	next := route.NewIndex(routes)
	for {
		present := table.index.Load()
		if present != nil && present.Table().Number >= routes.Number {
			return false
		}
		if table.index.CompareAndSwap(present, next) {
			table.firstOnce.Do(func() { close(table.first) })
			return true
		}
	}
}

// SetInstance takes in what a control VM heard of an upstream. It returns true if
// something changed.
func (table *Table) SetInstance(now time.Duration, instance core.Instance) bool {
	table.lock.Lock()
	defer table.lock.Unlock()
	changed := table.members.Announce(now, instance)
	judged := table.members.Judge(instance)
	if changed || judged {
		table.refresh()
	}
	return changed || judged
}

// refresh brings the upstreams up to the members. The caller holds the lock.
func (table *Table) refresh() {
	clear(table.services)
	for _, instance := range table.members.All() {
		known := table.upstreams[instance.Upstream]
		if known == nil || known.instance.Born != instance.Born {
			known = &upstream{weights: announcedWeights(instance), inFlight: make(map[core.WeightKey]int)}
			table.upstreams[instance.Upstream] = known
		}
		if known.token == 0 && known.instance.Sequence != instance.Sequence {
			known.weights = announcedWeights(instance)
		}
		known.instance = instance
		if known.usable() {
			table.services[instance.Service] = append(table.services[instance.Service], known)
		}
	}
	for id := range table.upstreams {
		if _, ok := table.members.Get(id); !ok {
			delete(table.upstreams, id)
		}
	}
}

// SetResidency takes in what the owner of an engine says that it holds.
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
	known.token = token
	for _, removed := range change.Removed {
		delete(known.weights, removed)
	}
	for _, added := range change.Added {
		known.weights[added.Weights] = added.Revision
	}
}

// SetRevision takes in the newest revision of an adapter.
func (table *Table) SetRevision(key core.WeightKey, revision core.Revision) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.revisions[key] = max(table.revisions[key], revision)
}

// SetOwner takes in the owner of a zone's engines; the one with the largest token counts.
func (table *Table) SetOwner(zone core.ZoneID, owner Owner) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if owner.Token > table.owners[zone].Token {
		table.owners[zone] = owner
	}
}

// Owners returns the owners of the engines of all zones.
func (table *Table) Owners() map[core.ZoneID]core.VMID {
	table.lock.Lock()
	defer table.lock.Unlock()
	owners := make(map[core.ZoneID]core.VMID, len(table.owners))
	for zone, owner := range table.owners {
		owners[zone] = owner.VM
	}
	return owners
}

// OwnersFor returns the owners of engines in the order in which they are asked for an
// engine with certain weights. The weights have a home zone, so that they are loaded from
// the store once and not in every zone; the own zone comes next. For one more copy the
// own zone comes first.
func (table *Table) OwnersFor(query Query, more bool) []core.VMID {
	table.lock.Lock()
	defer table.lock.Unlock()
	engines := make(map[core.ZoneID]int)
	for _, known := range table.services[query.Service] {
		if !known.instance.Silent {
			engines[known.instance.Zone]++
		}
	}
	ranks := make(map[core.ZoneID]float64)
	var zones []core.ZoneID
	for zone := range table.owners {
		if engines[zone] == 0 {
			continue
		}
		zones = append(zones, zone)
		ranks[zone] = homeRank(zone, query.Weights, engines[zone])
	}
	slices.SortFunc(zones, func(a, b core.ZoneID) int { return cmp.Compare(ranks[b], ranks[a]) })
	first := 1
	if more {
		first = 0
	}
	if at := slices.Index(zones, table.zone); at > first {
		zones = slices.Insert(slices.Delete(zones, at, at+1), first, table.zone)
	}
	var owners []core.VMID
	for _, zone := range zones {
		if vm := table.owners[zone].VM; !slices.Contains(owners, vm) {
			owners = append(owners, vm)
		}
	}
	return owners
}

// homeRank is the rank of a zone for weights by weighted rendezvous hashing: the zone with
// the highest rank is their home, and zones are homes in proportion to their engines.
func homeRank(zone core.ZoneID, key core.WeightKey, engines int) float64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(zone))
	_, _ = hash.WriteString(string(key.Model))
	_, _ = hash.WriteString(string(key.Adapter))
	uniform := (float64(hash.Sum64()>>11) + 0.5) / (1 << 53)
	return -float64(engines) / math.Log(uniform)
}

// SetEntryVMs takes in the number of entry VMs. The largest one counts: a VM that is cut
// off from the others still shares its budgets with them.
func (table *Table) SetEntryVMs(count int) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.entryVMs = max(table.entryVMs, count)
}

// EntryVMs returns the number of entry VMs that share budgets, one at least.
func (table *Table) EntryVMs() int {
	table.lock.Lock()
	defer table.lock.Unlock()
	return max(1, table.entryVMs)
}

// Query asks for an upstream.
type Query struct {
	Service core.ServiceID
	// Weights is zero for a plain service.
	Weights core.WeightKey
	// Exclude lists upstreams that were tried.
	Exclude []core.UpstreamID
	// Request is the request that waits, for the log.
	Request core.RequestID
}

// Pick is a chosen upstream.
type Pick struct {
	Upstream core.UpstreamID
	Born     int64
	Address  string
	Zone     core.ZoneID
	// Revision is the revision of the adapter that a request must run with, zero if none
	// was named.
	Revision core.Revision
	// Cost is that of package selection: below 1 the upstream has a free slot.
	Cost float64
	// Weights are those of the query.
	Weights core.WeightKey
}

// Choose returns the upstream for a request, and counts the request as running there
// until Finish is called. It returns false if none can serve it.
func (table *Table) Choose(now time.Duration, query Query) (Pick, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	revision := table.revisions[query.Weights]
	var found []*upstream
	var candidates []selection.Candidate
	for _, known := range table.services[query.Service] {
		if !table.serves(now, known, query, revision) {
			continue
		}
		found = append(found, known)
		candidates = append(candidates, table.candidate(now, known))
	}
	at, cost := selection.Choose(candidates, int(table.turn.Add(1)))
	if at < 0 {
		return Pick{}, false
	}
	table.use(found[at], query)
	instance := found[at].instance
	return Pick{
		Upstream: instance.Upstream, Born: instance.Born, Address: instance.Address, Zone: instance.Zone,
		Revision: revision, Cost: cost, Weights: query.Weights,
	}, true
}

func (table *Table) serves(now time.Duration, known *upstream, query Query, revision core.Revision) bool {
	if known.barredUntil > now || slices.Contains(query.Exclude, known.instance.Upstream) {
		return false
	}
	if query.Weights.Model == "" {
		return true
	}
	held, ok := known.holds(query.Weights)
	return ok && held >= revision
}

func (table *Table) candidate(now time.Duration, known *upstream) selection.Candidate {
	return selection.Candidate{
		Local: known.instance.Zone == table.zone, Running: known.running, Others: known.others,
		Slots: known.instance.Slots, Faults: known.faults.read(now), Silent: known.instance.Silent,
	}
}

// Reserve counts a request as running at a given upstream, until Finish is called. It
// returns false if nothing may be sent there.
func (table *Table) Reserve(now time.Duration, id core.UpstreamID, query Query) (Pick, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[id]
	revision := table.revisions[query.Weights]
	if known == nil || !known.usable() || known.barredUntil > now {
		return Pick{}, false
	}
	table.use(known, query)
	return Pick{
		Upstream: id, Born: known.instance.Born, Address: known.instance.Address, Zone: known.instance.Zone,
		Revision: revision, Cost: table.candidate(now, known).Cost(), Weights: query.Weights,
	}, true
}

// Revision returns the newest revision of an adapter, zero if none was named.
func (table *Table) Revision(key core.WeightKey) core.Revision {
	table.lock.Lock()
	defer table.lock.Unlock()
	return table.revisions[key]
}

// Finish ends a request that Choose or Reserve counted.
func (table *Table) Finish(pick Pick) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[pick.Upstream]
	if known == nil || known.instance.Born != pick.Born || known.running == 0 {
		return
	}
	known.running--
	table.touched[known.instance.Zone] = true
	if known.inFlight[pick.Weights]--; known.inFlight[pick.Weights] <= 0 {
		delete(known.inFlight, pick.Weights)
	}
}

// Result tells how an upstream answered.
type Result uint8

// The results.
const (
	// Answered means that the upstream gave an answer of its own that is no failure.
	Answered Result = iota + 1
	// Failed means a failure, a broken answer, or none in time.
	Failed
	// Unreachable means that no connection could be opened, or that it was lost.
	Unreachable
)

// The bars after which an upstream that could not be reached is tried again.
const (
	minBar = 100 * time.Millisecond
	maxBar = 2 * time.Second
)

// Observe takes in how an upstream answered.
func (table *Table) Observe(now time.Duration, pick Pick, result Result) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[pick.Upstream]
	if known == nil || known.instance.Born != pick.Born {
		return
	}
	known.faults.add(now, result != Answered)
	if result != Unreachable {
		known.failures = 0
		return
	}
	known.failures++
	known.barredUntil = now + min(maxBar, minBar<<min(known.failures-1, 5))
}

// Misses notes that an engine does not hold weights that it was thought to hold.
func (table *Table) Misses(pick Pick, key core.WeightKey) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[pick.Upstream]; known != nil && known.instance.Born == pick.Born {
		delete(known.weights, key)
	}
}

// use counts a send for the owner of the engine. The caller holds the lock.
func (table *Table) use(known *upstream, query Query) {
	known.running++
	table.touched[known.instance.Zone] = true
	if query.Weights.Model == "" {
		return
	}
	known.inFlight[query.Weights]++
	zone := known.instance.Zone
	if table.used[zone] == nil {
		table.used[zone] = make(map[ServiceKey]int)
	}
	table.used[zone][ServiceKey{query.Service, query.Weights}]++
}
