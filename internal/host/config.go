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

// Config configures a Host. Zero values select the defaults.
type Config struct {
	VM core.VMID
	// DiskVMs are all VMs with a disk, in the same order on every VM.
	DiskVMs []core.VMID
	// Discover, if set, returns further VMs that may have replicas. It serves
	// deployments without a list of members, whose VMs discover each other at run
	// time.
	Discover func() []core.VMID
	// Zone returns the availability zone of a VM, or "" if it is unknown.
	Zone func(vm core.VMID) core.ZoneID
	// Voters is the number of voting replicas; all others are learners. If it is zero,
	// all replicas vote and none is removed.
	Voters int
	// Restart prevents this VM from forming a new group of replicas.
	Restart bool
	// NoClaims disables the shards of claims.
	NoClaims bool
	// ClaimShards is the number of shards that hold claims: shards 1 to ClaimShards.
	ClaimShards core.ShardID
	// Directory holds one subdirectory per shard.
	Directory string
	// System replaces the operating system's files in tests.
	System wal.FileSystem
	Limits ledger.Limits
	// Tick is the duration of one tick of the replicas.
	Tick           time.Duration
	HeartbeatTicks int
	ElectionTicks  int
	// ManageInterval is the interval at which the other VMs are polled for changes of
	// the membership.
	ManageInterval time.Duration
	// SnapshotEntries and SnapshotBytes bound the log between two snapshots.
	SnapshotEntries int
	SnapshotBytes   core.Bytes
	// Refuse, if set, returns why this VM must not commit a command as the leader, empty if it
	// may. Commands of the replicas themselves are not passed to it.
	Refuse func(command ledger.Command) string
	// MaxPending bounds the commands of a shard that wait to be committed.
	MaxPending int
	Logger     *log.Logger
}

// Defaults of Config.
const (
	// With this tick and the two numbers of ticks, a heartbeat is sent every 100 ms
	// and an election starts after 500 ms to 1 s, so that a new leader takes over
	// within 1.5 s.
	defaultTick           = 50 * time.Millisecond
	defaultHeartbeatTicks = 2
	defaultElectionTicks  = 10
	defaultManageInterval = 500 * time.Millisecond
	// defaultSnapshotEntries bounds the entries that are applied at a start.
	defaultSnapshotEntries            = 10_000
	defaultSnapshotBytes   core.Bytes = 32 << 20 // a quarter of the memory of a VM's control state
	defaultMaxPending                 = 8192
)

func (config Config) withDefaults() Config {
	if !config.NoClaims {
		setDefault(&config.ClaimShards, 1)
	}
	if config.Zone == nil {
		config.Zone = func(core.VMID) core.ZoneID { return "" }
	}
	setDefault(&config.Tick, defaultTick)
	setDefault(&config.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&config.ElectionTicks, defaultElectionTicks)
	setDefault(&config.ManageInterval, defaultManageInterval)
	setDefault(&config.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&config.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&config.MaxPending, defaultMaxPending)
	if config.Logger == nil {
		config.Logger = log.New(io.Discard)
	}
	return config
}

func setDefault[Value comparable](value *Value, fallback Value) {
	var zero Value
	if *value == zero {
		*value = fallback
	}
}

func (config Config) shardFolder(shard core.ShardID) string {
	return filepath.Join(config.Directory, fmt.Sprintf("shard-%d", shard))
}

// candidateVMs returns each VM that may have replicas once.
func (config Config) candidateVMs() []core.VMID {
	if config.Discover == nil {
		return config.DiskVMs
	}
	all := slices.Concat(config.DiskVMs, config.Discover())
	slices.Sort(all)
	return slices.Compact(all)
}

// bootstrapVM returns the VM that may form the first group of replicas. It is the same
// on every VM, so that two groups can never form.
func (config Config) bootstrapVM() core.VMID {
	return slices.Min(config.DiskVMs)
}
