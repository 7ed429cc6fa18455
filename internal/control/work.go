package control

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// takeoverWait returns the time for which a new owner sends no orders, so that the lease
// of the former owner expires first. The first owner of a zone does not wait. Where engines
// check tokens they reject a former owner that failed, so a new owner waits only if the
// former one still has a lease, and a VM that owned the zone before it was restarted
// continues at once.
func (control *Control) takeoverWait(owner ledger.Ownership) time.Duration {
	if owner.First || control.options.EnginesCheckTokens && (!owner.Live || !control.stateLoaded) {
		return 0
	}
	return leaseTime + leaseMargin
}

// mayOrder reports whether this VM may send orders in a zone now. The caller holds the
// lock.
func (control *Control) mayOrder(now time.Duration, zone *ownedZone) bool {
	if zone.tokenRejected || now < zone.ordersFrom {
		return false
	}
	return control.options.EnginesCheckTokens || now < control.leaseEnd
}

// orderLoop sends the due orders after each change and at the time that the tables ask
// for, until the context ends.
func (control *Control) orderLoop(ctx context.Context) {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-control.changed:
		case <-timer.C:
		}
		timer.Reset(control.startDueOrders())
	}
}

// startDueOrders marks silent upstreams, starts the orders that are due and returns the
// time until the next run.
func (control *Control) startDueOrders() time.Duration {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, instance := range control.members.Expire(now) {
		control.options.Logger.Warn("An upstream is silent.", "upstream", instance.Upstream, "service", instance.Service, "address", instance.Address)
		control.publish(now, instance)
	}
	control.known.Expire(now)
	control.notePace(now)
	delay := stepInterval
	for _, zone := range control.owned {
		if !control.mayOrder(now, zone) {
			continue
		}
		orders, wakeAt := zone.table.NextOrders(now)
		for _, order := range orders {
			control.options.Jobs.Go(func() { control.executeOrder(zone, order) })
		}
		if wakeAt > 0 {
			delay = min(delay, max(wakeAt-now, time.Millisecond))
		}
		control.hub.publishWeights(zone.table.TakeChanges(), zone.token)
	}
	return delay
}

// executeOrder sends one order and applies its outcome.
func (control *Control) executeOrder(zone *ownedZone, order residency.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if !control.stillOwns(zone) {
		control.completeOrder(zone, order, residency.Unanswered)
		return
	}
	if order.Kind == residency.Report {
		control.fetchReport(ctx, zone, order)
		return
	}
	outcome := control.options.Engines.Order(ctx, order, zone.token)
	orderCounts.Inc(order.Kind.String(), outcome.String())
	if !order.Check || outcome != residency.AlreadyInEffect && outcome != residency.Accepted {
		control.options.Logger.Debug("An engine answered an order.", "upstream", order.Upstream, "order", order.Kind.String(),
			"weights", order.Weights.String(), "revision", order.Revision, "expected", order.Expected, "check", order.Check, "outcome", outcome.String())
	}
	control.completeOrder(zone, order, outcome)
}

// stillOwns reports whether this VM may still send orders in a zone. It is checked right
// before an order is sent: a VM that was suspended in between must not send an order that
// it decided on before.
func (control *Control) stillOwns(zone *ownedZone) bool {
	control.lock.Lock()
	defer control.lock.Unlock()
	return control.owned[zone.zone] == zone && control.mayOrder(clock.Now(), zone)
}

// fetchReport asks an engine for its state and replaces the known one by it.
func (control *Control) fetchReport(ctx context.Context, zone *ownedZone, order residency.Order) {
	state, err := control.options.Engines.Report(ctx, order)
	if err != nil {
		control.options.Logger.Warn("An engine did not answer the request for a report.", "upstream", order.Upstream, "error", err)
		control.completeOrder(zone, order, residency.Unanswered)
		return
	}
	control.options.Logger.Info("An engine reported.", "upstream", order.Upstream, "accepted", state.Accepted,
		"holds", len(state.Holdings), "running", state.Running, "busy", state.Busy)
	control.lock.Lock()
	defer control.lock.Unlock()
	zone.table.ApplyReport(clock.Now(), order.Upstream, order.Born, state)
	zone.table.SetRunning(order.Upstream, control.usage.sums[order.Upstream])
	control.publishProgress(zone)
}

