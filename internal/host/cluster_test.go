package host

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// maxFrameBytes is the largest message that a link between VMs carries, as in package peer.
const maxFrameBytes = 4 << 20

// network connects the hosts of a test. Like the links between VMs it does not carry messages over
// maxFrameBytes.
type network struct {
	lock  sync.Mutex // leaf lock: no other lock is taken while it is held
	hosts map[core.VMID]*Host
	// cut holds the VMs that no message reaches or leaves.
	cut map[core.VMID]bool
}

// endpoint is the connection of one VM to the network.
type endpoint struct {
	network *network
	vm      core.VMID
}

func (network *network) reachable(from, to core.VMID) *Host {
	network.lock.Lock()
	defer network.lock.Unlock()
	if network.cut[from] || network.cut[to] {
		return nil
	}
	return network.hosts[to]
}

func (network *network) set(vm core.VMID, host *Host) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.hosts[vm] = host
}

func (network *network) setCut(vm core.VMID, cut bool) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.cut[vm] = cut
}

func (endpoint endpoint) Send(to core.VMID, messages []raft.Message) {
	host := endpoint.network.reachable(endpoint.vm, to)
	if host == nil {
		return
	}
	for _, part := range MessagesToWire(messages) {
		request := &wire.Request{Body: &wire.Request_Replicate{Replicate: part}}
		if proto.Size(request) > maxFrameBytes {
			return
		}
		host.Handle(context.Background(), request)
	}
}

func (endpoint endpoint) Call(ctx context.Context, to core.VMID, request *wire.Request) (*wire.Response, error) {
	host := endpoint.network.reachable(endpoint.vm, to)
	if host == nil {
		return nil, errors.Wrapf(ErrNotSent, "%s is not reachable", to)
	}
	response, _ := host.Handle(ctx, request)
	if endpoint.network.reachable(to, endpoint.vm) == nil && endpoint.vm != "entry" {
		return nil, errors.Errorf("the answer of %s was lost", to)
	}
	return response, nil
}

// cluster is a set of VMs with a disk and a client on a VM without one.
type cluster struct {
	t         *testing.T
	is        *is.I
	network   *network
	directory string
	vms       []core.VMID
	stops     map[core.VMID]func() error
	client    *Client
	config    Config
}

func newCluster(t *testing.T, size int) *cluster {
	cluster := &cluster{
		t: t, is: is.New(t), directory: t.TempDir(), stops: make(map[core.VMID]func() error),
		network: &network{hosts: make(map[core.VMID]*Host), cut: make(map[core.VMID]bool)},
	}
	for i := range size {
		cluster.vms = append(cluster.vms, core.VMID(fmt.Sprintf("vm-%d", i)))
	}
	cluster.config = Config{DiskVMs: cluster.vms, SnapshotEntries: 50}
	client := cluster.config
	client.VM = "entry"
	cluster.client = NewClient(client, nil, endpoint{cluster.network, "entry"})
	return cluster
}

func (cluster *cluster) start(vms ...core.VMID) {
	for _, vm := range vms {
		config := cluster.config
		config.VM = vm
		config.Directory = filepath.Join(cluster.directory, string(vm))
		end := endpoint{cluster.network, vm}
		host, stop, err := New(config, end, end)
		cluster.is.NoErr(err)
		cluster.network.set(vm, host)
		cluster.stops[vm] = stop
	}
}

func (cluster *cluster) stop(vms ...core.VMID) {
	for _, vm := range vms {
		cluster.network.set(vm, nil)
		cluster.is.NoErr(cluster.stops[vm]())
		delete(cluster.stops, vm)
	}
}

func (cluster *cluster) stopAll() {
	for _, vm := range cluster.vms {
		if cluster.stops[vm] != nil {
			cluster.stop(vm)
		}
	}
}

func (cluster *cluster) wipe(vm core.VMID) {
	cluster.is.NoErr(os.RemoveAll(filepath.Join(cluster.directory, string(vm))))
}

func (cluster *cluster) replica(vm core.VMID, shard core.ShardID) *Replica {
	cluster.network.lock.Lock()
	defer cluster.network.lock.Unlock()
	host := cluster.network.hosts[vm]
	if host == nil {
		return nil
	}
	replica, _ := host.Replica(shard)
	return replica
}

// leader returns the VM that leads a shard among those that are not cut off, or "" if
// there is none.
func (cluster *cluster) leader(shard core.ShardID) core.VMID {
	for _, vm := range cluster.vms {
		replica := cluster.replica(vm, shard)
		if replica == nil || cluster.network.reachable(vm, vm) == nil {
			continue
		}
		if _, leads := replica.IsLeader(); leads {
			return vm
		}
	}
	return ""
}

// waitFor waits for a condition, for at most one minute of virtual time.
func (cluster *cluster) waitFor(what string, condition func() bool) {
	cluster.t.Helper()
	limit, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !condition() {
		if !sleep(limit, 10*time.Millisecond) {
			cluster.t.Fatalf("not within a minute: %s", what)
		}
	}
}

func (cluster *cluster) claim(key string, timeout time.Duration) (ledger.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return cluster.client.Claim(ctx, ledger.Claim{
		Customer: "customer", Key: core.IdempotencyKey(key), Content: "content", Attempt: core.AttemptID("attempt " + key),
		Holder: "entry", HolderIncarnation: "1", HoldMillis: time.Hour.Milliseconds(),
	})
}

func (cluster *cluster) mustClaim(key string) {
	cluster.t.Helper()
	result, err := cluster.claim(key, 10*time.Second)
	cluster.is.NoErr(err)
	cluster.is.Equal(result.State, ledger.ClaimGranted)
}

// waitForClaims waits until all given VMs have applied that number of claims.
func (cluster *cluster) waitForClaims(keys int, vms ...core.VMID) {
	cluster.t.Helper()
	cluster.waitFor("the replicas agree", func() bool {
		for _, vm := range vms {
			count := 0
			cluster.replica(vm, 1).View(func(state *ledger.State) { count = state.ClaimCount() })
			if count != keys {
				return false
			}
		}
		return true
	})
}

// runCluster runs a test with a cluster in virtual time.
func runCluster(t *testing.T, size int, run func(cluster *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, size)
		defer cluster.stopAll()
		run(cluster)
	})
}

// faultyDisk is a file system whose syncs fail once broken is set.
type faultyDisk struct {
	wal.OSFileSystem
	broken *bool
}

type faultyFile struct {
	wal.File
	broken *bool
}

func (system faultyDisk) Create(path string) (wal.File, error) {
	file, err := system.OSFileSystem.Create(path)
	return faultyFile{file, system.broken}, err
}

func (file faultyFile) Sync() error {
	if *file.broken {
		return errors.New("input/output error")
	}
	return file.File.Sync()
}
