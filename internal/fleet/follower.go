package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/source"
)

// caller sends requests to other VMs.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

const (
	// watchRetryDelay is the delay before the watch of a control VM is opened again. It is
	// below 2 s, in which every entry VM must know that an upstream leaves.
	watchRetryDelay = 300 * time.Millisecond
	// usageInterval is the minimum time between two usage reports to an owner, which unloads
	// only weights that are not in use. With reports every 500 ms, an adapter that was used
	// once occupied its place in the engine for 2 s, and loads waited for a place while the
	// store had capacity.
	usageInterval = 80 * time.Millisecond
	// controlsInterval is the time between two looks for lists of control VMs that have expired. A
	// list comes with each event of a watch.
	controlsInterval = time.Second
	// usageTimeout bounds one report. An owner that does not answer gets no other report
	// until then.
	usageTimeout = 500 * time.Millisecond
)

// Options holds the settings and dependencies of a Follower.
type Options struct {
	VM    core.VMID
	Zone  core.ZoneID
	Seeds []core.VMID
	Table *Table
	Calls caller
	// Changed is called after a new route table has taken effect.
	Changed func(core.RouteTable)
	// HandoverAddress is the address on which this VM takes over requests of other entry VMs,
	// empty if it does not.
	HandoverAddress string
	// Controls is called with the control VMs after each change of them, while the lock of the
	// follower is held; it may be nil.
	Controls func([]ControlVM)
	Logger   *log.Logger
}

// ControlVM identifies a control VM and its zone.
type ControlVM struct {
	VM   core.VMID
	Zone core.ZoneID
}

// Follower watches the control VMs and updates the table of an entry VM.
type Follower struct {
	options Options
	ctx     context.Context
	running sync.WaitGroup
	// began is the time of the start, from which the times of the fetches are counted.
	began   time.Time
	crashes crashes
	quotas  quotas
	// fetchDue holds one element while a goroutine that fetches the route table is to look again.
	fetchDue chan struct{}
	routes   heldRoutes
	// originQueries counts the questions about the origins of streams in flight.
	originQueries atomic.Int32

	// lock has position 2 in the lock order.
	lock    sync.Mutex
	watched map[core.VMID]bool
	// controls holds what the control VMs state of each other, and controlVMs those with which
	// Options.Controls was called last.
	controls   controlGroup
	controlVMs []ControlVM
	// nextControls is the time from which lists that have expired are looked for again.
	nextControls time.Duration
	// admitAfter holds the time until which an owner that did not answer is not asked for a
	// turn at an upstream with a limit.
	admitAfter map[core.VMID]time.Duration
	// reporting holds the zones with a usage report in flight.
	reporting map[core.ZoneID]bool
	// sources holds the numbers of route tables that the control VMs have stated, and waits those
	// that are not in force.
	sources source.Set
	waits   routeWaits
	// fetchLoops is the number of goroutines that fetch the route table.
	fetchLoops int
}

// Follow starts to watch the control VMs. The function that it returns stops the follower
// and waits until its goroutines have ended.
func Follow(options Options) (*Follower, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{options: options, ctx: ctx, began: time.Now(), fetchDue: make(chan struct{}, 1), watched: make(map[core.VMID]bool), reporting: make(map[core.ZoneID]bool), admitAfter: make(map[core.VMID]time.Duration)}
	follower.crashes.bans.VM = options.VM
	follower.quotas.due = make(chan struct{}, 1)
	options.Table.setVM(options.VM)
	follower.AddSeeds(options.Seeds)
	follower.running.Go(follower.reportLoop)
	follower.running.Go(follower.quotaLoop)
	return follower, func() {
		cancel()
		follower.running.Wait()
	}
}

// setVM sets the name of this VM.
func (table *Table) setVM(vm core.VMID) {
	table.lock.Lock()
	defer table.lock.Unlock()
	table.vm = vm
}

// AddSeeds starts to watch further control VMs.
func (follower *Follower) AddSeeds(seeds []core.VMID) {
	follower.lock.Lock()
	follower.controls.seed(clock.Now(), seeds)
	follower.lock.Unlock()
	for _, seed := range seeds {
		follower.startWatch(seed)
	}
}

// startWatch starts to watch a control VM unless it is watched already or the follower has
// stopped.
func (follower *Follower) startWatch(vm core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.watched[vm] || follower.ctx.Err() != nil {
		return
	}
	follower.watched[vm] = true
	follower.running.Go(func() { follower.watchLoop(vm) })
}

