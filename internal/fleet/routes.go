package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

const (
	// fetchTimeout bounds one fetch of the route table.
	fetchTimeout = 1500 * time.Millisecond
	// hedgeDelay is the time without an answer after which another control VM is asked as well, and
	// maxFetches the number of control VMs that are asked at once.
	hedgeDelay = 300 * time.Millisecond
	maxFetches = 3
)

var (
	// routeFetches counts the fetches of the route table by their result, "newer", "not newer" or
	// "failed", and by the control VM that was asked. Changes that came with events have the result
	// "pushed".
	routeFetches = telemetry.NewCounterFamily("dandelionring_routes_fetches_total", "result", "control")
	// routeWaits holds the times from the statement of a number to its table, or a later one, in
	// force, and routeBytes the sizes of the fetched pages.
	routeWaitSeconds = metrics.GetOrCreateHistogram("dandelionring_routes_wait_seconds")
	routeBytes       = metrics.GetOrCreateHistogram("dandelionring_routes_page_bytes")
)

// routeWaits holds the times at which numbers of route tables were stated first that are not in
// force yet. The zero value holds none. A routeWaits is not safe for concurrent use.
type routeWaits struct {
	stated map[core.ConfigNumber]time.Duration
}

// state notes that a control VM has stated a number.
func (waits *routeWaits) state(now time.Duration, number core.ConfigNumber) {
	if waits.stated == nil {
		waits.stated = make(map[core.ConfigNumber]time.Duration)
	}
	if _, known := waits.stated[number]; !known {
		waits.stated[number] = now
	}
}

// end removes the numbers up to that of the table in force, and returns the longest wait for one
// of them, zero if none was stated.
func (waits *routeWaits) end(now time.Duration, number core.ConfigNumber) time.Duration {
	var longest time.Duration
	for stated, at := range waits.stated {
		if stated <= number {
			longest = max(longest, now-at)
			delete(waits.stated, stated)
		}
	}
	return longest
}

// endWaits ends the waits for the numbers up to that of the table in force and counts the longest
// one, which it returns.
func (follower *Follower) endWaits(number core.ConfigNumber) time.Duration {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	wait := follower.waits.end(clock.Now(), number)
	routeWaitSeconds.Update(wait.Seconds())
	return wait
}

// heldRoutes is the route table in force with its digest. The zero value holds none.
type heldRoutes struct {
	// lock has position 0 in the lock order. It is held while a table takes effect.
	lock  sync.Mutex
	table routediff.Table
	// misfit is set after a change that could not be decoded, or that has led to another table than
	// it was computed for. The whole table is fetched then.
	misfit bool
}

// held returns the number for which changes may be fetched, zero if the whole table is needed.
func (routes *heldRoutes) held() core.ConfigNumber {
	routes.lock.Lock()
	defer routes.lock.Unlock()
	if routes.misfit {
		return 0
	}
	return routes.table.Number()
}

// arrival describes how a route table has reached this VM.
type arrival struct {
	control core.VMID
	// form is "pushed", "change" or "whole".
	form      string
	confirmed bool
	bytes     int
	// begun is the time at which the fetch began, and arrived that at which the message was there.
	begun, arrived time.Duration
}

// applyRoutesNumber notes the number that a control VM states, puts the table in force if the event
// has what changed, and has it fetched otherwise. Events about other things state none.
func (follower *Follower) applyRoutesNumber(vm core.VMID, number core.ConfigNumber, change *wire.RouteChange) {
	if number == 0 {
		return
	}
	now := clock.Now()
	table := follower.options.Table
	follower.lock.Lock()
	follower.sources.State(time.Since(follower.began), vm, follower.zoneOf(vm), number)
	if number > table.RoutesNumber() {
		follower.waits.state(now, number)
	}
	follower.lock.Unlock()
	if change != nil && core.ConfigNumber(change.GetTo()) > table.RoutesNumber() {
		if err := follower.applyChange(change, arrival{control: vm, form: "pushed", bytes: len(change.GetChange()), begun: now, arrived: now}); err != nil {
			follower.options.Logger.Info("A change of the route table was not applied.", "control", vm, "from", change.GetFrom(), "to", change.GetTo(), "in_force", table.RoutesNumber(), "error", err)
		}
	}
	if number > table.RoutesNumber() {
		follower.startFetch(1)
	}
}

