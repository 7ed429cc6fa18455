package session

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// stack is a set of VMs with the real replicated log below their sessions.
type stack struct {
	lock sync.Mutex // a leaf: nothing else is locked while it is held
	vms  map[core.VMID]*machine
	cut  map[core.VMID]bool
}

type machine struct {
	host    *host.Host
	session *Session
	stop    func()
}

// way is one VM's way to the others, for the log and for the sessions.
type way struct {
	stack *stack
	from  core.VMID
}

func (way way) to(vm core.VMID) *machine {
	way.stack.lock.Lock()
	defer way.stack.lock.Unlock()
	if way.stack.cut[way.from] != way.stack.cut[vm] {
		return nil
	}
	return way.stack.vms[vm]
}

func (way way) Send(to core.VMID, messages []raft.Message) {
	if target := way.to(to); target != nil {
		target.host.Deliver(messages)
	}
}

func (way way) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	target := way.to(vm)
	if target == nil {
		return nil, host.ErrNotSent
	}
	pause(ctx, 3*time.Millisecond)
	if response, ok := target.session.Handle(ctx, request); ok {
		return response, nil
	}
	response, _ := target.host.Handle(ctx, request)
	return response, nil
}

func (way) Go(job func()) { go job() }

func (stack *stack) start(t *testing.T, vm core.VMID, zone core.ZoneID, others, disks []core.VMID) {
	way := way{stack, vm}
	opened, closeHost, err := host.New(host.Config{VM: vm, DiskVMs: disks, Directory: filepath.Join(t.TempDir(), string(vm))}, way, way)
	is.New(t).NoErr(err)
	replica, _ := opened.Replica(0)
	session := New(Parts{
		Self: lease.Member{VM: vm, Incarnation: "1"}, Zone: zone, ZoneVMs: others, DiskVMs: disks,
		Caller: way, Jobs: way, Replica: replica, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { session.Run(ctx) })
	stack.lock.Lock()
	defer stack.lock.Unlock()
	stack.vms[vm] = &machine{opened, session, func() {
		cancel()
		running.Wait()
		_ = closeHost()
	}}
}

func (stack *stack) setCut(vm core.VMID, cut bool) {
	stack.lock.Lock()
	defer stack.lock.Unlock()
	stack.cut[vm] = cut
}

// watch announces the group to every VM and looks at its holders every 50 ms. It
// returns the last one, and how long the group had none.
func (stack *stack) watch(t *testing.T, group core.GroupID, length time.Duration) (holder core.VMID, idle time.Duration) {
	const look = 50 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); pause(t.Context(), look) {
		holder = ""
		for vm, one := range stack.vms {
			one.session.Announced(core.Announcement{Upstream: "engine-1", Group: group})
			if _, _, held := one.session.Lease(group); held {
				if holder != "" {
					t.Fatalf("%s and %s hold %s", holder, vm, group)
				}
				holder = vm
			}
		}
		if holder == "" {
			idle += look
		}
	}
	return holder, idle
}

// TestOverReplicas guards against two owners, and against a group without one, when
// VMs are cut off in turn from a cluster that runs the real replicated log.
func TestOverReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stack := &stack{vms: make(map[core.VMID]*machine), cut: make(map[core.VMID]bool)}
		disks := []core.VMID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"}
		for i, vm := range disks {
			var others []core.VMID
			for j := i % 2; j < len(disks); j += 2 {
				if j != i {
					others = append(others, disks[j])
				}
			}
			stack.start(t, vm, core.ZoneID(fmt.Sprint(i%2)), others, disks)
		}
		defer func() {
			for _, one := range stack.vms {
				one.stop()
			}
		}()
		group := core.GroupID{Zone: "0", Kind: core.EngineGroup, Name: "llama"}
		holder, _ := stack.watch(t, group, 10*time.Second)
		is.True(holder != "")
		for range 6 {
			stack.setCut(holder, true)
			next, idle := stack.watch(t, group, 10*time.Second)
			is.True(next != "" && next != holder)
			t.Logf("%s cut off: %s has the group after %s", holder, next, idle)
			is.True(idle <= 5*time.Second) // lease, margin, an election and a renewal
			stack.setCut(holder, false)
			holder, _ = stack.watch(t, group, 3*time.Second)
		}
	})
}
