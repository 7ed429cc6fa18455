package control

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/membership"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
)

// caller asks other VMs.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

// Engines carries orders to engines.
type Engines interface {
	// Order gives an order under a fencing token. It returns what became of it.
	Order(ctx context.Context, order residency.Order, token core.FencingToken) residency.Outcome
	// Report asks an engine what it holds.
	Report(ctx context.Context, order residency.Order) (residency.State, error)
}

// records keeps audit records.
type records interface {
	// Receive takes a batch of another VM to the disk.
	Receive(ctx context.Context, batch *wire.Audit) *wire.AuditResult
	// Note takes a record of this VM.
	Note(record audit.Record)
	// SetMembers names the VMs with a disk.
	SetMembers(members []auditor.Member)
}

// Parts are what a control VM works with.
type Parts struct {
	VM   core.VMID
	Zone core.ZoneID
	// OperatorAddress is where upstreams and operators reach this VM.
	OperatorAddress string
	Zones           int
	// EnginesCheckTokens is set where engines refuse orders with an old fencing token.
	EnginesCheckTokens bool
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// RecallFile keeps the known upstreams over a restart; empty for none.
	RecallFile string
	Host       *host.Host
	Commands   *host.Client
	Calls      caller
	Engines    Engines
	Jobs       *pool.Pool
	// Records may be nil: no records are kept or taken then.
	Records records
	Logger  *log.Logger
}

// Control is a running control VM.
type Control struct {
	parts   Parts
	hub     hub
	peers   *Peers
	changed chan struct{}

	// lock is table 2 of the lock order. It guards what follows.
	lock sync.Mutex
	// members holds the upstreams that announce themselves to this VM, known those of
	// the other control VMs too.
	members   *membership.Table
	known     *membership.Table
	published map[core.UpstreamID]time.Duration
	owned     map[core.ZoneID]*ownedZone
	lease     time.Duration
	running   map[core.VMID]use
	spec      map[core.ServiceID]core.EngineSpec
	revisions uint64
	recall    recall
	// recorded is the number of the last route table that this VM has recorded.
	recorded core.ConfigNumber
	// applied is the index of the last command whose effect was taken in, and started is
	// set after that was done once.
	applied uint64
	started bool
	// progress is closed and replaced whenever an order has ended.
	progress chan struct{}
}

// use is what an entry VM has in flight, as it last reported.
type use struct {
	at      time.Duration
	running map[core.UpstreamID]map[core.WeightKey]int
}

// ownedZone is a zone whose engines this VM owns.
type ownedZone struct {
	zone  core.ZoneID
	token core.FencingToken
	// from is the time from which orders may be given.
	from  time.Duration
	table *residency.Table
	// lost is set after an engine has refused the token.
	lost bool
}

const (
	// silentIntervals is the number of missed announcements after which an upstream
	// counts as silent.
	silentIntervals = 4
	// removalAfter is the time after which a silent upstream is forgotten.
	removalAfter = 30 * time.Second
	// refreshInterval is the time after which an unchanged announcement is published
	// again, so that another control VM's judgement of silence does not stand.
	refreshInterval = 5 * time.Second
	// orderTimeout bounds the wait for the answer to an order, which takes some
	// milliseconds. An engine gets no other order meanwhile, and loads that wait for it
	// are refused.
	orderTimeout = 250 * time.Millisecond
	// tick is the pace of the work that no event starts.
	tick = 250 * time.Millisecond
)

// New returns a control VM. Run does its work.
func New(parts Parts, peers *Peers) *Control {
	silence := silentIntervals * parts.AnnounceInterval
	return &Control{
		parts: parts, peers: peers, changed: make(chan struct{}, 1),
		members:   membership.NewTable(membership.Timing{Silence: silence, Removal: removalAfter}),
		known:     membership.NewTable(membership.Timing{Silence: removalAfter, Removal: removalAfter}),
		published: make(map[core.UpstreamID]time.Duration),
		owned:     make(map[core.ZoneID]*ownedZone),
		running:   make(map[core.VMID]use),
		spec:      make(map[core.ServiceID]core.EngineSpec),
		progress:  make(chan struct{}),
		recall:    recall{path: parts.RecallFile},
	}
}