// zoneOf returns the zone of a control VM, empty if it is not known. The caller holds the lock.
func (follower *Follower) zoneOf(vm core.VMID) core.ZoneID {
	at := slices.IndexFunc(follower.controlVMs, func(control ControlVM) bool { return control.VM == vm })
	if at < 0 {
		return ""
	}
	return follower.controlVMs[at].Zone
}

// endSource notes that the watch of a control VM has ended.
func (follower *Follower) endSource(vm core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.sources.Leave(vm)
}

// applyChange puts the table in force to which a change leads. It returns an error if the change
// does not begin with the table in force, or leads to another table than stated.
func (follower *Follower) applyChange(message *wire.RouteChange, arrival arrival) error {
	routes := &follower.routes
	routes.lock.Lock()
	defer routes.lock.Unlock()
	held := routes.table.Number()
	if core.ConfigNumber(message.GetTo()) <= held {
		return nil
	}
	if held == 0 || routes.misfit || core.ConfigNumber(message.GetFrom()) > held {
		return errors.New("the table that it begins with is not in force")
	}
	change, err := peer.RouteChangeFromMessage(message)
	if err == nil {
		var next routediff.Table
		if next, err = routes.table.Apply(change); err == nil {
			if follower.options.Table.ChangeRoutes(next.Routes(), change) {
				follower.noteInForce(next, arrival)
			}
			return nil
		}
	}
	routes.misfit = true
	return errors.Wrap(err, "apply change")
}

// noteInForce applies what depends on the table that has taken effect. The caller holds the lock of
// the routes.
func (follower *Follower) noteInForce(next routediff.Table, arrival arrival) {
	table := next.Routes()
	follower.routes.table, follower.routes.misfit = next, false
	follower.setLimits(table)
	follower.options.Changed(table)
	routeBytes.Update(float64(arrival.bytes))
	follower.options.Logger.Info("A route table is in force.", "number", table.Number, "routes", len(table.Routes), "workspaces", len(table.Workspaces),
		"control", arrival.control, "confirmed", arrival.confirmed, "form", arrival.form, "bytes", arrival.bytes, "wait_millis", follower.endWaits(table.Number).Milliseconds(),
		"fetch_millis", (arrival.arrived - arrival.begun).Milliseconds(), "apply_millis", (clock.Now() - arrival.arrived).Milliseconds())
	if arrival.form == "pushed" {
		routeFetches.Inc("pushed", string(arrival.control))
	}
	follower.wakeFetches()
}

// wakeFetches makes a goroutine that waits to fetch the route table look again. It does not block.
func (follower *Follower) wakeFetches() {
	select {
	case follower.fetchDue <- struct{}{}:
	default:
	}
}

// startFetch fetches the route table in the background unless the given number of goroutines do so
// already; one of them looks again then.
func (follower *Follower) startFetch(most int) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.fetchLoops >= most {
		follower.wakeFetches()
		return
	}
	if follower.ctx.Err() != nil {
		return
	}
	follower.fetchLoops++
	follower.running.Go(follower.fetchLoop)
}

// fetchLoop fetches the route table until that with the highest number that a control VM has stated
// is in force. The first table must be confirmed by a majority: a partitioned control VM may hold an
// old one, and this VM may have served a newer one before it was restarted.
func (follower *Follower) fetchLoop() {
	for {
		vm, wait, ended := follower.nextFetch()
		switch {
		case ended:
			return
		case vm != "":
			follower.fetch(vm)
		default:
			follower.waitForFetch(wait)
		}
	}
}