// watchLoop watches a control VM and opens the watch again after it has ended, until the
// follower stops.
func (follower *Follower) watchLoop(vm core.VMID) {
	connected := false
	for follower.ctx.Err() == nil {
		request := &wire.Request{Body: &wire.Request_Watch{Watch: &wire.Watch{
			Vm: string(follower.options.VM), Zone: string(follower.options.Zone), HandoverAddress: follower.options.HandoverAddress,
			RouteChanges: true, Features: peer.FeatureMessages(core.SupportedFeatures()),
		}}}
		err := follower.options.Calls.Stream(follower.ctx, vm, request, func(response *wire.Response) bool {
			first := !connected
			if first {
				connected = true
				follower.options.Logger.Info("Following a control VM.", "control", vm)
			}
			follower.applyWatchEvent(vm, response.GetWatchEvent())
			if first {
				follower.reportConvictions(vm)
			}
			return true
		})
		if connected && follower.ctx.Err() == nil {
			follower.options.Logger.Warn("Lost a control VM.", "control", vm, "error", err)
		}
		connected = false
		follower.endList(vm)
		follower.endSource(vm)
		sleep(follower.ctx, watchRetryDelay)
	}
}

// sleep waits for the delay or until the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyWatchEvent updates the table with an event of a control VM.
func (follower *Follower) applyWatchEvent(vm core.VMID, event *wire.WatchEvent) {
	table := follower.options.Table
	now := clock.Now()
	for _, message := range event.GetInstances() {
		instance := peer.InstanceFromMessage(message)
		if faults := instance.Check(); len(faults) > 0 {
			follower.options.Logger.Warn("An upstream of a control VM is ignored.", "upstream", instance.Upstream, "control", vm, "error", faults[0])
			continue
		}
		if table.SetInstance(now, instance) {
			follower.options.Logger.Info("An upstream changed.", "upstream", instance.Upstream, "service", instance.Service,
				"address", instance.Address, "leaving", instance.Leaving, "gone", instance.Gone, "silent", instance.Silent, "control", vm)
		}
	}
	for _, message := range event.GetRevisions() {
		table.SetRevision(peer.RevisionFromMessage(message))
	}
	for _, message := range event.GetOwners() {
		follower.applyOwner(message)
	}
	for _, message := range event.GetResidency() {
		table.SetResidency(peer.ResidencyFromMessage(message))
	}
	follower.applyLimits(event.GetLimits())
	follower.applyVerdicts(vm, event.GetVerdicts())
	if controls := event.GetControlVms(); len(controls) > 0 {
		follower.setControlVMs(vm, controls)
	}
	if event.GetEntryVms() > 0 {
		table.SetEntryVMs(int(event.GetEntryVms()))
	}
	if message := event.GetHandoverTargets(); message != nil {
		table.SetHandoverTargets(vm, peer.HandoverTargetsFromMessage(message))
	}
	follower.applyRoutesNumber(vm, core.ConfigNumber(event.GetRoutesNumber()), event.GetRouteChange())
}

// applyOwner stores the owner of a zone's engines or of the quotas.
func (follower *Follower) applyOwner(message *wire.Ownership) {
	owner := Owner{VM: core.VMID(message.GetVm()), Token: core.FencingToken(message.GetFencingToken())}
	if message.GetGroup().GetName() != core.QuotaGroup.Name || message.GetGroup().GetZone() != "" {
		follower.options.Table.SetOwner(core.ZoneID(message.GetGroup().GetZone()), owner)
		return
	}
	if follower.options.Table.SetQuotaOwner(owner) {
		follower.options.Logger.Info("A control VM grants the quotas.", "control", owner.VM, "token", owner.Token)
		follower.quotas.wake()
	}
}

// setControlVMs starts to watch the control VMs in a list that one of them has sent.
func (follower *Follower) setControlVMs(source core.VMID, messages []*wire.ControlVm) {
	listed := make([]ControlVM, 0, len(messages))
	for _, message := range messages {
		control := ControlVM{VM: core.VMID(message.GetVm()), Zone: core.ZoneID(message.GetZone())}
		follower.startWatch(control.VM)
		listed = append(listed, control)
	}
	follower.lock.Lock()
	defer follower.lock.Unlock()
	now := clock.Now()
	if !follower.controls.set(source, listed) && now < follower.nextControls {
		return
	}
	follower.nextControls = now + controlsInterval
	controlVMs := follower.controls.all(now)
	if slices.Equal(controlVMs, follower.controlVMs) {
		return
	}
	follower.controlVMs = controlVMs
	if follower.options.Controls != nil {
		follower.options.Controls(controlVMs)
	}
}

