package replication

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

// Transport carries messages of the replicated logs. One goroutine for each peer keeps
// their order, and takes everything that waits into one batch. A peer gets its goroutine
// with the first message to it.
type Transport struct {
	client  *peer.Client
	ctx     context.Context
	running sync.WaitGroup

	lock   sync.Mutex // a leaf: nothing else is locked while it is held
	queues map[core.VMID]chan []raft.Message
}

// NewTransport returns a transport and a function that stops it.
func NewTransport(client *peer.Client) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	result := &Transport{client: client, ctx: ctx, queues: make(map[core.VMID]chan []raft.Message)}
	return result, func() {
		cancel()
		result.running.Wait()
	}
}

// Send hands messages to the goroutine of a peer and drops them if its queue is full.
func (transport *Transport) Send(to core.VMID, messages []raft.Message) {
	select {
	case transport.queue(to) <- messages:
	default:
	}
}

func (transport *Transport) queue(vm core.VMID) chan []raft.Message {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	queue := transport.queues[vm]
	if queue == nil {
		queue = make(chan []raft.Message, replicaQueue)
		transport.queues[vm] = queue
		if transport.ctx.Err() == nil {
			transport.running.Go(func() { transport.run(transport.ctx, vm, queue) })
		}
	}
	return queue
}

func (transport *Transport) run(ctx context.Context, vm core.VMID, queue chan []raft.Message) {
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

func (transport *Transport) deliver(ctx context.Context, vm core.VMID, messages []raft.Message) {
	for _, batch := range host.ToWire(messages) {
		ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
		_, err := transport.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_Replicate{Replicate: batch}})
		cancel()
		if err != nil {
			return // the rest is sent again
		}
	}
}

// Caller asks other VMs on behalf of the replicated state. It marks requests that did
// not leave this VM.
type Caller struct {
	Client *peer.Client
}

// Call asks another VM and returns its answer.
func (caller Caller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	response, err := caller.Client.Call(ctx, vm, request)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.Sent {
		return nil, errors.Join(host.ErrNotSent, err)
	}
	return response, err
}
