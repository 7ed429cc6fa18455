package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Errors of Announce and Deregister. The upstream must tell another control VM.
var (
	// ErrUnknownUpstream means that this VM has not heard of the upstream, so that it cannot
	// tell others which process leaves.
	ErrUnknownUpstream = errors.New("the upstream is not known to this control VM")
	// ErrNotShared means that no majority of the control VMs knows that the upstream leaves.
	ErrNotShared = errors.New("no majority of the control VMs knows that the upstream leaves")
)

// departureTimeout bounds the wait for the other control VMs. Upstreams wait 1 s for an answer.
const departureTimeout = 700 * time.Millisecond

// departure is the state of a process that leaves.
type departure struct {
	born int64
	gone bool
}

// covers reports whether a departure includes another one of the same upstream.
func (known departure) covers(other departure) bool {
	return known.born == other.born && (known.gone || !other.gone)
}

// Deregister handles the deregistration of an upstream, whichever control VM it announced
// itself to. It returns ErrUnknownUpstream for one that this VM does not know, and otherwise
// the error of shareDeparture.
func (control *Control) Deregister(ctx context.Context, id core.UpstreamID) error {
	gone, err := control.markGone(id)
	if err != nil {
		return err
	}
	return control.shareDeparture(ctx, gone)
}

// markGone marks an upstream as gone and returns its state.
func (control *Control) markGone(id core.UpstreamID) (core.Instance, error) {
	control.lock.Lock()
	defer control.lock.Unlock()
	instance, ok := control.known.Get(id)
	if !ok {
		return core.Instance{}, ErrUnknownUpstream
	}
	if instance.Gone {
		return instance, nil
	}
	instance.Gone, instance.Leaving = true, true
	control.options.Logger.Info("An upstream deregistered.", "upstream", id, "service", instance.Service, "address", instance.Address)
	control.publish(clock.Now(), instance)
	return instance, nil
}

// shareDeparture tells the other control VMs that an upstream leaves, and returns once a
// majority of all control VMs knows it. An upstream that got its answer says so only once,
// and this VM may end or be cut off right after the answer. It returns ErrNotShared if no
// majority answers in time.
func (control *Control) shareDeparture(ctx context.Context, instance core.Instance) error {
	leaving := departure{born: instance.Born, gone: instance.Gone}
	if control.isShared(instance.Upstream, leaving) {
		return nil
	}
	vms := control.peers.IDs()
	needed := len(vms) / 2 // beside this VM
	confirmed, err := control.sendDeparture(ctx, vms, instance, needed)
	if confirmed < needed {
		control.options.Logger.Warn("A departure is not known to a majority.", "upstream", instance.Upstream, "confirmed", confirmed, "needed", needed, "error", err)
		return errors.Join(ErrNotShared, err)
	}
	control.setShared(instance.Upstream, leaving)
	return nil
}

// sendDeparture tells the given control VMs, other than this one, that an upstream leaves. It
// returns once enough of them have confirmed it or all have answered, with the number of
// confirmations and the last error. Calls that have not ended go on, so that a slow control VM
// hears of it too.
func (control *Control) sendDeparture(ctx context.Context, vms []core.VMID, instance core.Instance, enough int) (int, error) {
	request := &wire.Request{Body: &wire.Request_Departure{Departure: &wire.Departure{Instance: peer.InstanceMessage(instance)}}}
	answers := make(chan error, len(vms))
	calls := 0
	for _, vm := range vms {
		if vm == control.options.VM {
			continue
		}
		calls++
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), departureTimeout)
			defer cancel()
			response, err := control.options.Calls.Call(callCtx, vm, request)
			if err == nil && response.GetDepartureResult() == nil {
				err = errors.Errorf("%s does not confirm the departure", vm)
			}
			answers <- err
		}()
	}
	confirmed := 0
	var failure error
	for answered := 0; answered < calls && confirmed < enough; answered++ {
		if err := <-answers; err != nil {
			failure = err
			continue
		}
		confirmed++
	}
	return confirmed, failure
}

func (control *Control) isShared(id core.UpstreamID, leaving departure) bool {
	control.lock.Lock()
	defer control.lock.Unlock()
	known, ok := control.shared[id]
	return ok && known.covers(leaving)
}

// setShared records that a majority knows a departure. It forgets those of upstreams that are
// no longer known.
func (control *Control) setShared(id core.UpstreamID, leaving departure) {
	control.lock.Lock()
	defer control.lock.Unlock()
	for other := range control.shared {
		if _, ok := control.known.Get(other); !ok {
			delete(control.shared, other)
		}
	}
	control.shared[id] = leaving
}

// applyDeparture applies the departure of an upstream that another control VM reports, and
// publishes it, since that VM may have ended before its subscribers heard of it. It returns an
// error if the state of the upstream is invalid.
func (control *Control) applyDeparture(message *wire.Departure) error {
	instance := peer.InstanceFromMessage(message.GetInstance())
	if faults := instance.Check(); len(faults) > 0 {
		return errors.Wrap(faults[0], "check departure")
	}
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	control.merge(now, instance)
	if known, ok := control.known.Get(instance.Upstream); ok && known.Born == instance.Born {
		control.hub.publishInstance(known)
	}
	return nil
}
