package host

import (
	"context"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// transport sends messages between replicas. Send must not block; messages may be
// lost, repeated or reordered.
type transport interface {
	Send(to core.VMID, messages []raft.Message)
}

// caller sends a request to another VM and waits for its response. An error wraps
// ErrNotSent only if the request certainly did not reach the other VM.
type caller interface {
	Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error)
}
