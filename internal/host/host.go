package host

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// Host runs the replicas of a VM with a disk: shard 0 and the shards of claims.
type Host struct {
	config    Config
	caller    caller
	transport transport
	assembler snapshotAssembler
	// missedPolls counts the consecutive polls that a VM did not answer. Only the
	// goroutine of manage uses it.
	missedPolls map[core.VMID]int
	// replicas are those of shard 0 and the shards of claims. New sets them.
	replicas []*Replica
}

// New opens the replicas and starts their workers. The returned function stops them.
// It returns an error if config.Discover is nil and config.DiskVMs lacks this VM.
func New(config Config, transport transport, caller caller) (*Host, func() error, error) {
	config = config.withDefaults()
	if config.Discover == nil && !slices.Contains(config.DiskVMs, config.VM) {
		return nil, nil, errors.Errorf("%s is not one of the VMs with a disk", config.VM)
	}
	host := &Host{config: config, caller: caller, transport: transport, missedPolls: make(map[core.VMID]int)}
	for shard := core.ShardID(0); shard <= config.ClaimShards; shard++ {
		replica, err := openReplica(config, shard, transport)
		if err != nil {
			return nil, nil, errors.Join(err, host.closeFiles())
		}
		host.replicas = append(host.replicas, replica)
	}
	for _, replica := range host.replicas {
		replica.start()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var manager sync.WaitGroup
	manager.Go(func() { host.manage(ctx) })
	return host, func() error {
		cancel()
		manager.Wait()
		return host.close()
	}, nil
}

// closeFiles closes the files of replicas whose workers were not started.
func (host *Host) closeFiles() error {
	var failures []error
	for _, replica := range host.replicas {
		failures = append(failures, replica.files.Load().Close())
	}
	return errors.Join(failures...)
}

func (host *Host) close() error {
	var failures []error
	for _, replica := range host.replicas {
		failures = append(failures, replica.close())
	}
	return errors.Join(failures...)
}

// Replica returns the replica of a shard, or false if there is no such shard. It is the same
// for as long as the Host is open.
func (host *Host) Replica(shard core.ShardID) (*Replica, bool) {
	if int(shard) >= len(host.replicas) {
		return nil, false
	}
	return host.replicas[shard], true
}

// Deliver passes messages of other VMs to their replicas.
func (host *Host) Deliver(messages []raft.Message) {
	grouped := make(map[core.ShardID][]raft.Message)
	for _, message := range messages {
		grouped[message.Shard] = append(grouped[message.Shard], message)
	}
	for shard, group := range grouped {
		if replica, ok := host.Replica(shard); ok {
			replica.deliver(group)
		}
	}
}

// Handle answers a Replicate, ReplicaInfo or Propose request of another VM. It returns
// false for any other request.
func (host *Host) Handle(ctx context.Context, request *wire.Request) (*wire.Response, bool) {
	switch body := request.GetBody().(type) {
	case *wire.Request_Replicate:
		messages, err := host.assembler.fromWire(body.Replicate)
		if err != nil {
			return failure(err), true
		}
		host.Deliver(messages)
		return &wire.Response{Body: &wire.Response_ReplicateResult{ReplicateResult: &wire.ReplicateResult{}}}, true
	case *wire.Request_ReplicaInfo:
		replica, ok := host.Replica(core.ShardID(body.ReplicaInfo.GetShard()))
		if !ok {
			return failure(errors.Errorf("there is no shard %d", body.ReplicaInfo.GetShard())), true
		}
		return &wire.Response{Body: &wire.Response_ReplicaInfoResult{ReplicaInfoResult: replica.info()}}, true
	case *wire.Request_Propose:
		result := host.propose(ctx, body.Propose)
		return &wire.Response{Body: &wire.Response_ProposeResult{ProposeResult: result}}, true
	default:
		return nil, false
	}
}

func failure(err error) *wire.Response {
	return &wire.Response{Body: &wire.Response_Failure{Failure: &wire.Failure{Message: err.Error()}}}
}

func (host *Host) propose(ctx context.Context, request *wire.Propose) *wire.ProposeResult {
	replica, ok := host.Replica(core.ShardID(request.GetShard()))
	if !ok {
		return &wire.ProposeResult{Reason: fmt.Sprintf("there is no shard %d", request.GetShard())}
	}
	command, err := ledger.DecodeCommand(request.GetCommand())
	if err != nil {
		return &wire.ProposeResult{Reason: err.Error()}
	}
	result, err := replica.Propose(ctx, command)
	if err != nil {
		return &wire.ProposeResult{LeaderVm: string(replica.Leader()), Reason: err.Error(), Uncertain: errors.Is(err, ErrUncertain)}
	}
	data, err := json.Marshal(result)
	if err != nil {
		return &wire.ProposeResult{Reason: err.Error(), Uncertain: true}
	}
	return &wire.ProposeResult{Committed: true, LeaderVm: string(host.config.VM), Result: data}
}
