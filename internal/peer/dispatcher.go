package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// Dispatcher runs calls on another VM that owns their group.
type Dispatcher struct {
	client *Client
	vm     core.VMID
}

// Dispatcher returns a dispatcher that forwards calls to a VM.
func (client *Client) Dispatcher(vm core.VMID) *Dispatcher {
	return &Dispatcher{client: client, vm: vm}
}

// Serve forwards a call, passes the chunks of its answer to send and returns its end. If
// the link is lost after the call was forwarded, the outcome is unknown. For a call that
// may not be repeated, the owner is then asked on a new link whether it sent the call to
// an upstream.
func (dispatcher *Dispatcher) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	var end *core.End
	var sendErr error
	request := &wire.Request{Body: &wire.Request_Forward{Forward: ForwardMessage(call)}}
	err := dispatcher.client.Stream(ctx, dispatcher.vm, request, func(response *wire.Response) bool {
		if chunk := response.GetChunk(); chunk != nil {
			sendErr = send(ChunkFromMessage(chunk))
			return sendErr == nil
		}
		if message := response.GetEnd(); message != nil {
			received := EndFromMessage(message)
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
		return dispatcher.endAfterLinkLoss(ctx, call, err)
	}
}

// endAfterLinkLoss returns the end of a call whose link broke. The outcome is NotRun if
// the call provably did not reach an upstream, and Unknown otherwise.
func (dispatcher *Dispatcher) endAfterLinkLoss(ctx context.Context, call core.Call, err error) core.End {
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
		return end // the entry VM resends it immediately, so the owner's answer does not matter
	}
	if unreachable != nil && dispatcher.confirmNotSent(ctx, call.Attempt, unreachable.Incarnation) {
		end.Outcome, end.Code = core.NotRun, core.CodeNoUpstream
	}
	return end
}

// confirmNotSent asks the owner on a new link whether it sent the attempt to an upstream,
// and reports whether the owner confirmed that it did not. The owner also withdraws
// the attempt, so that it cannot be sent later.
func (dispatcher *Dispatcher) confirmNotSent(ctx context.Context, attempt core.AttemptID, incarnation core.Incarnation) bool {
	dispatcher.client.CloseLink(dispatcher.vm)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer cancel()
	query := &wire.AttemptQuery{Attempt: string(attempt), Incarnation: string(incarnation)}
	request := &wire.Request{Body: &wire.Request_AttemptQuery{AttemptQuery: query}}
	response, err := dispatcher.client.Call(ctx, dispatcher.vm, request)
	state := response.GetAttemptState()
	return err == nil && state.GetBarred() && !state.GetSent()
}
