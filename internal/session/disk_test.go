package session

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// limitedDisk is a file system that takes half of a write while it is full.
type limitedDisk struct {
	wal.OSFileSystem
	full atomic.Bool
}

type limitedFile struct {
	wal.File
	disk *limitedDisk
}

func (disk *limitedDisk) Create(path string) (wal.File, error) {
	file, err := disk.OSFileSystem.Create(path)
	return limitedFile{file, disk}, err
}

func (disk *limitedDisk) OpenAppend(path string, size int64) (wal.File, error) {
	file, err := disk.OSFileSystem.OpenAppend(path, size)
	return limitedFile{file, disk}, err
}

func (file limitedFile) Write(data []byte) (int, error) {
	if !file.disk.full.Load() {
		return file.File.Write(data)
	}
	written, err := file.File.Write(data[:len(data)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return written, err
}

// TestFullDisks guards against sessions without a leader after the disk of each VM was full
// for some seconds, one after another: the replicas worked again, and no session used them, so
// that no new group was assigned and no change of the configuration reached a VM.
func TestFullDisks(t *testing.T) {
	diskVMs := []core.VMID{"vm-0", "vm-1", "vm-2"}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cluster := &replicatedCluster{vms: make(map[core.VMID]*clusterVM), cut: make(map[core.VMID]bool), disks: make(map[core.VMID]wal.FileSystem)}
				disks := make(map[core.VMID]*limitedDisk)
				for _, vm := range diskVMs {
					disks[vm] = &limitedDisk{}
					cluster.disks[vm] = disks[vm]
					others := slices.DeleteFunc(slices.Clone(diskVMs), func(other core.VMID) bool { return other == vm })
					cluster.start(t, vm, "0", others, diskVMs)
				}
				defer func() {
					for _, machine := range cluster.vms {
						machine.stop()
					}
				}()
				client := host.NewClient(host.Config{VM: "entry", DiskVMs: diskVMs}, nil, endpoint{cluster, "entry"})
				group := core.GroupID{Zone: "0", Kind: core.EngineGroup, Name: "llama"}
				reports := 0
				// change commits something every 100 ms, so that a full disk is written to.
				change := func(length time.Duration) {
					for end := time.Now().Add(length); time.Now().Before(end); sleep(t.Context(), 100*time.Millisecond) {
						reports++
						_, err := client.Crash(t.Context(), ledger.CrashReport{Upstream: "engine-2", Incarnation: core.Incarnation(fmt.Sprint(reports))})
						is.NoErr(err)
					}
				}
				cluster.observeHolder(t, group, 5*time.Second)
				for _, index := range order {
					disks[diskVMs[index]].full.Store(true)
					change(3 * time.Second)
					disks[diskVMs[index]].full.Store(false)
					change(time.Second)
				}
				// The zone extends the leases on known groups without a leader.
				holder, _ := cluster.observeHolder(t, core.GroupID{Zone: "0", Kind: core.EngineGroup, Name: "later"}, 4*time.Second)
				is.True(holder != "")
				_, err := client.PutList(t.Context(), ledger.PutList{Kind: core.PlansList, Plans: &core.Plans{}, Operator: "o"})
				is.NoErr(err)
				sleep(t.Context(), 4*time.Second)
				for _, machine := range cluster.vms {
					is.Equal(machine.session.Index().Number(), core.ConfigNumber(1))
				}
			})
		})
	}
}
