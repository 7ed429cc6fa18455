package host

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// callTimeout bounds one attempt. A leader without a quorum steps down within two
	// election timeouts, 1 s.
	callTimeout = 2 * time.Second
	// pauseMin and pauseMax bound the pause after one attempt at each VM with a disk.
	// An election takes 0.5 s to 1.5 s.
	pauseMin = 10 * time.Millisecond
	pauseMax = 160 * time.Millisecond
)

// Client commits commands from any VM. It finds the leader of the shard and retries
// until the context ends. Retries are safe, because a repeated command has no second
// effect.
type Client struct {
	vm          core.VMID
	config      Config
	claimShards core.ShardID
	caller      caller
	local       *Host

	lock    sync.Mutex // leaf lock: no other lock is taken while it is held
	leaders map[core.ShardID]core.VMID
}

// NewClient returns a client of the shards on config.DiskVMs. local is the host of
// this VM, or nil if the VM has no disk.
func NewClient(config Config, local *Host, caller caller) *Client {
	config = config.withDefaults()
	return &Client{
		vm: config.VM, config: config, claimShards: config.ClaimShards,
		caller: caller, local: local, leaders: make(map[core.ShardID]core.VMID),
	}
}

// attempt is the outcome of one call, or of all calls of a Propose.
type attempt struct {
	result    ledger.Result
	committed bool
	uncertain bool
	// sawLeader is set if a leader answered.
	sawLeader bool
	leader    core.VMID
	reason    string
}

// Propose commits a command and returns its result. If ctx ends first, the error is
// ErrUncertain if any attempt may have been committed. Otherwise it is ErrNotCommitted
// if the last VM that was called answered as the leader, and ErrNoQuorum if not.
func (client *Client) Propose(ctx context.Context, shard core.ShardID, command ledger.Command) (ledger.Result, error) {
	data, err := encodeCommand(command)
	if err != nil {
		return ledger.Result{}, err
	}
	request := &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{
		Shard: uint32(shard), Command: data, OriginVm: string(client.vm),
	}}}
	var summary attempt
	pause := pauseMin
	for {
		for _, vm := range client.targets(shard) {
			if ctx.Err() != nil {
				return ledger.Result{}, summary.failure(shard)
			}
			outcome := client.callFollowingRedirect(ctx, shard, vm, request)
			if outcome.committed {
				return outcome.result, nil
			}
			summary.merge(outcome)
		}
		if !sleep(ctx, pause) {
			return ledger.Result{}, summary.failure(shard)
		}
		pause = min(2*pause, pauseMax)
	}
}

// merge adds the outcome of an unsuccessful attempt.
func (summary *attempt) merge(outcome attempt) {
	summary.uncertain = summary.uncertain || outcome.uncertain
	summary.sawLeader = outcome.sawLeader
	summary.reason = outcome.reason
}

func (summary *attempt) failure(shard core.ShardID) error {
	kind := ErrNoQuorum
	switch {
	case summary.uncertain:
		kind = ErrUncertain
	case summary.sawLeader:
		kind = ErrNotCommitted
	}
	return errors.Wrapf(kind, "shard %d: last answer %q", shard, summary.reason)
}

// targets returns the VMs that may have a replica, in the order in which they are
// tried: the last known leader first.
func (client *Client) targets(shard core.ShardID) []core.VMID {
	all := client.config.candidateVMs()
	client.lock.Lock()
	defer client.lock.Unlock()
	leader, known := client.leaders[shard]
	if !known {
		return all
	}
	others := slices.DeleteFunc(slices.Clone(all), func(vm core.VMID) bool { return vm == leader })
	return append([]core.VMID{leader}, others...)
}

func (client *Client) setLeader(shard core.ShardID, leader core.VMID) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.leaders[shard] = leader
}

// callFollowingRedirect calls one VM and, if its answer names another leader, that
// one.
func (client *Client) callFollowingRedirect(ctx context.Context, shard core.ShardID, vm core.VMID, request *wire.Request) attempt {
	first := client.call(ctx, vm, request)
	if first.committed {
		client.setLeader(shard, vm)
		return first
	}
	if first.leader == "" || first.leader == vm || first.uncertain {
		return first
	}
	second := client.call(ctx, first.leader, request)
	if second.committed {
		client.setLeader(shard, first.leader)
	}
	return second
}

func (client *Client) call(ctx context.Context, vm core.VMID, request *wire.Request) attempt {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.send(ctx, vm, request)
	if err != nil {
		// The VM may have received the request before the call failed.
		return attempt{uncertain: !errors.Is(err, ErrNotSent), reason: err.Error()}
	}
	result := response.GetProposeResult()
	if result == nil {
		return attempt{reason: response.GetFailure().GetMessage()}
	}
	outcome := attempt{
		committed: result.GetCommitted(), uncertain: result.GetUncertain(), leader: core.VMID(result.GetLeaderVm()),
		sawLeader: core.VMID(result.GetLeaderVm()) == vm, reason: result.GetReason(),
	}
	if !outcome.committed {
		return outcome
	}
	if err := json.Unmarshal(result.GetResult(), &outcome.result); err != nil {
		return attempt{uncertain: true, reason: err.Error()}
	}
	return outcome
}

func (client *Client) send(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if vm != client.vm || client.local == nil {
		return client.caller.Call(ctx, vm, request)
	}
	response, _ := client.local.Handle(ctx, request)
	return response, nil
}

// sleep returns true after the pause, and false if ctx ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
