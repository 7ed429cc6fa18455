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
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
	"github.com/dandelionring/dandelionring/pkg/policy/membership"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/policy/throttle"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// caller sends requests to other VMs.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

// Engines sends orders to engines.
type Engines interface {
	// Order sends an order with a fencing token and returns its outcome.
	Order(ctx context.Context, order residency.Order, token core.FencingToken) residency.Outcome
	// Report returns the state of an engine: its weights and its running requests.
	Report(ctx context.Context, order residency.Order) (residency.State, error)
}

// records stores audit records.
type records interface {
	// Receive writes a batch of another VM to the disk.
	Receive(ctx context.Context, batch *wire.Audit) *wire.AuditResult
	// RecordEvent adds a record of this VM.
	RecordEvent(record audit.Record)
	// SetMembers sets the VMs that have a disk.
	SetMembers(members []auditor.Member)
}

// Options holds the settings and dependencies of a control VM.
type Options struct {
	VM   core.VMID
	Zone core.ZoneID
	// OperatorAddress is the address at which upstreams and operators reach this VM.
	OperatorAddress string
	// Zones is the number of availability zones of the deployment.
	Zones int
	// EnginesCheckTokens is set where engines refuse orders with an old fencing token.
	EnginesCheckTokens bool
	// AnnounceInterval is the interval at which upstreams announce themselves.
	AnnounceInterval time.Duration
	// FirstStart is set when the deployment starts for the first time, so that nothing has run
	// before. It may stay set when the VM is started again.
	FirstStart bool
	// RecallFile is the path of the file that keeps the known upstreams across a restart;
	// empty for none.
	RecallFile string
	// Host runs the replicas of this VM, and Commands commits changes of the replicated
	// state.
	Host     *host.Host
	Commands *host.Client
	// Calls sends requests to other VMs.
	Calls   caller
	Engines Engines
	// Jobs runs the orders to engines.
	Jobs *pool.Pool
	// RecordFolder is the folder of the audit records on the disk of this VM; empty for none.
	RecordFolder string
	// Records stores audit records. If it is nil, this VM neither writes records nor
	// accepts those of others.
	Records records
	Logger  *log.Logger
}

// Control is a control VM. Use New.
type Control struct {
	options Options
	hub     hub
	origins origins
	peers   *Peers
	pages   routePages
	served  servedPages
	changed chan struct{}
	// sharesDue holds one element while shares of the quotas may have to be recorded.
	sharesDue chan struct{}

	// lock has position 2 in the lock order. It guards the fields below.
	lock sync.Mutex
	// members holds the upstreams that announce themselves to this VM; known also holds
	// those that announce themselves to other control VMs.
	members     *membership.Table
	known       *membership.Table
	published   map[core.UpstreamID]time.Duration
	owned       map[core.ZoneID]*ownedZone
	leaseEnd    time.Duration
	usage       usageTable
	engineSpecs map[core.ServiceID]core.EngineSpec
	// namedBy is the number of the route table whose services the tables of the upstreams know.
	namedBy core.ConfigNumber
	// revisionIndex is the log index of the last adapter revision that was applied.
	revisionIndex uint64
	cache         upstreamCache
	// shared holds the departures that a majority of the control VMs knows, by upstream.
	shared map[core.UpstreamID]departure
	// versions holds the software versions that upstreams announced lately, to any control VM.
	versions origin.History
	// group is the group of the control VMs. It is used by answers about origins only.
	group origin.Group
	// judge decides which content of requests crashes upstreams.
	judge conviction.Judge
	// throttles holds the limits of upstreams and grants turns at them.
	throttles throttle.Table
	quotas    quotas
	// recordedRoutes is the number of the last route table that this VM, as the leader,
	// wrote to the audit log.
	recordedRoutes core.ConfigNumber
	// applied is the index of the last command of the replicated state that this VM has
	// loaded. stateLoaded is set after the state was loaded once.
	applied     uint64
	stateLoaded bool
	// nextPaceNote is the time from which notePace logs and counts again.
	nextPaceNote time.Duration
	// progress is closed and replaced each time an order completes.
	progress chan struct{}
}

