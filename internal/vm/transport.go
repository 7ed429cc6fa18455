package vm

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// replicaQueue bounds the messages that wait for one peer. Lost messages are sent
	// again by the replicated log.
	replicaQueue = 256
	// replicateTimeout bounds the way of one batch of messages.
	replicateTimeout = time.Second
)

// transport carries messages of the replicated logs. One goroutine for each peer keeps
// their order, and takes everything that waits into one batch.
type transport struct {
	client *peer.Client
	queues map[core.VMID]chan []raft.Message
}

// newTransport returns a transport to the given VMs and a function that stops it.
func newTransport(client *peer.Client, vms []core.VMID) (*transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	result := &transport{client: client, queues: make(map[core.VMID]chan []raft.Message)}
	var running sync.WaitGroup
	for _, vm := range vms {
		queue := make(chan []raft.Message, replicaQueue)
		result.queues[vm] = queue
		running.Go(func() { result.run(ctx, vm, queue) })
	}
	return result, func() {
		cancel()
		running.Wait()
	}
}

// Send hands messages to the goroutine of a peer and drops them if its queue is full.
func (transport *transport) Send(to core.VMID, messages []raft.Message) {
	select {
	case transport.queues[to] <- messages:
	default:
	}
}

func (transport *transport) run(ctx context.Context, vm core.VMID, queue chan []raft.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-queue:
			transport.deliver(ctx, vm, drainQueue(queue, messages))
		}
	}
}

func drainQueue(queue chan []raft.Message, messages []raft.Message) []raft.Message {
	for {
		select {
		case more := <-queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
}

func (transport *transport) deliver(ctx context.Context, vm core.VMID, messages []raft.Message) {
	for _, batch := range host.ToWire(messages) {
		ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
		_, err := transport.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_Replicate{Replicate: batch}})
		cancel()
		if err != nil {
			return // the rest is sent again
		}
	}
}

// shardCaller asks other VMs on behalf of the replicated state. It marks requests that
// did not leave this VM.
type shardCaller struct {
	client *peer.Client
}

// Call asks another VM and returns its answer.
func (caller shardCaller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	response, err := caller.client.Call(ctx, vm, request)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.Sent {
		return nil, errors.Join(host.ErrNotSent, err)
	}
	return response, err
}
