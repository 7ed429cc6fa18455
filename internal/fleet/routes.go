package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// fetchTimeout bounds one fetch of the route table.
const fetchTimeout = 1500 * time.Millisecond

var (
	// routeFetches counts the fetches of the route table by their result, "newer", "not newer" or
	// "failed", and by the control VM that was asked.
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

// startFetch fetches the route table in the background and retries until the table has at
// least the number that a control VM has reported. The first table must be confirmed by a
// majority: a partitioned control VM may hold an old one, and this VM may have served a
// newer one before it was restarted.
func (follower *Follower) startFetch(vm core.VMID, number core.ConfigNumber) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.wantedNumber = max(follower.wantedNumber, number)
	follower.fetchSource = vm
	follower.waits.state(clock.Now(), number)
	if follower.fetching || follower.ctx.Err() != nil {
		return
	}
	follower.fetching = true
	follower.running.Go(func() {
		for {
			vm, number, ended := follower.nextFetch()
			if ended {
				return
			}
			if err := follower.fetchRoutes(vm); err != nil {
				follower.options.Logger.Warn("The route table could not be fetched.", "control", vm, "number", number, "error", err)
				follower.rotateSource(vm)
				sleep(follower.ctx, fetchRetryDelay)
			}
		}
	})
}

// fetchRetryDelay is the delay after a failed fetch. An election takes 0.5 s to 1.5 s.
const fetchRetryDelay = 100 * time.Millisecond

// rotateSource makes the next fetch ask a control VM other than the one that failed.
func (follower *Follower) rotateSource(failed core.VMID) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	vms := slices.Sorted(maps.Keys(follower.watched))
	if at := slices.Index(vms, failed); at >= 0 && follower.fetchSource == failed {
		follower.fetchSource = vms[(at+1)%len(vms)]
	}
}

// nextFetch returns the control VM to fetch the route table from and the least number wanted. It
// ends the goroutine if that table is in force. The look and the end are one step: a number that is
// stated after it starts another goroutine.
func (follower *Follower) nextFetch() (vm core.VMID, number core.ConfigNumber, ended bool) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	if follower.options.Table.RoutesNumber() >= follower.wantedNumber || follower.ctx.Err() != nil {
		follower.fetching = false
		return "", 0, true
	}
	return follower.fetchSource, follower.wantedNumber, false
}

// fetchRoutes fetches the route table from a control VM and puts it in force if it is
// newer than the present one. It returns an error if the VM does not answer or has none.
func (follower *Follower) fetchRoutes(vm core.VMID) error {
	ctx, cancel := context.WithTimeout(follower.ctx, fetchTimeout)
	defer cancel()
	begun := clock.Now()
	first := follower.options.Table.RoutesNumber() == 0
	request := &wire.Request{Body: &wire.Request_RoutesFetch{RoutesFetch: &wire.RoutesFetch{Confirm: first, Features: peer.FeatureMessages(core.SupportedFeatures())}}}
	response, err := follower.options.Calls.Call(ctx, vm, request)
	if err != nil {
		routeFetches.Inc("failed", string(vm))
		return errors.Wrap(err, "fetch routes")
	}
	fetched := clock.Now()
	page := response.GetRoutesPage()
	if page.GetNumber() == 0 {
		routeFetches.Inc("failed", string(vm))
		return errors.New("the control VM has no route table yet")
	}
	var routes core.RouteTable
	if err := json.Unmarshal(page.GetTable(), &routes); err != nil {
		routeFetches.Inc("failed", string(vm))
		return errors.Wrap(err, "decode routes")
	}
	for _, message := range page.GetRevisions() {
		follower.options.Table.SetRevision(peer.RevisionFromMessage(message))
	}
	if !follower.options.Table.SetRoutes(routes) {
		routeFetches.Inc("not newer", string(vm))
		return nil
	}
	routeFetches.Inc("newer", string(vm))
	routeBytes.Update(float64(len(page.GetTable())))
	follower.options.Logger.Info("A route table is in force.", "number", routes.Number, "routes", len(routes.Routes), "workspaces", len(routes.Workspaces), "control", vm, "confirmed", first,
		"wait_millis", follower.endWaits(routes.Number).Milliseconds(), "fetch_millis", (fetched - begun).Milliseconds(), "apply_millis", (clock.Now() - fetched).Milliseconds(), "bytes", len(page.GetTable()))
	follower.setLimits(routes)
	follower.options.Changed(routes)
	return nil
}
