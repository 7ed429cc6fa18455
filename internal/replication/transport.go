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
	// queueLength limits the message groups that wait for one peer. A full queue drops
	// messages, and the replicated log sends lost messages again.
	queueLength = 256
	// replicateTimeout limits the call that delivers one batch of messages.
	replicateTimeout = time.Second
)

// Transport sends messages of the replicated logs to other VMs. One goroutine for each
// peer preserves their order and combines all queued messages. It is started by the first
// message to the peer.
type Transport struct {
	client  *peer.Client
	ctx     context.Context
	running sync.WaitGroup

	mutex  sync.Mutex // no other lock is acquired while it is held
	queues map[core.VMID]chan []raft.Message
}

// NewTransport returns a transport and a function that stops it and waits for its
// goroutines.
func NewTransport(client *peer.Client) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &Transport{client: client, ctx: ctx, queues: make(map[core.VMID]chan []raft.Message)}
	return transport, func() {
		cancel()
		transport.running.Wait()
	}
}

// Send queues messages for a peer without blocking. It drops them if the queue is full.
func (transport *Transport) Send(to core.VMID, messages []raft.Message) {
	select {
	case transport.queue(to) <- messages:
	default:
	}
}

func (transport *Transport) queue(vm core.VMID) chan []raft.Message {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	queue := transport.queues[vm]
	if queue == nil {
		queue = make(chan []raft.Message, queueLength)
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
			transport.deliver(ctx, vm, collectQueued(queue, messages))
		}
	}
}

func collectQueued(queue chan []raft.Message, messages []raft.Message) []raft.Message {
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
	for _, batch := range host.MessagesToWire(messages) {
		ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
		_, err := transport.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_Replicate{Replicate: batch}})
		cancel()
		if err != nil {
			return // the replicated log sends the remaining messages again
		}
	}
}

// Caller sends requests of the replicated state to other VMs. It marks the error of a
// request that was not sent.
type Caller struct {
	Client *peer.Client
}

// Call sends a request to another VM and returns its response. The error wraps
// host.ErrNotSent if it is certain that no byte of the request left this VM.
func (caller Caller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	response, err := caller.Client.Call(ctx, vm, request)
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.Sent {
		return nil, errors.Join(host.ErrNotSent, err)
	}
	return response, err
}
