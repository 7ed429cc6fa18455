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

// dispatchers returns the dispatcher of a group's owner: the local dispatch table for
// this VM, and a peer client for any other VM.
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

// forwardServer runs the calls that other entry VMs forward to this VM as the group's owner.
type forwardServer struct {
	owner       *dispatch.Owner
	incarnation core.Incarnation
	inFlight    inFlight
}

func (server *forwardServer) serve(ctx context.Context, message *wire.Forward, send func(*wire.Response) error) {
	server.inFlight.begin()
	defer server.inFlight.end()
	end := server.owner.Serve(ctx, peer.CallFromMessage(message), func(chunk core.Chunk) error {
		return send(&wire.Response{Body: &wire.Response_Chunk{Chunk: peer.ChunkMessage(chunk)}})
	})
	_ = send(&wire.Response{Body: &wire.Response_End{End: peer.EndMessage(end)}})
}

// withdrawAttempt prevents an attempt from being sent to an upstream and reports whether it
// was sent already. The state is unknown for an attempt that was forwarded to an earlier
// run of this VM.
func (server *forwardServer) withdrawAttempt(message *wire.AttemptQuery) *wire.AttemptState {
	state := &wire.AttemptState{Attempt: message.Attempt}
	if message.Incarnation != string(server.incarnation) {
		return state
	}
	state.Known = true
	state.Sent = server.owner.Withdraw(core.AttemptID(message.Attempt))
	state.Barred = !state.Sent
	return state
}

// announceTimeout limits the call that passes an announcement to the owner of its group.
// It is shorter than the second after which the upstream announces itself again.
const announceTimeout = 800 * time.Millisecond