// nextFetch returns the control VM to ask, or the time until the next look. It ends the goroutine
// if nothing is to be fetched. The look and the end are one step: a number that is stated after it
// starts another goroutine.
func (follower *Follower) nextFetch() (vm core.VMID, wait time.Duration, ended bool) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	vm, wait = follower.sources.Next(time.Since(follower.began), follower.options.VM, follower.options.Zone, follower.options.Table.RoutesNumber())
	if vm == "" && wait == 0 || follower.ctx.Err() != nil {
		follower.fetchLoops--
		return "", 0, true
	}
	return vm, wait, false
}

// waitForFetch waits for the time, or until something has changed.
func (follower *Follower) waitForFetch(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-follower.ctx.Done():
	case <-follower.fetchDue:
	case <-timer.C:
	}
}

// fetch fetches the route table from a control VM and notes the result.
func (follower *Follower) fetch(vm core.VMID) {
	follower.lock.Lock()
	stated := follower.sources.Begin(vm)
	follower.lock.Unlock()
	number, err := follower.fetchRoutes(vm)
	now := time.Since(follower.began)
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if err != nil {
		follower.options.Logger.Warn("The route table could not be fetched.", "control", vm, "number", stated, "error", err)
		routeFetches.Inc("failed", string(vm))
		follower.sources.Fail(now, vm)
		return
	}
	follower.sources.Answer(now, vm, number)
}

// fetchRoutes fetches the route table from a control VM and puts it in force if it is newer than
// the present one. It returns the number of the table of the control VM, or an error if the VM does
// not answer, has none, or has a change that does not fit.
func (follower *Follower) fetchRoutes(vm core.VMID) (core.ConfigNumber, error) {
	arrival := arrival{control: vm, form: "whole", confirmed: follower.options.Table.RoutesNumber() == 0, begun: clock.Now()}
	request := &wire.Request{Body: &wire.Request_RoutesFetch{RoutesFetch: &wire.RoutesFetch{
		Confirm: arrival.confirmed, Features: peer.FeatureMessages(core.SupportedFeatures()), HeldNumber: uint64(follower.routes.held()), Compressed: true,
	}}}
	response, err := follower.callForRoutes(vm, request)
	if err != nil {
		return 0, errors.Wrap(err, "fetch routes")
	}
	arrival.arrived = clock.Now()
	page := response.GetRoutesPage()
	number := core.ConfigNumber(page.GetNumber())
	if number == 0 {
		return 0, errors.New("the control VM has no route table yet")
	}
	for _, message := range page.GetRevisions() {
		follower.options.Table.SetRevision(peer.RevisionFromMessage(message))
	}
	if number <= follower.options.Table.RoutesNumber() {
		routeFetches.Inc("not newer", string(vm))
		return number, nil
	}
	if change := page.GetChange(); change != nil {
		arrival.form, arrival.bytes = "change", len(change.GetChange())
		err = follower.applyChange(change, arrival)
	} else {
		arrival.bytes = len(page.GetTable()) + len(page.GetCompressedTable())
		err = follower.applyTable(page, arrival)
	}
	if err != nil {
		return 0, err
	}
	routeFetches.Inc("newer", string(vm))
	return number, nil
}

// callForRoutes sends a request for the route table. If there is no answer after hedgeDelay, another
// control VM is asked as well.
func (follower *Follower) callForRoutes(vm core.VMID, request *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(follower.ctx, fetchTimeout)
	defer cancel()
	hedge := time.AfterFunc(hedgeDelay, func() { follower.startFetch(maxFetches) })
	defer hedge.Stop()
	return follower.options.Calls.Call(ctx, vm, request)
}

// applyTable puts the whole table of a page in force if it is newer than the present one.
func (follower *Follower) applyTable(page *wire.RoutesPage, arrival arrival) error {
	table, err := peer.RouteTableFromMessage(page)
	if err != nil {
		return err
	}
	next := routediff.NewTable(table)
	follower.routes.lock.Lock()
	defer follower.routes.lock.Unlock()
	if follower.options.Table.SetRoutes(table) {
		follower.noteInForce(next, arrival)
	}
	return nil
}
