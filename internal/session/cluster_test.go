package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

var _ replica = (*host.Replica)(nil)

var errUnreachable = errors.New("unreachable")

// cluster is a set of sessions over one replicated state. A shared state with a leader
// that the test chooses replaces the replicated log.
type cluster struct {
	t *testing.T

	lock        sync.Mutex // leaf lock: no other lock is taken while it is held
	state       *ledger.State
	index       uint64
	term        raft.Term
	leader      core.VMID
	cut         map[[2]core.VMID]bool
	subscribers []chan struct{}
	sessions    map[core.VMID]*Session
	stops       map[core.VMID]func()
	zones       map[core.VMID]core.ZoneID
	diskVMs     []core.VMID
	starts      int
	// dropPushes drops every push.
	dropPushes bool
	// workersBlocked makes the worker pool run no job.
	workersBlocked bool
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, state: ledger.New(ledger.Limits{}), cut: make(map[[2]core.VMID]bool),
		sessions: make(map[core.VMID]*Session), stops: make(map[core.VMID]func()), zones: make(map[core.VMID]core.ZoneID),
	}
}

// sharedReplica is one VM's view of the shared state.
type sharedReplica struct {
	cluster *cluster
	vm      core.VMID
}

func (replica sharedReplica) IsLeader() (raft.Term, bool) {
	replica.cluster.lock.Lock()
	defer replica.cluster.lock.Unlock()
	return replica.cluster.term, replica.cluster.leader == replica.vm
}

func (replica sharedReplica) Leader() core.VMID {
	replica.cluster.lock.Lock()
	defer replica.cluster.lock.Unlock()
	return replica.cluster.leader
}

// Confirm succeeds if this VM leads and reaches a majority of the VMs with a disk.
func (replica sharedReplica) Confirm(context.Context) error {
	replica.cluster.lock.Lock()
	defer replica.cluster.lock.Unlock()
	reached := 0
	for _, disk := range replica.cluster.diskVMs {
		if !replica.cluster.cut[[2]core.VMID{replica.vm, disk}] {
			reached++
		}
	}
	if replica.cluster.leader != replica.vm || 2*reached <= len(replica.cluster.diskVMs) {
		return errUnreachable
	}
	return nil
}

func (replica sharedReplica) View(read func(*ledger.State)) {
	replica.cluster.lock.Lock()
	defer replica.cluster.lock.Unlock()
	read(replica.cluster.state)
}

func (replica sharedReplica) Subscribe() (<-chan struct{}, func()) {
	replica.cluster.lock.Lock()
	defer replica.cluster.lock.Unlock()
	channel := make(chan struct{}, 1)
	replica.cluster.subscribers = append(replica.cluster.subscribers, channel)
	return channel, func() {}
}

func (replica sharedReplica) AssignIn(_ context.Context, term raft.Term, assign ledger.Assign) (ledger.AssignResult, error) {
	if now, leads := replica.IsLeader(); !leads || now != term {
		return ledger.AssignResult{}, errUnreachable
	}
	return *replica.cluster.apply(ledger.Command{Assign: &assign}).Assign, nil
}

// Crash implements crashReporter.
func (cluster *cluster) Crash(_ context.Context, report ledger.CrashReport) (ledger.CrashResult, error) {
	return *cluster.apply(ledger.Command{Crash: &report}).Crash, nil
}

func (cluster *cluster) apply(command ledger.Command) ledger.Result {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.index++
	command.At = time.Now().UnixMilli()
	result := cluster.state.Apply(cluster.index, command)
	for _, channel := range cluster.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return result
}

// link is the connection of one VM to the others.
type link struct {
	cluster *cluster
	from    core.VMID
}

func (link link) Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error) {
	if !link.cluster.canSend(link.from, to, request) {
		return nil, errUnreachable
	}
	sleep(ctx, 2*time.Millisecond)
	target := link.cluster.session(to)
	if target == nil {
		return nil, errUnreachable
	}
	response, _ := target.Handle(ctx, request)
	if !link.cluster.canSend(to, link.from, nil) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return response, nil
}

func (cluster *cluster) canSend(from, to core.VMID, request *wire.Request) bool {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	if request.GetPush() != nil && cluster.dropPushes {
		return false
	}
	return !cluster.cut[[2]core.VMID{from, to}]
}

func (cluster *cluster) session(vm core.VMID) *Session {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	return cluster.sessions[vm]
}

// Go implements workerPool. It runs each job on its own goroutine, or none while the
// workers are blocked.
func (cluster *cluster) Go(job func()) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	if !cluster.workersBlocked {
		go job()
	}
}

// start starts or restarts a VM.
func (cluster *cluster) start(vm core.VMID) {
	cluster.starts++
	options := Options{
		Self: lease.Member{VM: vm, Incarnation: core.Incarnation(fmt.Sprint(cluster.starts))}, Zone: cluster.zones[vm],
		DiskVMs: cluster.diskVMs, Budget: lease.Budget{Loads: 8, Transit: 16, Zones: 2, GroupsPerZone: 2},
		Caller: link{cluster, vm}, Jobs: cluster, Reporter: cluster, Logger: log.New(io.Discard),
	}
	for other, zone := range cluster.zones {
		if other != vm && zone == options.Zone {
			options.ZoneVMs = append(options.ZoneVMs, other)
		}
	}
	for _, disk := range cluster.diskVMs {
		if disk == vm {
			options.Replica = sharedReplica{cluster, vm}
		}
	}
	session := New(options)
	cluster.lock.Lock()
	cluster.sessions[vm] = session
	cluster.lock.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { session.Run(ctx) })
	cluster.stops[vm] = func() {
		cancel()
		running.Wait()
	}
}

func (cluster *cluster) stop(vm core.VMID) {
	cluster.lock.Lock()
	cluster.sessions[vm] = nil
	cluster.lock.Unlock()
	if stop := cluster.stops[vm]; stop != nil {
		stop()
	}
	delete(cluster.stops, vm)
}

func (cluster *cluster) stopAll() {
	for vm := range cluster.zones {
		cluster.stop(vm)
	}
}

func (cluster *cluster) setCut(from, to core.VMID, cut bool) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.cut[[2]core.VMID{from, to}] = cut
}

func (cluster *cluster) elect(vm core.VMID) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.term++
	cluster.leader = vm
}

// sleep waits for duration of the test's virtual time, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func parseGroup(text string) core.GroupID {
	parts := strings.Split(text, "/")
	kind := core.EngineGroup
	if parts[1] == "service" {
		kind = core.ServiceGroup
	}
	return core.GroupID{Zone: core.ZoneID(parts[0]), Kind: kind, Name: parts[2]}
}
