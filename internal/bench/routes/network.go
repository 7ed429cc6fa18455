package routes

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionring/dandelionring/internal/control"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// network connects the VMs of a measurement.
type network struct {
	lock     sync.RWMutex // no other lock is acquired while it is held
	controls map[core.VMID]*control.Control
	// cut holds the control VMs that no message reaches or leaves.
	cut map[core.VMID]bool
	// failedFetches counts the fetches of the route table that got no answer, and replicated the
	// bytes of the messages of the replicated log.
	failedFetches, replicated atomic.Int64
}

var errCut = errors.New("the VM is not reachable")

// reach returns a control VM, or nil if a message does not pass between it and the other VM.
func (network *network) reach(from, to core.VMID) *control.Control {
	network.lock.RLock()
	defer network.lock.RUnlock()
	if network.cut[from] || network.cut[to] {
		return nil
	}
	return network.controls[to]
}

func (network *network) setControl(vm core.VMID, node *control.Control) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.controls[vm] = node
}

func (network *network) setCut(vm core.VMID) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.cut[vm] = true
}

// endpoint is the connection of a VM to the network.
type endpoint struct {
	network *network
	vm      core.VMID
	// bytes counts what the VM has received.
	bytes *atomic.Int64
}

// Call sends a request and returns its first response.
func (end endpoint) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	var answer *wire.Response
	err := end.Stream(ctx, vm, request, func(response *wire.Response) bool {
		answer = response
		return false
	})
	if err != nil {
		if request.GetRoutesFetch() != nil {
			end.network.failedFetches.Add(1)
		}
		return nil, err
	}
	if failure := answer.GetFailure(); failure != nil {
		return nil, errors.New(failure.GetMessage())
	}
	return answer, nil
}

// Stream sends a request and passes each response to receive until that returns false.
func (end endpoint) Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error {
	node := end.network.reach(end.vm, vm)
	if node == nil {
		<-ctx.Done()
		return errors.Wrap(context.Cause(ctx), errCut.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ended error
	done := false
	node.Handle(ctx, end.vm, request, func(response *wire.Response) error {
		data, err := proto.Marshal(response)
		if err != nil {
			return errors.Wrap(err, "encode response")
		}
		if end.network.reach(end.vm, vm) == nil {
			ended = errCut
			return errCut
		}
		end.bytes.Add(int64(len(data)))
		var received wire.Response
		if err := proto.Unmarshal(data, &received); err != nil {
			return errors.Wrap(err, "decode response")
		}
		if !receive(&received) {
			done = true
			return errors.New("the receiver has ended the stream")
		}
		return nil
	})
	if done {
		return nil
	}
	if ended != nil {
		return ended
	}
	return errors.Wrap(context.Cause(ctx), "wait for a response")
}

// transport carries the messages of the replicated log, in order for each peer.
type transport struct {
	endpoint
	lock   sync.Mutex // no other lock is acquired while it is held
	queues map[core.VMID]chan []raft.Message
	ctx    context.Context
}

// Send queues messages for a peer. It drops them if the queue is full.
func (transport *transport) Send(to core.VMID, messages []raft.Message) {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	queue := transport.queues[to]
	if queue == nil {
		queue = make(chan []raft.Message, 256)
		transport.queues[to] = queue
		go transport.deliver(to, queue)
	}
	select {
	case queue <- messages:
	default:
	}
}

func (transport *transport) deliver(to core.VMID, queue chan []raft.Message) {
	for {
		select {
		case <-transport.ctx.Done():
			return
		case messages := <-queue:
			for _, part := range host.MessagesToWire(messages) {
				transport.network.replicated.Add(int64(proto.Size(part)))
				// The replicated log sends lost messages again.
				_, _ = transport.Call(transport.ctx, to, &wire.Request{Body: &wire.Request_Replicate{Replicate: part}})
			}
		}
	}
}