// Run works until the context ends.
func (control *Control) Run(ctx context.Context) {
	control.lock.Lock()
	if control.recall.path != "" {
		control.restore(clock.Now())
	}
	control.lock.Unlock()
	var running sync.WaitGroup
	running.Go(func() { control.followState(ctx) })
	running.Go(func() { control.saveSteadily(ctx) })
	running.Go(func() { control.renew(ctx) })
	running.Go(func() { control.lead(ctx) })
	running.Go(func() { control.followOthers(ctx) })
	running.Go(func() { control.work(ctx) })
	running.Wait()
}

// Announce takes in the announcement of an upstream.
func (control *Control) Announce(instance core.Instance) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	changed := control.members.Announce(now, instance)
	known, ok := control.members.Get(instance.Upstream)
	if !ok {
		return
	}
	if changed {
		control.parts.Logger.Info("An upstream changed.", "upstream", known.Upstream, "service", known.Service, "zone", known.Zone,
			"address", known.Address, "born", known.Born, "sequence", known.Sequence, "leaving", known.Leaving, "gone", known.Gone)
	}
	if !changed && now-control.published[known.Upstream] < refreshInterval {
		return
	}
	control.publish(now, known)
}

// publish tells the watchers of an upstream and brings the owned tables up to it. The
// caller holds the lock.
func (control *Control) publish(now time.Duration, instance core.Instance) {
	control.published[instance.Upstream] = now
	control.hub.instance(instance)
	control.merge(now, instance)
}

// merge takes an upstream that this VM or another control VM knows into the owned tables.
// The caller holds the lock.
func (control *Control) merge(now time.Duration, instance core.Instance) {
	announced := control.known.Announce(now, instance)
	judged := control.known.Judge(instance)
	if !announced && !judged {
		return
	}
	control.recall.dirty = true
	if merged, ok := control.known.Get(instance.Upstream); ok {
		control.setEngine(now, merged)
	}
}

// setEngine brings the table of the engine's zone up to an announcement. The caller holds
// the lock.
func (control *Control) setEngine(now time.Duration, instance core.Instance) {
	zone := control.owned[instance.Zone]
	spec, isEngine := control.spec[instance.Service]
	if zone == nil || !isEngine {
		return
	}
	control.hub.instance(instance)
	zone.table.SetEngine(now, instance, spec)
	control.wake()
}

// Leave takes in that an upstream has deregistered.
func (control *Control) Leave(id core.UpstreamID) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if !control.members.Leave(id) {
		return
	}
	instance, _ := control.members.Get(id)
	control.parts.Logger.Info("An upstream deregistered.", "upstream", id, "service", instance.Service, "address", instance.Address)
	control.publish(clock.Now(), instance)
}

// AnnounceAddress returns the address to which upstreams of a zone are to send their
// announcements: that of a control VM of the zone, or empty if none is known.
func (control *Control) AnnounceAddress(zone core.ZoneID) string {
	if zone == control.parts.Zone {
		return control.parts.OperatorAddress
	}
	return control.peers.addressIn(zone)
}

// wake lets the worker look at the owned zones. It never waits.
func (control *Control) wake() {
	select {
	case control.changed <- struct{}{}:
	default:
	}
}

// everything returns all that a watcher is told when it knows nothing.
func (control *Control) everything() ([]core.Instance, []tokenChange) {
	control.lock.Lock()
	defer control.lock.Unlock()
	var weights []tokenChange
	for _, zone := range control.owned {
		for _, change := range zone.table.Whole() {
			weights = append(weights, tokenChange{change, zone.token})
		}
	}
	return control.known.All(), weights
}
