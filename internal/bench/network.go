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

// Network connects hosts in one process. Messages go through their encoding for
// the network.
type Network struct {
	config host.Config
	folder string
	lock   sync.RWMutex // a leaf: nothing else is locked while it is held
	hosts  map[core.VMID]*host.Host
	stops  map[core.VMID]func() error
}

// NewNetwork returns a network without hosts. Each host keeps its files in a
// folder of its own.
func NewNetwork(config host.Config, folder string) *Network {
	return &Network{config: config, folder: folder, hosts: make(map[core.VMID]*host.Host), stops: make(map[core.VMID]func() error)}
}

// endpoint is one VM's access to the network.
type endpoint struct {
	network *Network
}

// Send hands messages to the replicas of another VM.
func (end endpoint) Send(to core.VMID, messages []raft.Message) {
	target, ok := end.network.Host(to)
	if !ok {
		return
	}
	for _, request := range host.ToWire(messages) {
		target.Handle(context.Background(), &wire.Request{Body: &wire.Request_Replicate{Replicate: request}})
	}
}

// Call asks another VM.
func (end endpoint) Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error) {
	target, ok := end.network.Host(to)
	if !ok {
		return nil, errors.Wrapf(host.ErrNotSent, "%s is down", to)
	}
	response, handled := target.Handle(ctx, request)
	if !handled {
		return nil, errors.New("the host does not handle the request")
	}
	return response, nil
}

// Host returns the host of a VM, and false if it is down.
func (network *Network) Host(vm core.VMID) (*host.Host, bool) {
	network.lock.RLock()
	defer network.lock.RUnlock()
	found, ok := network.hosts[vm]
	return found, ok
}

// Start opens the host of a VM.
func (network *Network) Start(vm core.VMID) error {
	config := network.config
	config.VM = vm
	config.Directory = filepath.Join(network.folder, string(vm))
	end := endpoint{network}
	started, stop, err := host.New(config, end, end)
	if err != nil {
		return errors.Wrapf(err, "start %s", vm)
	}
	network.lock.Lock()
	defer network.lock.Unlock()
	network.hosts[vm], network.stops[vm] = started, stop
	return nil
}

// Stop closes the host of a VM. It does nothing if it is down.
func (network *Network) Stop(vm core.VMID) error {
	network.lock.Lock()
	stop := network.stops[vm]
	delete(network.hosts, vm)
	delete(network.stops, vm)
	network.lock.Unlock()
	if stop == nil {
		return nil
	}
	return stop()
}

// Client returns a client on a VM without a disk.
func (network *Network) Client() *host.Client {
	config := network.config
	config.VM = "client"
	return host.NewClient(config, nil, endpoint{network})
}