// ownedZone is a zone whose engines this VM owns.
type ownedZone struct {
	zone  core.ZoneID
	token core.FencingToken
	// ordersFrom is the earliest time at which orders may be sent.
	ordersFrom time.Duration
	table      *residency.Table
	// tokenRejected is set after an engine has rejected the token.
	tokenRejected bool
	// paces holds what is known of the pace of the zone's upstreams, also plain ones.
	paces paceTable
}

const (
	// silentAfterIntervals is the number of missed announcements after which an upstream
	// counts as silent.
	silentAfterIntervals = 4
	// removalAfter is the time without an announcement after which an upstream is removed.
	removalAfter = 30 * time.Second
	// refreshInterval is the time after which an unchanged announcement is published
	// again, so that it overrides another control VM that has marked the upstream silent.
	refreshInterval = 5 * time.Second
	// orderTimeout bounds the wait for the answer to an order, which usually takes a few
	// milliseconds. Until then the engine gets no other order, and loads that wait for it
	// are refused.
	orderTimeout = 250 * time.Millisecond
	// stepInterval is the longest time between two runs of the order loop; it bounds the
	// delay of work that no event triggers.
	stepInterval = 250 * time.Millisecond
)

// New returns a control VM. Run starts its loops.
func New(options Options, peers *Peers) *Control {
	silence := silentAfterIntervals * options.AnnounceInterval
	return &Control{
		options: options, peers: peers, changed: make(chan struct{}, 1), sharesDue: make(chan struct{}, 1),
		members:     membership.NewTable(membership.Timing{Silence: silence, Removal: removalAfter}),
		known:       membership.NewTable(membership.Timing{Silence: removalAfter, Removal: removalAfter}),
		published:   make(map[core.UpstreamID]time.Duration),
		owned:       make(map[core.ZoneID]*ownedZone),
		engineSpecs: make(map[core.ServiceID]core.EngineSpec),
		shared:      make(map[core.UpstreamID]departure),
		progress:    make(chan struct{}),
		cache:       upstreamCache{path: options.RecallFile, system: wal.OSFileSystem{}},
	}
}

// Run restores the known upstreams and runs the loops of the control VM. It returns after
// the context has ended.
func (control *Control) Run(ctx context.Context) {
	control.beginHistory()
	var running sync.WaitGroup
	if control.options.RecordFolder != "" {
		running.Go(func() { control.origins.restore(control.options.RecordFolder, control.options.Logger) })
	}
	running.Go(func() { control.completeOrigins(ctx) })
	running.Go(func() { control.followState(ctx) })
	running.Go(func() { control.saveLoop(ctx) })
	running.Go(func() { control.renewLoop(ctx) })
	running.Go(func() { control.assignLoop(ctx) })
	running.Go(func() { control.watchPeers(ctx) })
	running.Go(func() { control.orderLoop(ctx) })
	running.Go(func() { control.shareLoop(ctx) })
	running.Wait()
}

// beginHistory restores the known upstreams. Without them, on a disk that is empty though the
// deployment has run before, it is not known at first which software served.
func (control *Control) beginHistory() {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	if !control.options.FirstStart {
		control.versions.Start(now)
	}
	if control.cache.path != "" {
		control.restoreUpstreams(now)
	}
}

// Announce handles the announcement of an upstream. If the upstream is leaving, it returns
// the error of shareDeparture.
func (control *Control) Announce(ctx context.Context, instance core.Instance) error {
	announced, ok := control.note(instance)
	if !ok || !announced.Leaving && !announced.Gone {
		return nil
	}
	return control.shareDeparture(ctx, announced)
}

