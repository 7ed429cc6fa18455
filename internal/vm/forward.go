package vm

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// dispatchers finds the dispatcher of a group's owner: the local table for this VM and
// a peer link for any other.
type dispatchers struct {
	self   core.VMID
	owner  *dispatch.Owner
	client *peer.Client
}

// Dispatcher returns the dispatcher of a VM.
func (dispatchers dispatchers) Dispatcher(vm core.VMID) entry.Dispatcher {
	if vm == dispatchers.self {
		return dispatchers.owner
	}
	return dispatchers.client.Dispatcher(vm)
}

// forwarding serves the calls that other entry VMs forward to this owner.
type forwarding struct {
	owner       *dispatch.Owner
	incarnation core.Incarnation
	inFlight    inFlight
}

func (forwarding *forwarding) forward(ctx context.Context, message *wire.Forward, send func(*wire.Response) error) {
	forwarding.inFlight.enter()
	defer forwarding.inFlight.leave()
	end := forwarding.owner.Serve(ctx, peer.CallOf(message), func(chunk core.Chunk) error {
		return send(&wire.Response{Body: &wire.Response_Chunk{Chunk: peer.ChunkMessage(chunk)}})
	})
	_ = send(&wire.Response{Body: &wire.Response_End{End: peer.EndMessage(end)}})
}

// query bars an attempt that was not sent. It vouches only for attempts that were
// forwarded to this run of the VM.
func (forwarding *forwarding) query(message *wire.AttemptQuery) *wire.AttemptState {
	state := &wire.AttemptState{Attempt: message.Attempt}
	if message.Incarnation != string(forwarding.incarnation) {
		return state
	}
	state.Known = true
	state.Sent = forwarding.owner.Bar(core.AttemptID(message.Attempt))
	state.Barred = !state.Sent
	return state
}

// announceTimeout bounds the way of an announcement to the owner of its group. The
// upstream announces itself again after a second.
const announceTimeout = 800 * time.Millisecond
