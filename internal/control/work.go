package control

import (
	"context"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// takeoverWait is the time for which a new owner gives no order. The first owner of a
// zone has nobody to wait for, and engines that check tokens refuse a former owner that
// was lost. A VM that owned the zone before it started goes on where engines check tokens.
func (control *Control) takeoverWait(owner ledger.Ownership) time.Duration {
	if owner.First || control.parts.EnginesCheckTokens && (!owner.Live || !control.started) {
		return 0
	}
	return leaseTime + leaseMargin
}

// mayOrder reports whether this VM may give orders in a zone now. The caller holds the
// lock.
func (control *Control) mayOrder(now time.Duration, zone *ownedZone) bool {
	if zone.lost || now < zone.from {
		return false
	}
	return control.parts.EnginesCheckTokens || now < control.lease
}

// work gives orders whenever something has changed or a time has come.
func (control *Control) work(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-control.changed:
		case <-timer.C:
		}
		timer.Reset(control.step())
	}
}

// step sends the orders that are due and returns the time until the next look.
func (control *Control) step() time.Duration {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, instance := range control.members.Expire(now) {
		control.parts.Logger.Warn("An upstream is silent.", "upstream", instance.Upstream, "service", instance.Service, "address", instance.Address)
		control.publish(now, instance)
	}
	control.known.Expire(now)
	control.settleRecall(now)
	next := tick
	for _, zone := range control.owned {
		if !control.mayOrder(now, zone) {
			continue
		}
		orders, wake := zone.table.Next(now)
		for _, order := range orders {
			control.parts.Jobs.Go(func() { control.send(zone, order) })
		}
		if wake > 0 {
			next = min(next, max(wake-now, time.Millisecond))
		}
		control.hub.weights(zone.table.Changes(), zone.token)
	}
	return next
}

// send gives one order and takes in what became of it.
func (control *Control) send(zone *ownedZone, order residency.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if !control.stillOwns(zone) {
		control.done(zone, order, residency.Unanswered)
		return
	}
	if order.Kind == residency.Report {
		control.report(ctx, zone, order)
		return
	}
	outcome := control.parts.Engines.Order(ctx, order, zone.token)
	orderCounts.Inc(order.Kind.String(), outcome.String())
	if !order.Check || outcome != residency.Holds && outcome != residency.Accepted {
		control.parts.Logger.Debug("An engine answered an order.", "upstream", order.Upstream, "order", order.Kind.String(),
			"weights", order.Weights.String(), "revision", order.Revision, "expected", order.Expected, "check", order.Check, "outcome", outcome.String())
	}
	control.done(zone, order, outcome)
}

// stillOwns is asked right before an order leaves: a VM that was suspended in between
// must not send what it decided before.
func (control *Control) stillOwns(zone *ownedZone) bool {
	control.lock.Lock()
	defer control.lock.Unlock()
	return control.owned[zone.zone] == zone && control.mayOrder(clock.Now(), zone)
}

func (control *Control) report(ctx context.Context, zone *ownedZone, order residency.Order) {
	state, err := control.parts.Engines.Report(ctx, order)
	if err != nil {
		control.parts.Logger.Warn("An engine gave no report.", "upstream", order.Upstream, "error", err)
		control.done(zone, order, residency.Unanswered)
		return
	}
	control.parts.Logger.Info("An engine reported.", "upstream", order.Upstream, "accepted", state.Accepted,
		"holds", len(state.Holdings), "running", state.Running, "busy", state.Busy)
	control.lock.Lock()
	defer control.lock.Unlock()
	zone.table.Sync(clock.Now(), order.Upstream, order.Born, state)
	control.advance(zone)
}

func (control *Control) done(zone *ownedZone, order residency.Order, outcome residency.Outcome) {
	control.lock.Lock()
	defer control.lock.Unlock()
	if !zone.table.Done(clock.Now(), order, outcome) {
		control.parts.Logger.Warn("An engine has seen a later owner.", "upstream", order.Upstream, "zone", zone.zone, "token", zone.token)
		zone.lost = true
	}
	control.advance(zone)
}

// advance publishes what an order has changed and lets those go on who wait for it. The
// caller holds the lock.
func (control *Control) advance(zone *ownedZone) {
	if control.owned[zone.zone] == zone {
		control.hub.weights(zone.table.Changes(), zone.token)
	}
	close(control.progress)
	control.progress = make(chan struct{})
	control.wake()
}

