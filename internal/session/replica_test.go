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
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// replicatedCluster is a set of VMs whose sessions run on the real replicated log.
type replicatedCluster struct {
	lock sync.Mutex // leaf lock: no other lock is taken while it is held
	vms  map[core.VMID]*clusterVM
	cut  map[core.VMID]bool
	// disks holds the file systems that replace the one of the operating system.
	disks map[core.VMID]wal.FileSystem
}

type clusterVM struct {
	host    *host.Host
	session *Session
	stop    func()
}

// endpoint is the connection of one VM to the others, for the replicated log and for
// the sessions.
type endpoint struct {
	cluster *replicatedCluster
	from    core.VMID
}

func (endpoint endpoint) reach(vm core.VMID) *clusterVM {
	endpoint.cluster.lock.Lock()
	defer endpoint.cluster.lock.Unlock()
	if endpoint.cluster.cut[endpoint.from] != endpoint.cluster.cut[vm] {
		return nil
	}
	return endpoint.cluster.vms[vm]
}

func (endpoint endpoint) Send(to core.VMID, messages []raft.Message) {
	if target := endpoint.reach(to); target != nil {
		target.host.Deliver(messages)
	}
}

func (endpoint endpoint) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	target := endpoint.reach(vm)
	if target == nil {
		return nil, host.ErrNotSent
	}
	sleep(ctx, 3*time.Millisecond)
	if response, ok := target.session.Handle(ctx, request); ok {
		return response, nil
	}
	response, _ := target.host.Handle(ctx, request)
	return response, nil
}

func (endpoint) Go(job func()) { go job() }

func (cluster *replicatedCluster) start(t *testing.T, vm core.VMID, zone core.ZoneID, others, diskVMs []core.VMID) {
	endpoint := endpoint{cluster, vm}
	opened, closeHost, err := host.New(host.Config{VM: vm, DiskVMs: diskVMs, Directory: filepath.Join(t.TempDir(), string(vm)), System: cluster.disks[vm]}, endpoint, endpoint)
	is.New(t).NoErr(err)
	replica, _ := opened.Replica(0)
	session := New(Options{
		Self: lease.Member{VM: vm, Incarnation: "1"}, Zone: zone, ZoneVMs: others, DiskVMs: diskVMs,
		Caller: endpoint, Jobs: endpoint, Replica: replica, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { session.Run(ctx) })
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.vms[vm] = &clusterVM{opened, session, func() {
		cancel()
		running.Wait()
		_ = closeHost()
	}}
}

func (cluster *replicatedCluster) setCut(vm core.VMID, cut bool) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.cut[vm] = cut
}

// observeHolder announces the group to every VM and checks its holder every 50 ms, for
// length. It returns the last holder and the total time without one.
func (cluster *replicatedCluster) observeHolder(t *testing.T, group core.GroupID, length time.Duration) (holder core.VMID, withoutHolder time.Duration) {
	const pollInterval = 50 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); sleep(t.Context(), pollInterval) {
		holder = ""
		for vm, machine := range cluster.vms {
			machine.session.RecordAnnouncement(core.Announcement{Upstream: "engine-1", Group: group})
			if _, _, held := machine.session.Lease(group); held {
				if holder != "" {
					t.Fatalf("%s and %s hold %s", holder, vm, group)
				}
				holder = vm
			}
		}
		if holder == "" {
			withoutHolder += pollInterval
		}
	}
	return holder, withoutHolder
}

// TestOverReplicas guards against two owners of a group, and against a group without
// an owner, when VMs are cut off in turn from a cluster that runs the real replicated
// log.
func TestOverReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := &replicatedCluster{vms: make(map[core.VMID]*clusterVM), cut: make(map[core.VMID]bool)}
		diskVMs := []core.VMID{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"}
		for i, vm := range diskVMs {
			var others []core.VMID
			for j := i % 2; j < len(diskVMs); j += 2 {
				if j != i {
					others = append(others, diskVMs[j])
				}
			}
			cluster.start(t, vm, core.ZoneID(fmt.Sprint(i%2)), others, diskVMs)
		}
		defer func() {
			for _, machine := range cluster.vms {
				machine.stop()
			}
		}()
		group := core.GroupID{Zone: "0", Kind: core.EngineGroup, Name: "llama"}
		holder, _ := cluster.observeHolder(t, group, 10*time.Second)
		is.True(holder != "")
		for range 6 {
			cluster.setCut(holder, true)
			next, withoutHolder := cluster.observeHolder(t, group, 10*time.Second)
			is.True(next != "" && next != holder)
			t.Logf("%s was cut off: %s has the group, without a holder for %s", holder, next, withoutHolder)
			is.True(withoutHolder <= 5*time.Second) // lease, margin, an election and a renewal
			cluster.setCut(holder, false)
			holder, _ = cluster.observeHolder(t, group, 3*time.Second)
		}
	})
}
