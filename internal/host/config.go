package host

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// Config sets up a Host. Zero values mean the defaults.
type Config struct {
	VM core.VMID
	// DiskVMs are all VMs that have a disk, in the same order on every VM.
	DiskVMs []core.VMID
	// Discover, if set, returns further VMs that may hold replicas. The VMs of a
	// deployment without a list of members find each other while they run.
	Discover func() []core.VMID
	// Zone returns the availability zone of a VM, empty if it is unknown.
	Zone func(vm core.VMID) core.ZoneID
	// Voters is the number of replicas that vote; the others are learners. Zero means
	// that all vote and that no replica is removed.
	Voters int
	// Restart keeps the replica from forming a new group.
	Restart bool
	// NoClaims leaves out the shards of claims.
	NoClaims bool
	// ClaimShards is the number of shards that hold claims: shards 1 to ClaimShards.
	ClaimShards core.ShardID
	// Directory holds one folder per shard.
	Directory string
	// System replaces the files of the operating system in tests.
	System wal.FileSystem
	Limits ledger.Limits
	// Tick is the unit of the replicas' time.
	Tick           time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// ManageInterval is the time between two looks at the other disk VMs.
	ManageInterval time.Duration
	// SnapshotEntries and SnapshotBytes bound the log between two snapshots.
	SnapshotEntries int
	SnapshotBytes   core.Bytes
	// MaxPending bounds the commands of a shard that wait for their commit.
	MaxPending int
	Logger     *log.Logger
}

// The defaults of Config.
const (
	// defaultTick, with the two numbers of ticks, gives a heartbeat every 100 ms and
	// an election after 500 ms to 1 s, so that a new leader works within 1.5 s.
	defaultTick           = 50 * time.Millisecond
	defaultHeartbeatTicks = 2
	defaultElectionTicks  = 10
	defaultManageInterval = 500 * time.Millisecond
	// defaultSnapshotEntries bounds the entries that a start has to apply.
	defaultSnapshotEntries            = 10_000
	defaultSnapshotBytes   core.Bytes = 32 << 20 // a quarter of the memory of a node's control state
	defaultMaxPending                 = 8192
)

func (config Config) withDefaults() Config {
	if !config.NoClaims {
		orDefault(&config.ClaimShards, 1)
	}
	if config.Zone == nil {
		config.Zone = func(core.VMID) core.ZoneID { return "" }
	}
	orDefault(&config.Tick, defaultTick)
	orDefault(&config.HeartbeatTicks, defaultHeartbeatTicks)
	orDefault(&config.ElectionTicks, defaultElectionTicks)
	orDefault(&config.ManageInterval, defaultManageInterval)
	orDefault(&config.SnapshotEntries, defaultSnapshotEntries)
	orDefault(&config.SnapshotBytes, defaultSnapshotBytes)
	orDefault(&config.MaxPending, defaultMaxPending)
	if config.Logger == nil {
		config.Logger = log.New(io.Discard)
	}
	return config
}

func orDefault[Value comparable](value *Value, fallback Value) {
	var zero Value
	if *value == zero {
		*value = fallback
	}
}

// shardFolder returns the folder of a shard.
func (config Config) shardFolder(shard core.ShardID) string {
	return filepath.Join(config.Directory, fmt.Sprintf("shard-%d", shard))
}

// vms returns every VM that may hold replicas, each once.
func (config Config) vms() []core.VMID {
	if config.Discover == nil {
		return config.DiskVMs
	}
	all := slices.Concat(config.DiskVMs, config.Discover())
	slices.Sort(all)
	return slices.Compact(all)
}

// founder returns the VM that may form the first group of replicas: only one, so
// that two groups can never form.
func (config Config) founder() core.VMID {
	return slices.Min(config.DiskVMs)
}
