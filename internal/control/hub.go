package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/policy/throttle"
)

// The times for which changes are batched before they are sent. Entry VMs of the own zone
// need changes of its engines' weights at once. VMs of other zones use these engines only
// for weights that their own zone lacks.
const (
	localDelay  = 3 * time.Millisecond
	remoteDelay = 150 * time.Millisecond
)

// fencedChange is a change of an engine's weights with the fencing token of its owner.
type fencedChange struct {
	change residency.Change
	token  core.FencingToken
}

// subscriber is one VM that watches this one. Its pending changes are bounded: a later
// instance replaces an earlier one of the same upstream, and changes of weights, which are
// sent in order, are limited to maxPendingWeights.
type subscriber struct {
	vm core.VMID
	// local is set if the VM is in the zone of this one.
	local bool
	// control is set for a control VM, and not for an entry VM.
	control bool
	// handover is set for an entry VM that takes over requests of others, and offered holds
	// those that it was sent last.
	handover handover.Target
	offered  []handover.Target
	// revisionIndex is the log index of the last adapter revision that it was sent.
	revisionIndex uint64
	// routeChanges is set for an entry VM that applies changes of the route table, with the given
	// features, and routesNumber is the number that it was sent last.
	routeChanges bool
	features     []core.Feature
	routesNumber core.ConfigNumber
	// signal holds one element while changes are pending.
	signal chan struct{}

	instances map[core.UpstreamID]core.Instance
	weights   []fencedChange
	verdicts  map[conviction.Trait]conviction.Verdict
	limits    map[throttle.Process]throttle.Statement
	// dirty is set if anything other than instances and weights changed.
	dirty bool
	// overflow is set if changes of weights were dropped; a snapshot is sent then.
	overflow bool
}

// maxPendingWeights bounds the pending changes of weights of a subscriber.
const maxPendingWeights = 2048

// hub distributes changes to the subscribers. The zero value has no subscribers.
type hub struct {
	// lock has position 3 in the lock order.
	lock        sync.Mutex
	subscribers map[*subscriber]struct{}
}

// add registers the sender of a watch, which gets a snapshot first.
func (hub *hub) add(request *wire.Watch, local bool) *subscriber {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	if hub.subscribers == nil {
		hub.subscribers = make(map[*subscriber]struct{})
	}
	next := &subscriber{
		vm: core.VMID(request.GetVm()), local: local, control: request.GetControl(), revisionIndex: request.GetRevisionIndex(), signal: make(chan struct{}, 1),
		routeChanges: request.GetRouteChanges(), features: peer.FeaturesFromMessage(request.GetFeatures()),
		instances: make(map[core.UpstreamID]core.Instance), verdicts: make(map[conviction.Trait]conviction.Verdict), limits: make(map[throttle.Process]throttle.Statement),
		dirty: true, overflow: true,
	}
	hub.subscribers[next] = struct{}{}
	hub.markAllDirty()
	next.wake()
	return next
}

// offer notes that the VM of a subscriber takes over requests of other entry VMs.
func (hub *hub) offer(subscriber *subscriber, target handover.Target) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	subscriber.handover = target
	hub.markAllDirty()
}

// takeOffers returns the entry VMs to which a subscriber may hand requests over, and false if
// it was sent the same ones last.
func (hub *hub) takeOffers(subscriber *subscriber) ([]handover.Target, bool) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	var all []handover.Target
	for other := range hub.subscribers {
		if other.handover.Address != "" {
			all = append(all, other.handover)
		}
	}
	offers := handover.Offer(subscriber.handover, all)
	if slices.Equal(offers, subscriber.offered) {
		return nil, false
	}
	subscriber.offered = offers
	return offers, true
}

func (hub *hub) remove(subscriber *subscriber) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	delete(hub.subscribers, subscriber)
	hub.markAllDirty()
}

// markAllDirty makes every subscriber get the state, which includes the number of entry
// VMs. The caller holds the lock.
func (hub *hub) markAllDirty() {
	for subscriber := range hub.subscribers {
		subscriber.dirty = true
		subscriber.wake()
	}
}

// wake signals that changes are pending. It does not block.
func (subscriber *subscriber) wake() {
	select {
	case subscriber.signal <- struct{}{}:
	default:
	}
}

// countEntryVMs returns the number of entry VMs that watch this one.
func (hub *hub) countEntryVMs() int { return len(hub.entryVMs()) }