// completeOrder applies the outcome of an order. If the engine has rejected the fencing
// token, this VM sends no more orders in the zone.
func (control *Control) completeOrder(zone *ownedZone, order residency.Order, outcome residency.Outcome) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if !zone.table.ApplyOutcome(clock.Now(), order, outcome) {
		control.options.Logger.Warn("An engine rejected the fencing token, since it has seen a later one.", "upstream", order.Upstream, "zone", zone.zone, "token", zone.token)
		zone.tokenRejected = true
	}
	control.publishProgress(zone)
}

// publishProgress sends the changes made by an order to the subscribers and wakes the
// callers that wait for a placement. The caller holds the lock.
func (control *Control) publishProgress(zone *ownedZone) {
	if control.owned[zone.zone] == zone {
		control.hub.publishWeights(zone.table.TakeChanges(), zone.token)
	}
	close(control.progress)
	control.progress = make(chan struct{})
	control.signalWorker()
}

// place answers a request for an engine that holds the given weights.
func (control *Control) place(ctx context.Context, request *wire.Place) *wire.PlaceResult {
	result := control.waitForPlacement(ctx, request)
	placeCounts.Inc(strconv.FormatBool(result.GetPlaced()), result.GetReason())
	level := log.DebugLevel
	if !result.GetPlaced() {
		level = log.InfoLevel
	}
	control.options.Logger.Log(level, "An engine was asked for.", "request", request.GetRequest(), "weights", request.GetModel()+"/"+request.GetAdapter(), "revision", request.GetRevision(),
		"exclude", request.GetExclude(), "software", request.GetSoftware(), "wait_millis", request.GetWaitMillis(), "placed", result.GetPlaced(), "upstream", result.GetUpstream(), "reason", result.GetReason())
	return result
}

// waitForPlacement returns an engine that holds the weights. If none does, it waits for a
// load for at most the time that the request allows, and returns the reason if it fails.
func (control *Control) waitForPlacement(ctx context.Context, request *wire.Place) *wire.PlaceResult {
	query := residency.Query{
		Service:  core.ServiceID(request.GetService()),
		Weights:  core.WeightKey{Model: core.ModelID(request.GetModel()), Adapter: core.AdapterID(request.GetAdapter())},
		Revision: core.Revision(request.GetRevision()),
		Origin:   origin.Requirement{Continues: request.GetSoftware() != "", Software: core.SoftwareVersion(request.GetSoftware())},
	}
	for _, id := range request.GetExclude() {
		query.Exclude = append(query.Exclude, core.UpstreamID(id))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMillis())*time.Millisecond)
	defer cancel()
	for {
		upstream, status, progress := control.tryPlace(query)
		switch status {
		case residency.Ready:
			return &wire.PlaceResult{Placed: true, Upstream: string(upstream), Revision: uint64(query.Revision)}
		case residency.QueueFull:
			return &wire.PlaceResult{Reason: "too many loads wait for the engines", Late: true}
		case residency.NoEngine:
			return &wire.PlaceResult{Reason: "no engine can take the weights"}
		}
		select {
		case <-ctx.Done():
			return &wire.PlaceResult{Reason: "the load did not end in time", Late: true}
		case <-progress:
		}
	}
}

// tryPlace returns an engine that holds the weights now, or starts a load. If this VM owns
// several zones, an engine or a pending load in any of them comes before another load. The
// channel is closed when the next order completes.
func (control *Control) tryPlace(query residency.Query) (core.UpstreamID, residency.PlacementStatus, <-chan struct{}) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	zones := control.zonesFor(now, query.Weights)
	found := residency.NoEngine
	for _, zone := range zones {
		upstream, status := zone.table.Find(now, query)
		if status == residency.Ready {
			return upstream, status, control.progress
		}
		if status == residency.LoadPending {
			found = status
		}
	}
	for _, zone := range zones {
		if found == residency.LoadPending {
			break
		}
		if _, status := zone.table.Place(now, query); status != residency.NoEngine {
			found = status
		}
	}
	if found == residency.LoadPending {
		control.signalWorker()
	}
	return "", found, control.progress
}

// zonesFor returns the zones in which this VM may send orders. The order depends on the
// weights, so that loads spread over the zones. The caller holds the lock.
func (control *Control) zonesFor(now time.Duration, weights core.WeightKey) []*ownedZone {
	var zones []*ownedZone
	for _, zone := range control.owned {
		if control.mayOrder(now, zone) {
			zones = append(zones, zone)
		}
	}
	rank := func(zone *ownedZone) uint64 { return xxhash.Sum64String(string(zone.zone) + weights.String()) }
	slices.SortFunc(zones, func(a, b *ownedZone) int { return cmp.Compare(rank(a), rank(b)) })
	return zones
}
