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

var errCut = errors.New("cut off")

// cluster is a set of sessions over one replicated state. The replicated log itself
// is replaced by a shared state with a leader that the test chooses.
type cluster struct {
	t *testing.T

	lock     sync.Mutex // a leaf: nothing else is locked while it is held
	state    *ledger.State
	index    uint64
	term     raft.Term
	leader   core.VMID
	cut      map[[2]core.VMID]bool
	watchers []chan struct{}
	sessions map[core.VMID]*Session
	stops    map[core.VMID]func()
	zones    map[core.VMID]core.ZoneID
	disks    []core.VMID
	runs     int
	// dropPushes loses every push.
	dropPushes bool
	// stuck stops the workers of the pool.
	stuck bool
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, state: ledger.New(ledger.Limits{}), cut: make(map[[2]core.VMID]bool),
		sessions: make(map[core.VMID]*Session), stops: make(map[core.VMID]func()), zones: make(map[core.VMID]core.ZoneID),
	}
}

// memory is the replica of one VM.
type memory struct {
	cluster *cluster
	vm      core.VMID
}

func (memory memory) IsLeader() (raft.Term, bool) {
	memory.cluster.lock.Lock()
	defer memory.cluster.lock.Unlock()
	return memory.cluster.term, memory.cluster.leader == memory.vm
}

func (memory memory) Leader() core.VMID {
	memory.cluster.lock.Lock()
	defer memory.cluster.lock.Unlock()
	return memory.cluster.leader
}

// Confirm succeeds if the leader reaches a majority of the disk VMs.
func (memory memory) Confirm(context.Context) error {
	memory.cluster.lock.Lock()
	defer memory.cluster.lock.Unlock()
	reached := 0
	for _, disk := range memory.cluster.disks {
		if !memory.cluster.cut[[2]core.VMID{memory.vm, disk}] {
			reached++
		}
	}
	if memory.cluster.leader != memory.vm || 2*reached <= len(memory.cluster.disks) {
		return errCut
	}
	return nil
}

func (memory memory) View(read func(*ledger.State)) {
	memory.cluster.lock.Lock()
	defer memory.cluster.lock.Unlock()
	read(memory.cluster.state)
}

func (memory memory) Subscribe() (<-chan struct{}, func()) {
	memory.cluster.lock.Lock()
	defer memory.cluster.lock.Unlock()
	channel := make(chan struct{}, 1)
	memory.cluster.watchers = append(memory.cluster.watchers, channel)
	return channel, func() {}
}

func (memory memory) AssignIn(_ context.Context, term raft.Term, assign ledger.Assign) (ledger.AssignResult, error) {
	if now, leads := memory.IsLeader(); !leads || now != term {
		return ledger.AssignResult{}, errCut
	}
	return *memory.cluster.apply(ledger.Command{Assign: &assign}).Assign, nil
}

// Crash makes the cluster a reporter.
func (cluster *cluster) Crash(_ context.Context, report ledger.CrashReport) (ledger.CrashResult, error) {
	return *cluster.apply(ledger.Command{Crash: &report}).Crash, nil
}

func (cluster *cluster) apply(command ledger.Command) ledger.Result {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.index++
	command.At = time.Now().UnixMilli()
	result := cluster.state.Apply(cluster.index, command)
	for _, channel := range cluster.watchers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return result
}

// link is one VM's way to the others.
type link struct {
	cluster *cluster
	from    core.VMID
}

func (link link) Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error) {
	if !link.cluster.open(link.from, to, request) {
		return nil, errCut
	}
	pause(ctx, 2*time.Millisecond)
	target := link.cluster.session(to)
	if target == nil {
		return nil, errCut
	}
	response, _ := target.Handle(ctx, request)
	if !link.cluster.open(to, link.from, nil) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return response, nil
}

func (cluster *cluster) open(from, to core.VMID, request *wire.Request) bool {
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

// Go makes the cluster a pool that runs each job on a goroutine of its own, or none
// while its workers are stuck.
func (cluster *cluster) Go(job func()) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	if !cluster.stuck {
		go job()
	}
}

// start starts a VM, or starts it again.
func (cluster *cluster) start(vm core.VMID) {
	cluster.runs++
	parts := Parts{
		Self: lease.Member{VM: vm, Incarnation: core.Incarnation(fmt.Sprint(cluster.runs))}, Zone: cluster.zones[vm],
		DiskVMs: cluster.disks, Budget: lease.Budget{Loads: 8, Transit: 16, Zones: 2, GroupsPerZone: 2},
		Caller: link{cluster, vm}, Jobs: cluster, Reporter: cluster, Logger: log.New(io.Discard),
	}
	for other, zone := range cluster.zones {
		if other != vm && zone == parts.Zone {
			parts.ZoneVMs = append(parts.ZoneVMs, other)
		}
	}
	for _, disk := range cluster.disks {
		if disk == vm {
			parts.Replica = memory{cluster, vm}
		}
	}
	session := New(parts)
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

// pause waits in the time of the test.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func groupNamed(text string) core.GroupID {
	parts := strings.Split(text, "/")
	kind := core.EngineGroup
	if parts[1] == "service" {
		kind = core.ServiceGroup
	}
	return core.GroupID{Zone: core.ZoneID(parts[0]), Kind: kind, Name: parts[2]}
}