// place answers a VM that needs an engine with certain weights.
func (control *Control) place(ctx context.Context, request *wire.Place) *wire.PlaceResult {
	result := control.placeWithin(ctx, request)
	placeCounts.Inc(strconv.FormatBool(result.GetPlaced()), result.GetReason())
	level := log.DebugLevel
	if !result.GetPlaced() {
		level = log.InfoLevel
	}
	control.parts.Logger.Log(level, "An engine was asked for.", "request", request.GetRequest(), "weights", request.GetModel()+"/"+request.GetAdapter(), "revision", request.GetRevision(),
		"exclude", request.GetExclude(), "wait_millis", request.GetWaitMillis(), "placed", result.GetPlaced(), "upstream", result.GetUpstream(), "reason", result.GetReason())
	return result
}

func (control *Control) placeWithin(ctx context.Context, request *wire.Place) *wire.PlaceResult {
	query := residency.Query{
		Service:  core.ServiceID(request.GetService()),
		Weights:  core.WeightKey{Model: core.ModelID(request.GetModel()), Adapter: core.AdapterID(request.GetAdapter())},
		Revision: core.Revision(request.GetRevision()),
	}
	for _, id := range request.GetExclude() {
		query.Exclude = append(query.Exclude, core.UpstreamID(id))
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetWaitMillis())*time.Millisecond)
	defer cancel()
	for {
		upstream, placement, progress := control.placeNow(query)
		switch placement {
		case residency.Ready:
			return &wire.PlaceResult{Placed: true, Upstream: string(upstream), Revision: uint64(query.Revision)}
		case residency.Full:
			return &wire.PlaceResult{Reason: "too many loads wait for the engines", Late: true}
		case residency.Nowhere:
			return &wire.PlaceResult{Reason: "no engine can take the weights"}
		}
		select {
		case <-ctx.Done():
			return &wire.PlaceResult{Reason: "the load did not end in time", Late: true}
		case <-progress:
		}
	}
}

func (control *Control) placeNow(query residency.Query) (core.UpstreamID, residency.Placement, <-chan struct{}) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, zone := range control.owned {
		if !control.mayOrder(now, zone) {
			continue
		}
		upstream, placement := zone.table.Place(now, query)
		if placement != residency.Nowhere {
			control.wake()
			return upstream, placement, control.progress
		}
	}
	return "", residency.Nowhere, nil
}

// use takes in what an entry VM has sent since its last report.
func (control *Control) use(request *wire.Usage) *wire.UsageResult {
	now := clock.Now()
	own := useOf(now, request)
	control.lock.Lock()
	defer control.lock.Unlock()
	control.running[core.VMID(request.GetVm())] = own
	sums := control.sumRunning(now)
	for _, zone := range control.owned {
		for _, use := range request.GetWeights() {
			key := core.WeightKey{Model: core.ModelID(use.GetModel()), Adapter: core.AdapterID(use.GetAdapter())}
			zone.table.Use(now, key, int(use.GetCount()))
		}
		for _, instance := range control.known.All() {
			zone.table.SetRunning(instance.Upstream, sums[instance.Upstream])
		}
	}
	result := &wire.UsageResult{}
	for id, running := range sums {
		if others := total(running) - total(own.running[id]); others > 0 {
			result.Upstreams = append(result.Upstreams, &wire.UpstreamUse{Upstream: string(id), Running: uint32(others)})
		}
	}
	return result
}

func useOf(now time.Duration, request *wire.Usage) use {
	own := use{at: now, running: make(map[core.UpstreamID]map[core.WeightKey]int)}
	for _, upstream := range request.GetUpstreams() {
		running := make(map[core.WeightKey]int)
		for _, weights := range upstream.GetWeights() {
			running[core.WeightKey{Model: core.ModelID(weights.GetModel()), Adapter: core.AdapterID(weights.GetAdapter())}]++
		}
		if rest := int(upstream.GetRunning()) - len(upstream.GetWeights()); rest > 0 {
			running[core.WeightKey{}] = rest
		}
		own.running[core.UpstreamID(upstream.GetUpstream())] = running
	}
	return own
}

func total(running map[core.WeightKey]int) int {
	sum := 0
	for _, count := range running {
		sum += count
	}
	return sum
}

// useMemory is the time for which a report of use counts. Reports come every 80 ms.
const useMemory = 2 * time.Second

// sumRunning returns the requests in flight at each upstream by weights. The caller holds
// the lock.
func (control *Control) sumRunning(now time.Duration) map[core.UpstreamID]map[core.WeightKey]int {
	sums := make(map[core.UpstreamID]map[core.WeightKey]int)
	for vm, use := range control.running {
		if now-use.at > useMemory {
			delete(control.running, vm)
			continue
		}
		for id, running := range use.running {
			if sums[id] == nil {
				sums[id] = make(map[core.WeightKey]int)
			}
			for key, count := range running {
				sums[id][key] += count
			}
		}
	}
	return sums
}
