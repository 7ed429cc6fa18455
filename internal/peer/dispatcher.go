package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Dispatcher runs calls at the owner of a group on another VM.
type Dispatcher struct {
	client *Client
	vm     core.VMID
}

// Dispatcher returns the dispatcher of a VM.
func (client *Client) Dispatcher(vm core.VMID) *Dispatcher {
	return &Dispatcher{client: client, vm: vm}
}

// Serve forwards a call and passes its answer to send. If the link is lost after the
// call was sent, the outcome is unknown; for a call that may not be repeated, the owner
// is asked on a fresh link whether it sent the call on.
func (dispatcher *Dispatcher) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	var end *core.End
	var sendErr error
	request := &wire.Request{Body: &wire.Request_Forward{Forward: ForwardMessage(call)}}
	err := dispatcher.client.Stream(ctx, dispatcher.vm, request, func(response *wire.Response) bool {
		if chunk := response.GetChunk(); chunk != nil {
			sendErr = send(ChunkOf(chunk))
			return sendErr == nil
		}
		if message := response.GetEnd(); message != nil {
			received := EndOf(message)
			end = &received
		}
		return false
	})
	switch {
	case sendErr != nil:
		return core.End{Attempt: call.Attempt, Outcome: core.Ran, Code: core.CodeStreamBroken, Message: sendErr.Error()}
	case end != nil:
		return *end
	default:
		return dispatcher.lost(ctx, call, err)
	}
}

// lost finds out what is known about a call whose forwarding link broke.
func (dispatcher *Dispatcher) lost(ctx context.Context, call core.Call, err error) core.End {
	end := core.End{Attempt: call.Attempt, Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Message: "the owner of the group was lost"}
	if err != nil {
		end.Message = err.Error()
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && !unreachable.Sent {
		end.Outcome, end.Code = core.NotRun, core.CodeNoUpstream
		return end
	}
	if call.Repeatable {
		return end // it is sent again at once, whatever the owner did with it
	}
	if unreachable != nil && dispatcher.neverSent(ctx, call.Attempt, unreachable.Incarnation) {
		end.Outcome, end.Code = core.NotRun, core.CodeNoUpstream
	}
	return end
}

// neverSent asks the owner on a fresh link whether the attempt was sent to an upstream.
// The owner bars the attempt with its answer, so that it cannot be sent later.
func (dispatcher *Dispatcher) neverSent(ctx context.Context, attempt core.AttemptID, incarnation core.Incarnation) bool {
	dispatcher.client.Drop(dispatcher.vm)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer cancel()
	query := &wire.AttemptQuery{Attempt: string(attempt), Incarnation: string(incarnation)}
	request := &wire.Request{Body: &wire.Request_AttemptQuery{AttemptQuery: query}}
	response, err := dispatcher.client.Call(ctx, dispatcher.vm, request)
	state := response.GetAttemptState()
	return err == nil && state.GetBarred() && !state.GetSent()
}
