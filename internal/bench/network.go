package bench

import (
	"context"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// Network connects hosts within one process. Messages between replicas are converted
// to their wire types as on a real network. It is safe for concurrent use.
type Network struct {
	config    host.Config
	directory string
	lock      sync.RWMutex // protects the maps; no other lock is acquired while it is held
	hosts     map[core.VMID]*host.Host
	stopFuncs map[core.VMID]func() error
}

// NewNetwork returns a network without hosts. Each host stores its files in a
// subdirectory of directory that is named after its VM.
func NewNetwork(config host.Config, directory string) *Network {
	return &Network{config: config, directory: directory, hosts: make(map[core.VMID]*host.Host), stopFuncs: make(map[core.VMID]func() error)}
}

// endpoint sends messages and requests over a Network.
type endpoint struct {
	network *Network
}

// Send delivers messages to the replicas of another VM. Messages to a VM that is down
// are dropped.
func (node endpoint) Send(to core.VMID, messages []raft.Message) {
	target, ok := node.network.Host(to)
	if !ok {
		return
	}
	for _, request := range host.MessagesToWire(messages) {
		target.Handle(context.Background(), &wire.Request{Body: &wire.Request_Replicate{Replicate: request}})
	}
}

// Call sends a request to another VM and returns its response. The error wraps
// host.ErrNotSent if the VM is down.
func (node endpoint) Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error) {
	target, ok := node.network.Host(to)
	if !ok {
		return nil, errors.Wrapf(host.ErrNotSent, "%s is down", to)
	}
	response, handled := target.Handle(ctx, request)
	if !handled {
		return nil, errors.New("the host does not handle the request")
	}
	return response, nil
}

// Host returns the running host of a VM, or false if the VM is down.
func (network *Network) Host(vm core.VMID) (*host.Host, bool) {
	network.lock.RLock()
	defer network.lock.RUnlock()
	found, ok := network.hosts[vm]
	return found, ok
}

// Start opens the host of a VM and connects it to the network. It returns the error of
// host.New if the host does not open.
func (network *Network) Start(vm core.VMID) error {
	config := network.config
	config.VM = vm
	config.Directory = filepath.Join(network.directory, string(vm))
	node := endpoint{network}
	started, stop, err := host.New(config, node, node)
	if err != nil {
		return errors.Wrapf(err, "start %s", vm)
	}
	network.lock.Lock()
	defer network.lock.Unlock()
	network.hosts[vm], network.stopFuncs[vm] = started, stop
	return nil
}

// Stop disconnects and closes the host of a VM and returns the error from closing it.
// It returns nil if the VM is down.
func (network *Network) Stop(vm core.VMID) error {
	network.lock.Lock()
	stop := network.stopFuncs[vm]
	delete(network.hosts, vm)
	delete(network.stopFuncs, vm)
	network.lock.Unlock()
	if stop == nil {
		return nil
	}
	return stop()
}

// Client returns a client that runs on a VM without a disk, and so without a host.
func (network *Network) Client() *host.Client {
	config := network.config
	config.VM = "client"
	return host.NewClient(config, nil, endpoint{network})
}
