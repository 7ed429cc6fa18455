package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// caller asks other VMs.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
	Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error
}

const (
	// retryPause is the pause before a control VM that could not be reached is asked
	// again. A worker that leaves must be known everywhere in 2 s.
	retryPause = 300 * time.Millisecond
	// fetchTimeout bounds one fetch of the route table.
	fetchTimeout = 1500 * time.Millisecond
	// usageInterval is the time between two reports of use to the owner, which unloads only
	// what nobody uses. With reports every 500 ms, an adapter that was used once kept its
	// place for 2 s, and loads waited for places while the store had room.
	usageInterval = 80 * time.Millisecond
	// usageTimeout bounds one report. An owner that is cut off gets no other meanwhile.
	usageTimeout = 500 * time.Millisecond
)

// Parts are what a Follower works with.
type Parts struct {
	VM    core.VMID
	Zone  core.ZoneID
	Seeds []core.VMID
	Table *Table
	Calls caller
	// Changed is called after a new route table is in force.
	Changed func(core.RouteTable)
	// Controls is called with the control VMs whenever they have changed.
	Controls func([]ControlVM)
	Logger   *log.Logger
}

// ControlVM is a control VM and its zone.
type ControlVM struct {
	VM   core.VMID
	Zone core.ZoneID
}

// Follower keeps the table of an entry VM up to date.
type Follower struct {
	parts   Parts
	ctx     context.Context
	running sync.WaitGroup
	// fetching holds one element while the route table is fetched.
	fetching chan struct{}

	// lock is table 2 of the lock order.
	lock     sync.Mutex
	followed map[core.VMID]bool
	controls []ControlVM
	// reporting holds the zones to whose owner a report of use is on its way.
	reporting map[core.ZoneID]bool
	// wanted is the largest number that a control VM has named, and source the VM that
	// named one last.
	wanted core.ConfigNumber
	source core.VMID
}

// Follow starts to follow the control VMs and returns a function that stops it.
func Follow(parts Parts) (*Follower, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{parts: parts, ctx: ctx, fetching: make(chan struct{}, 1), followed: make(map[core.VMID]bool), reporting: make(map[core.ZoneID]bool)}
	for _, seed := range parts.Seeds {
		follower.add(seed)
	}
	follower.running.Go(follower.report)
	return follower, func() {
		cancel()
		follower.running.Wait()
	}
}

// AddSeeds follows further control VMs.
func (follower *Follower) AddSeeds(seeds []core.VMID) {
	for _, seed := range seeds {
		follower.add(seed)
	}
}

// add follows a control VM, once.
func (follower *Follower) add(vm core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.followed[vm] || follower.ctx.Err() != nil {
		return
	}
	follower.followed[vm] = true
	follower.running.Go(func() { follower.follow(vm) })
}