// note applies the announcement of an upstream and returns its state, or false if the
// announcement was not accepted.
func (control *Control) note(instance core.Instance) (core.Instance, bool) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	changed := control.members.Announce(now, instance)
	if known, ok := control.known.Get(instance.Upstream); ok && (known.Leaving || known.Gone) {
		// It may have told another control VM, and announces itself to this one for the first
		// time or with an announcement made before.
		control.members.Merge(known)
	}
	announced, ok := control.members.Get(instance.Upstream)
	if !ok {
		return core.Instance{}, false
	}
	if changed {
		control.options.Logger.Info("An upstream changed.", "upstream", announced.Upstream, "service", announced.Service, "zone", announced.Zone,
			"address", announced.Address, "born", announced.Born, "sequence", announced.Sequence, "leaving", announced.Leaving, "gone", announced.Gone)
	}
	if changed || now-control.published[announced.Upstream] >= refreshInterval {
		control.publish(now, announced)
	}
	return announced, true
}

// publish sends an upstream to the subscribers and updates the residency table of its
// zone. The caller holds the lock.
func (control *Control) publish(now time.Duration, instance core.Instance) {
	control.published[instance.Upstream] = now
	control.hub.publishInstance(instance)
	control.merge(now, instance)
}

// merge updates the known upstreams with one that was announced to this VM or to another
// control VM. That an upstream leaves also holds for the announcements to this VM, which
// would otherwise be published without it. The caller holds the lock.
func (control *Control) merge(now time.Duration, instance core.Instance) {
	control.versions.Note(now, instance.Service, instance.Software)
	if instance.Leaving || instance.Gone {
		control.members.Merge(instance)
	}
	announced := control.known.Announce(now, instance)
	statusChanged := control.known.Merge(instance)
	if !announced && !statusChanged {
		return
	}
	control.cache.dirty = true
	if merged, ok := control.known.Get(instance.Upstream); ok {
		control.setUpstream(now, merged)
	}
}

// setUpstream updates the tables of the upstream's zone, if this VM owns it. The caller holds
// the lock.
func (control *Control) setUpstream(now time.Duration, instance core.Instance) {
	if zone := control.owned[instance.Zone]; zone != nil {
		zone.paces.set(now, instance)
	}
	control.setEngine(now, instance)
}

// setEngine updates the residency table of the engine's zone and sends the engine to the
// subscribers. It does nothing if this VM does not own the zone or the upstream is no
// engine. The caller holds the lock.
func (control *Control) setEngine(now time.Duration, instance core.Instance) {
	zone := control.owned[instance.Zone]
	spec, isEngine := control.engineSpecs[instance.Service]
	if zone == nil || !isEngine {
		return
	}
	control.hub.publishInstance(instance)
	zone.table.SetEngine(now, instance, spec)
	control.signalWorker()
}

// AnnounceAddress returns the operator address of a control VM in the zone, to which
// upstreams of the zone send their announcements. It is empty if none is known.
func (control *Control) AnnounceAddress(zone core.ZoneID) string {
	if zone == control.options.Zone {
		return control.options.OperatorAddress
	}
	return control.peers.operatorAddress(zone)
}

// signalWorker triggers a run of the order loop. It does not block.
func (control *Control) signalWorker() {
	select {
	case control.changed <- struct{}{}:
	default:
	}
}

// snapshot returns all that a subscriber which starts or has missed changes must be sent: the
// known upstreams, the weights of all owned engines, the verdicts and the limits. dirty is
// kept in the result.
func (control *Control) snapshot(dirty bool) pendingChanges {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	all := pendingChanges{instances: control.known.All(), verdicts: control.judge.Verdicts(now), limits: control.throttles.Statements(now), dirty: dirty}
	for _, zone := range control.owned {
		for _, change := range zone.table.Snapshot() {
			all.weights = append(all.weights, fencedChange{change, zone.token})
		}
	}
	return all
}
