package routes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/control"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// startTimeout bounds the wait for a leader, and for a table in force everywhere.
const startTimeout = 30 * time.Second

// controlGroup is a group of control VMs.
type controlGroup struct {
	network *network
	vms     []core.VMID
	hosts   map[core.VMID]*host.Host
	// received counts the bytes of the responses that each control VM has got from others.
	received map[core.VMID]*atomic.Int64
	cancel   func()
	running  sync.WaitGroup
	folder   string
	closers  []func()
}

// startControls starts control VMs, each in a zone of its own, and waits for a leader. The function
// that it returns stops them and removes their files.
func startControls(count int) (*controlGroup, func(), error) {
	folder, err := os.MkdirTemp("", "dandelionring-routes-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create folder")
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := &controlGroup{
		network: &network{controls: make(map[core.VMID]*control.Control), cut: make(map[core.VMID]bool)},
		hosts:   make(map[core.VMID]*host.Host), received: make(map[core.VMID]*atomic.Int64), cancel: cancel, folder: folder,
	}
	for i := range count {
		group.vms = append(group.vms, core.VMID(fmt.Sprintf("control-%d", i)))
	}
	for _, vm := range group.vms {
		if err := group.start(ctx, vm); err != nil {
			group.stop()
			return nil, nil, err
		}
	}
	if !await(startTimeout, func() bool { return group.leader() != "" }) {
		group.stop()
		return nil, nil, errors.New("no control VM leads")
	}
	return group, group.stop, nil
}

func (group *controlGroup) start(ctx context.Context, vm core.VMID) error {
	end := endpoint{network: group.network, vm: vm, bytes: &atomic.Int64{}}
	group.received[vm] = end.bytes
	zone := core.ZoneID("zone-" + vm)
	peers := control.NewPeers(control.Peer{VM: vm, Zone: zone})
	config := host.Config{
		VM: vm, DiskVMs: group.vms, Discover: peers.IDs, Zone: peers.Zone, Voters: len(group.vms), NoClaims: true, Refuse: peers.RefuseCommand,
		Directory: filepath.Join(group.folder, string(vm)),
	}
	replicas, closeReplicas, err := host.New(config, &transport{endpoint: end, queues: make(map[core.VMID]chan []raft.Message), ctx: ctx}, end)
	if err != nil {
		return errors.Wrap(err, "open replicated state")
	}
	jobs, closeJobs := pool.New(1, 0)
	node := control.New(control.Options{
		VM: vm, Zone: zone, Zones: len(group.vms), FirstStart: true, AnnounceInterval: time.Second,
		Host: replicas, Commands: host.NewClient(config, replicas, end), Calls: end, Jobs: jobs, Logger: log.New(io.Discard),
	}, peers)
	peers.AddSeeds(group.vms)
	group.hosts[vm] = replicas
	group.network.setControl(vm, node)
	group.running.Go(func() { node.Run(ctx) })
	group.closers = append(group.closers, func() {
		closeJobs()
		_ = closeReplicas() // the folder is removed
	})
	return nil
}

func (group *controlGroup) stop() {
	group.cancel()
	group.running.Wait()
	for _, closer := range group.closers {
		closer()
	}
	os.RemoveAll(group.folder)
}

// leader returns the control VM that leads and is not cut off, empty if there is none.
func (group *controlGroup) leader() core.VMID {
	for _, vm := range group.vms {
		replica, _ := group.hosts[vm].Replica(0)
		if _, leads := replica.IsLeader(); leads && group.network.reach(vm, vm) != nil {
			return vm
		}
	}
	return ""
}

// term returns the highest term of the control VMs.
func (group *controlGroup) term() raft.Term {
	var term raft.Term
	for _, vm := range group.vms {
		replica, _ := group.hosts[vm].Replica(0)
		term = max(term, replica.Status().Term)
	}
	return term
}

// follower is an entry VM, or only its watches of the control VMs.
type follower struct {
	vm    core.VMID
	bytes atomic.Int64
	table *fleet.Table
	lock  sync.Mutex // no other lock is acquired while it is held
	// inForce holds the numbers that came into force, and when.
	inForce []appearance
}

// appearance is the time at which a number was acknowledged or came into force.
type appearance struct {
	number core.ConfigNumber
	at     time.Time
}

// follow starts entry VMs. The function that it returns stops them.
func (group *controlGroup) follow(count int) ([]*follower, func()) {
	followers := make([]*follower, 0, count)
	var closers []func()
	for i := range count {
		next := &follower{vm: core.VMID(fmt.Sprintf("entry-%d", i)), table: fleet.NewTable(core.ZoneID("zone-" + group.vms[i%len(group.vms)]))}
		_, stop := fleet.Follow(fleet.Options{
			VM: next.vm, Zone: core.ZoneID("zone-" + group.vms[i%len(group.vms)]), Seeds: group.vms, Table: next.table,
			Calls: endpoint{group.network, next.vm, &next.bytes}, Changed: next.note, Logger: log.New(io.Discard),
		})
		followers, closers = append(followers, next), append(closers, stop)
	}
	return followers, func() {
		for _, closer := range closers {
			closer()
		}
	}
}

// watch starts watches that apply nothing, so that only the control VMs work. The function that it
// returns ends them.
func (group *controlGroup) watch(count int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range count {
		vm := core.VMID(fmt.Sprintf("watch-%d", i))
		for _, controlVM := range group.vms {
			request := &wire.Request{Body: &wire.Request_Watch{Watch: &wire.Watch{Vm: string(vm), Zone: "zone-" + string(group.vms[i%len(group.vms)]), RouteChanges: true}}}
			running.Go(func() {
				_ = endpoint{group.network, vm, &atomic.Int64{}}.Stream(ctx, controlVM, request, func(*wire.Response) bool { return true })
			})
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (follower *follower) note(routes core.RouteTable) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	follower.inForce = append(follower.inForce, appearance{routes.Number, time.Now()})
}

// delay returns the time from the acknowledgement of a number to its table, or a later one, in
// force, and false if it is not in force.
func (follower *follower) delay(acknowledged appearance) (time.Duration, bool) {
	follower.lock.Lock()
	defer follower.lock.Unlock()
	for _, held := range follower.inForce {
		if held.number >= acknowledged.number {
			return max(0, held.at.Sub(acknowledged.at)), true
		}
	}
	return 0, false
}

// makePut returns a table whose first route differs from that of another number.
func makePut(number core.ConfigNumber, routes int) (ledger.PutRoutes, error) {
	table := core.RouteTable{Number: number, Services: []core.ServiceSpec{{Service: "service", MaxConns: 100}}}
	for i := range routes {
		attempts := 1
		if i == 0 {
			attempts = int(number)
		}
		table.Routes = append(table.Routes, core.Route{
			Name: core.RouteName(fmt.Sprintf("route-%d", i)), Host: fmt.Sprintf("host-%d.example", i%100), Prefix: fmt.Sprintf("/area-%d/path-%d/", i%7, i),
			Kind: core.Idempotent, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, MaxAttempts: attempts,
			Targets: []core.RouteTarget{{Service: "service", Weight: 1}},
		})
	}
	document, err := json.Marshal(table)
	if err != nil {
		return ledger.PutRoutes{}, errors.Wrap(err, "encode document")
	}
	return ledger.PutRoutes{Table: table, Document: document}, nil
}

// await returns true once the condition holds, and false if it does not within the limit.
func await(limit time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(limit); !condition(); <-ticker.C {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
