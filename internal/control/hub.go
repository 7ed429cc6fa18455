package control

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
)

// The delays for which changes are collected before they are sent. VMs of the own zone
// need to know at once what an engine holds; others take from its engines what the own
// zone lacks.
const (
	localDelay  = 3 * time.Millisecond
	remoteDelay = 150 * time.Millisecond
)

// tokenChange is a change of an engine's weights under the token of its owner.
type tokenChange struct {
	change residency.Change
	token  core.FencingToken
}

// subscriber is one VM that watches this one. What waits for it is bounded by the state:
// a later instance replaces an earlier one, and changes of weights are sent in order.
type subscriber struct {
	vm       core.VMID
	local    bool
	control  bool
	revision uint64
	signal   chan struct{}

	instances map[core.UpstreamID]core.Instance
	weights   []tokenChange
	// dirty is set if anything else than instances and weights changed.
	dirty bool
	// overflow is set if changes of weights were dropped; everything is sent again.
	overflow bool
}

// maxWaiting bounds the changes of weights that wait for a subscriber.
const maxWaiting = 2048

// hub hands changes to the subscribers. The zero value has none.
type hub struct {
	// lock is table 3 of the lock order.
	lock        sync.Mutex
	subscribers map[*subscriber]struct{}
}

func (hub *hub) add(vm core.VMID, local, control bool, revision uint64) *subscriber {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	if hub.subscribers == nil {
		hub.subscribers = make(map[*subscriber]struct{})
	}
	next := &subscriber{
		vm: vm, local: local, control: control, revision: revision, signal: make(chan struct{}, 1),
		instances: make(map[core.UpstreamID]core.Instance), dirty: true, overflow: true,
	}
	hub.subscribers[next] = struct{}{}
	hub.touchAll()
	next.wake()
	return next
}

func (hub *hub) remove(subscriber *subscriber) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	delete(hub.subscribers, subscriber)
	hub.touchAll()
}

// touchAll lets every subscriber hear the number of entry VMs. The caller holds the lock.
func (hub *hub) touchAll() {
	for subscriber := range hub.subscribers {
		subscriber.dirty = true
		subscriber.wake()
	}
}

func (subscriber *subscriber) wake() {
	select {
	case subscriber.signal <- struct{}{}:
	default:
	}
}

// count returns the number of entry VMs that watch this one.
func (hub *hub) count() int {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	vms := make(map[core.VMID]bool)
	for subscriber := range hub.subscribers {
		if !subscriber.control {
			vms[subscriber.vm] = true
		}
	}
	return len(vms)
}

// instance publishes what is known of an upstream.
func (hub *hub) instance(instance core.Instance) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		subscriber.instances[instance.Upstream] = instance
		subscriber.wake()
	}
}

// weights publishes changes of what engines hold.
func (hub *hub) weights(changes []residency.Change, token core.FencingToken) {
	if len(changes) == 0 {
		return
	}
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for subscriber := range hub.subscribers {
		if len(subscriber.weights)+len(changes) > maxWaiting {
			subscriber.weights, subscriber.overflow = nil, true
		}
		for _, change := range changes {
			subscriber.weights = append(subscriber.weights, tokenChange{change, token})
		}
		subscriber.wake()
	}
}

// state publishes that routes, revisions, owners or control VMs have changed.
func (hub *hub) state() {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	hub.touchAll()
}

// waiting is what a subscriber is to be sent.
type waiting struct {
	instances []core.Instance
	weights   []tokenChange
	dirty     bool
	overflow  bool
}

func (hub *hub) take(subscriber *subscriber) waiting {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	taken := waiting{weights: subscriber.weights, dirty: subscriber.dirty, overflow: subscriber.overflow}
	for _, instance := range subscriber.instances {
		taken.instances = append(taken.instances, instance)
	}
	clear(subscriber.instances)
	subscriber.weights, subscriber.dirty, subscriber.overflow = nil, false, false
	return taken
}

// watch serves one subscriber until the context ends or a send fails.
func (control *Control) watch(ctx context.Context, request *wire.Watch, send func(*wire.Response) error) {
	local := core.ZoneID(request.GetZone()) == control.parts.Zone
	subscriber := control.hub.add(core.VMID(request.GetVm()), local, request.GetControl(), request.GetRevisionIndex())
	defer control.hub.remove(subscriber)
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
		event := control.event(subscriber, control.hub.take(subscriber))
		if err := send(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: event}}); err != nil {
			return
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// event puts together what a subscriber is sent.
func (control *Control) event(subscriber *subscriber, waiting waiting) *wire.WatchEvent {
	event := &wire.WatchEvent{}
	if waiting.overflow {
		waiting.instances, waiting.weights = control.everything()
	}
	for _, instance := range waiting.instances {
		event.Instances = append(event.Instances, peer.InstanceMessage(instance))
	}
	for _, weights := range waiting.weights {
		event.Residency = append(event.Residency, peer.ResidencyMessage(weights.change, weights.token))
	}
	if waiting.dirty {
		control.describe(event, subscriber)
	}
	return event
}