// entryVMs returns the entry VMs that watch this one.
func (hub *hub) entryVMs() []core.VMID {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	vms := make(map[core.VMID]bool)
	for subscriber := range hub.subscribers {
		if !subscriber.control {
			vms[subscriber.vm] = true
		}
	}
	return slices.Collect(maps.Keys(vms))
}

// publishInstance queues the present state of an upstream for all subscribers.
func (hub *hub) publishInstance(instance core.Instance) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		subscriber.instances[instance.Upstream] = instance
		subscriber.wake()
	}
}

// publishWeights queues changes of engines' weights for all subscribers.
func (hub *hub) publishWeights(changes []residency.Change, token core.FencingToken) {
	if len(changes) == 0 {
		return
	}
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		if len(subscriber.weights)+len(changes) > maxPendingWeights {
			subscriber.weights, subscriber.overflow = nil, true
		}
		for _, change := range changes {
			subscriber.weights = append(subscriber.weights, fencedChange{change, token})
		}
		subscriber.wake()
	}
}

// publishVerdicts queues verdicts about the content of requests for all subscribers.
func (hub *hub) publishVerdicts(verdicts []conviction.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		for _, verdict := range verdicts {
			subscriber.verdicts[verdict.Trait] = verdict
		}
		subscriber.wake()
	}
}

// publishLimit queues the limit that an upstream has stated for all subscribers.
func (hub *hub) publishLimit(statement throttle.Statement) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		subscriber.limits[statement.Process] = statement
		subscriber.wake()
	}
}

// publishState makes every subscriber get the routes, revisions, owners and control VMs
// after a change of them.
func (hub *hub) publishState() {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	hub.markAllDirty()
}

// pendingChanges holds the changes that a subscriber has not been sent.
type pendingChanges struct {
	instances []core.Instance
	weights   []fencedChange
	verdicts  []conviction.Verdict
	limits    []throttle.Statement
	dirty     bool
	overflow  bool
}

// takePending returns the pending changes of a subscriber and clears them.
func (hub *hub) takePending(subscriber *subscriber) pendingChanges {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	taken := pendingChanges{weights: subscriber.weights, dirty: subscriber.dirty, overflow: subscriber.overflow}
	for _, instance := range subscriber.instances {
		taken.instances = append(taken.instances, instance)
	}
	taken.verdicts = slices.Collect(maps.Values(subscriber.verdicts))
	taken.limits = slices.Collect(maps.Values(subscriber.limits))
	clear(subscriber.limits)
	clear(subscriber.instances)
	clear(subscriber.verdicts)
	subscriber.weights, subscriber.dirty, subscriber.overflow = nil, false, false
	return taken
}

// serveWatch sends changes to one subscriber until the context ends or a send fails.
func (control *Control) serveWatch(ctx context.Context, request *wire.Watch, send func(*wire.Response) error) {
	local := core.ZoneID(request.GetZone()) == control.options.Zone
	subscriber := control.hub.add(request, local)
	defer control.hub.remove(subscriber)
	if address := request.GetHandoverAddress(); address != "" {
		control.hub.offer(subscriber, handover.Target{VM: core.VMID(request.GetVm()), Zone: core.ZoneID(request.GetZone()), Address: address})
	}
	delay := remoteDelay
	if local {
		delay = localDelay
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-subscriber.signal:
		}
		event := control.buildEvent(subscriber, control.hub.takePending(subscriber))
		for _, part := range splitEvent(event, maxEventBytes) {
			if err := send(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: part}}); err != nil {
				return
			}
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// buildEvent returns the message with the pending changes of a subscriber.
func (control *Control) buildEvent(subscriber *subscriber, pending pendingChanges) *wire.WatchEvent {
	event := &wire.WatchEvent{}
	if pending.overflow {
		pending = control.snapshot(pending.dirty)
	}
	for _, limit := range pending.limits {
		event.Limits = append(event.Limits, peer.StatedLimitMessage(limit))
	}
	if len(pending.verdicts) > 0 {
		vms := control.hub.entryVMs()
		for _, verdict := range pending.verdicts {
			verdict.Trier = conviction.ChooseTrier(verdict.Trait, vms)
			event.Verdicts = append(event.Verdicts, peer.VerdictMessage(verdict))
		}
	}
	for _, instance := range pending.instances {
		event.Instances = append(event.Instances, peer.InstanceMessage(instance))
	}
	for _, weights := range pending.weights {
		event.Residency = append(event.Residency, peer.ResidencyMessage(weights.change, weights.token))
	}
	if pending.dirty {
		control.addState(event, subscriber)
	}
	return event
}