// endList notes that the watch of a control VM has ended.
func (follower *Follower) endList(vm core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.controls.end(clock.Now(), vm)
}

// reportLoop sends usage reports to the owners of the zones' engines until the follower
// stops. Each report has its own goroutine, so that an owner that does not answer delays no
// report to another one.
func (follower *Follower) reportLoop() {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-follower.ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		follower.options.Table.refreshPace(now)
		for zone, owner := range follower.options.Table.Owners() {
			if !follower.beginReport(zone) {
				continue
			}
			usage := follower.options.Table.collectUsage(now, follower.options.VM, zone)
			if usage == nil {
				follower.endReport(zone)
				continue
			}
			follower.running.Go(func() {
				defer follower.endReport(zone)
				follower.reportZone(zone, owner, usage)
			})
		}
	}
}

// beginReport marks a report to the owner of a zone as in flight. It returns false if one
// already is.
func (follower *Follower) beginReport(zone core.ZoneID) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.reporting[zone] {
		return false
	}
	follower.reporting[zone] = true
	return true
}

// endReport marks the report to the owner of a zone as completed.
func (follower *Follower) endReport(zone core.ZoneID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	delete(follower.reporting, zone)
}

// reportZone sends a usage report and stores the requests in flight of other entry VMs that
// the owner returns.
func (follower *Follower) reportZone(zone core.ZoneID, owner core.VMID, usage *wire.Usage) {
	ctx, cancel := context.WithTimeout(follower.ctx, usageTimeout)
	defer cancel()
	response, err := follower.options.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_Usage{Usage: usage}})
	if err != nil {
		follower.options.Logger.Debug("The usage report to an owner failed.", "owner", owner, "error", err)
		return
	}
	follower.options.Table.setOtherRunning(zone, response.GetUsageResult())
}

// Place asks the owners of the zones' engines, one after another and for at most the time
// wait, for an engine that holds the weights. more is set if the request is for a further
// engine beside those that hold them. It returns the engine, or the reason why there is
// none.
func (follower *Follower) Place(ctx context.Context, query Query, more bool, wait time.Duration) (core.UpstreamID, string) {
	reason := "no owner of engines is known"
	exclude := make([]string, 0, len(query.Exclude))
	for _, id := range query.Exclude {
		exclude = append(exclude, string(id))
	}
	revision := follower.options.Table.Revision(query.Weights)
	deadline := time.Now().Add(wait)
	owners := follower.options.Table.OwnersFor(query, more)
	for i, owner := range owners {
		timeLeft := time.Until(deadline)
		if timeLeft <= 0 || ctx.Err() != nil {
			return "", reason
		}
		if i+1 < len(owners) {
			timeLeft = timeLeft * ownerWaitPercent / 100
		}
		upstream, ownerReason, final := follower.askOwner(ctx, owner, &wire.Place{
			Service: string(query.Service), Model: string(query.Weights.Model), Adapter: string(query.Weights.Adapter),
			Revision: uint64(revision), Exclude: exclude, Software: string(query.Origin.Software), Request: string(query.Request), WaitMillis: timeLeft.Milliseconds(),
		}, timeLeft)
		if upstream != "" {
			return upstream, ""
		}
		reason = ownerReason
		if final {
			// The caller has already waited; a load at the next owner would evict weights
			// that are in use there.
			return "", reason
		}
	}
	return "", reason
}

// ownerWaitPercent is the share of the remaining time, in percent, that one owner gets
// while there are others left to ask.
const ownerWaitPercent = 60

// placeReplyMargin is the time that the answer of an owner may take beyond its wait.
const placeReplyMargin = 50 * time.Millisecond

// askOwner asks one owner for an engine. If there is none it returns the reason, and final
// if no other owner is to be asked.
func (follower *Follower) askOwner(ctx context.Context, owner core.VMID, place *wire.Place, wait time.Duration) (upstream core.UpstreamID, reason string, final bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+placeReplyMargin)
	defer cancel()
	response, err := follower.options.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_Place{Place: place}})
	if err != nil {
		return "", err.Error(), false
	}
	result := response.GetPlaceResult()
	if !result.GetPlaced() {
		return "", result.GetReason(), result.GetLate()
	}
	return core.UpstreamID(result.GetUpstream()), "", false
}