func (follower *Follower) follow(vm core.VMID) {
	connected := false
	for follower.ctx.Err() == nil {
		request := &wire.Request{Body: &wire.Request_Watch{Watch: &wire.Watch{
			Vm: string(follower.parts.VM), Zone: string(follower.parts.Zone),
		}}}
		err := follower.parts.Calls.Stream(follower.ctx, vm, request, func(response *wire.Response) bool {
			if !connected {
				connected = true
				follower.parts.Logger.Info("Following a control VM.", "control", vm)
			}
			follower.take(vm, response.GetWatchEvent())
			return true
		})
		if connected && follower.ctx.Err() == nil {
			follower.parts.Logger.Warn("Lost a control VM.", "control", vm, "error", err)
		}
		connected = false
		pause(follower.ctx, retryPause)
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (follower *Follower) take(vm core.VMID, event *wire.WatchEvent) {
	table := follower.parts.Table
	now := clock.Now()
	for _, message := range event.GetInstances() {
		instance := peer.Instance(message)
		if table.SetInstance(now, instance) {
			follower.parts.Logger.Info("An upstream changed.", "upstream", instance.Upstream, "service", instance.Service,
				"address", instance.Address, "leaving", instance.Leaving, "gone", instance.Gone, "silent", instance.Silent, "control", vm)
		}
	}
	for _, message := range event.GetRevisions() {
		table.SetRevision(peer.Revision(message))
	}
	for _, owner := range event.GetOwners() {
		table.SetOwner(core.ZoneID(owner.GetGroup().GetZone()), Owner{VM: core.VMID(owner.GetVm()), Token: core.FencingToken(owner.GetFencingToken())})
	}
	for _, message := range event.GetResidency() {
		table.SetResidency(peer.Residency(message))
	}
	if controls := event.GetControlVms(); len(controls) > 0 {
		follower.setControls(controls)
	}
	if event.GetEntryVms() > 0 {
		table.SetEntryVMs(int(event.GetEntryVms()))
	}
	if number := core.ConfigNumber(event.GetRoutesNumber()); number > table.Number() {
		follower.fetch(vm, number)
	}
}

// setControls follows the control VMs that one of them has named.
func (follower *Follower) setControls(messages []*wire.ControlVm) {
	controls := make([]ControlVM, 0, len(messages))
	for _, message := range messages {
		control := ControlVM{VM: core.VMID(message.GetVm()), Zone: core.ZoneID(message.GetZone())}
		follower.add(control.VM)
		controls = append(controls, control)
	}
	follower.lock.Lock()
	same := slices.Equal(controls, follower.controls)
	follower.controls = controls
	follower.lock.Unlock()
	if !same && follower.parts.Controls != nil {
		follower.parts.Controls(controls)
	}
}

// fetch brings the route table up to a number that a control VM has named, and tries again
// until it has. Before the first table, a majority must have confirmed it: a control VM
// that is cut off may hold an old one, and this VM may have served a newer one in its last
// life.
func (follower *Follower) fetch(vm core.VMID, number core.ConfigNumber) {
	follower.lock.Lock()
	follower.wanted = max(follower.wanted, number)
	follower.source = vm
	follower.lock.Unlock()
	select {
	case follower.fetching <- struct{}{}:
	default:
		return
	}
	follower.running.Go(func() {
		defer func() { <-follower.fetching }()
		for follower.ctx.Err() == nil {
			vm, number := follower.nextFetch()
			if follower.parts.Table.Number() >= number {
				return
			}
			if err := follower.load(vm); err != nil {
				follower.parts.Logger.Warn("The route table was not fetched.", "control", vm, "number", number, "error", err)
				follower.rotate(vm)
				pause(follower.ctx, fetchPause)
			}
		}
	})
}

// fetchPause is the pause after a fetch that failed. An election takes 0.5 s to 1.5 s.
const fetchPause = 100 * time.Millisecond

// rotate lets the next fetch ask another control VM than the one that failed.
func (follower *Follower) rotate(failed core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	vms := slices.Sorted(maps.Keys(follower.followed))
	if at := slices.Index(vms, failed); at >= 0 && follower.source == failed {
		follower.source = vms[(at+1)%len(vms)]
	}
}

// nextFetch returns the control VM to ask and the number that it must have.
func (follower *Follower) nextFetch() (core.VMID, core.ConfigNumber) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return follower.source, follower.wanted
}

func (follower *Follower) load(vm core.VMID) error {
	ctx, cancel := context.WithTimeout(follower.ctx, fetchTimeout)
	defer cancel()
	first := follower.parts.Table.Number() == 0
	request := &wire.Request{Body: &wire.Request_RoutesFetch{RoutesFetch: &wire.RoutesFetch{Confirm: first}}}
	response, err := follower.parts.Calls.Call(ctx, vm, request)
	if err != nil {
		return errors.Wrap(err, "fetch routes")
	}
	page := response.GetRoutesPage()
	if page.GetNumber() == 0 {
		return errors.New("the control VM has no route table yet")
	}
	var routes core.RouteTable
	if err := json.Unmarshal(page.GetTable(), &routes); err != nil {
		return errors.Wrap(err, "decode routes")
	}
	for _, message := range page.GetRevisions() {
		follower.parts.Table.SetRevision(peer.Revision(message))
	}
	if !follower.parts.Table.SetRoutes(routes) {
		return nil
	}
	follower.parts.Logger.Info("A route table is in force.", "number", routes.Number, "routes", len(routes.Routes), "control", vm, "confirmed", first)
	follower.parts.Changed(routes)
	return nil
}

// report tells the owners of the zones' engines what was sent there, at a steady pace.
func (follower *Follower) report() {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-follower.ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		for zone, owner := range follower.parts.Table.Owners() {
			if !follower.beginReport(zone) {
				continue
			}
			usage := follower.parts.Table.usage(now, follower.parts.VM, zone)
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

// beginReport returns false while a report to the owner of a zone is on its way.
func (follower *Follower) beginReport(zone core.ZoneID) bool {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.reporting[zone] {
		return false
	}
	follower.reporting[zone] = true
	return true
}

func (follower *Follower) endReport(zone core.ZoneID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	delete(follower.reporting, zone)
}

func (follower *Follower) reportZone(zone core.ZoneID, owner core.VMID, usage *wire.Usage) {
	ctx, cancel := context.WithTimeout(follower.ctx, usageTimeout)
	defer cancel()
	response, err := follower.parts.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_Usage{Usage: usage}})
	if err != nil {
		follower.parts.Logger.Debug("The owner did not take the report of use.", "owner", owner, "error", err)
		return
	}
	follower.parts.Table.setOthers(zone, response.GetUsageResult())
}

// Place asks the owners of the zones' engines for an engine that holds weights, or for
// one more if some hold them. It returns the engine, or the reason why there is none.
func (follower *Follower) Place(ctx context.Context, query Query, more bool, wait time.Duration) (core.UpstreamID, string) {
	reason := "no owner of engines is known"
	exclude := make([]string, 0, len(query.Exclude))
	for _, id := range query.Exclude {
		exclude = append(exclude, string(id))
	}
	revision := follower.parts.Table.Revision(query.Weights)
	deadline := time.Now().Add(wait)
	owners := follower.parts.Table.OwnersFor(query, more)
	for i, owner := range owners {
		left := time.Until(deadline)
		if left <= 0 || ctx.Err() != nil {
			return "", reason
		}
		if i+1 < len(owners) {
			left = left * firstShare / 100
		}
		upstream, why, final := follower.ask(ctx, owner, &wire.Place{
			Service: string(query.Service), Model: string(query.Weights.Model), Adapter: string(query.Weights.Adapter),
			Revision: uint64(revision), Exclude: exclude, Request: string(query.Request), WaitMillis: left.Milliseconds(),
		}, left)
		if upstream != "" {
			return upstream, ""
		}
		reason = why
		if final {
			// A load at the next owner would push out there what is in use, for a caller
			// who has waited already.
			return "", reason
		}
	}
	return "", reason
}

// firstShare is the part, in percent, of the time left for which one owner is waited for
// while there are others.
const firstShare = 60

// placeSlack is the time that the answer of an owner may take beyond its wait.
const placeSlack = 50 * time.Millisecond

func (follower *Follower) ask(ctx context.Context, owner core.VMID, place *wire.Place, wait time.Duration) (upstream core.UpstreamID, reason string, final bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+placeSlack)
	defer cancel()
	response, err := follower.parts.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_Place{Place: place}})
	if err != nil {
		return "", err.Error(), false
	}
	result := response.GetPlaceResult()
	if !result.GetPlaced() {
		return "", result.GetReason(), result.GetLate()
	}
	return core.UpstreamID(result.GetUpstream()), "", false
}
