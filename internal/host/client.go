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
	// callTimeout bounds one try. A leader without a quorum steps down within two
	// election timeouts, 1 s.
	callTimeout = 2 * time.Second
	// pauseMin and pauseMax bound the pause after a round of tries at all disk VMs.
	// An election takes 0.5 s to 1.5 s.
	pauseMin = 10 * time.Millisecond
	pauseMax = 160 * time.Millisecond
)

// Client commits commands from any VM. It finds the leader of the shard and tries
// again until the context ends, which is safe: a resent command has no second
// effect.
type Client struct {
	vm          core.VMID
	config      Config
	claimShards core.ShardID
	caller      caller
	local       *Host

	lock    sync.Mutex // a leaf: nothing else is locked while it is held
	leaders map[core.ShardID]core.VMID
}

// NewClient returns a client of the shards on diskVMs. The host of this VM is nil
// if it has no disk.
func NewClient(config Config, local *Host, caller caller) *Client {
	config = config.withDefaults()
	return &Client{
		vm: config.VM, config: config, claimShards: config.ClaimShards,
		caller: caller, local: local, leaders: make(map[core.ShardID]core.VMID),
	}
}

// try is the outcome of one call.
type try struct {
	result    ledger.Result
	committed bool
	uncertain bool
	// sawLeader is set if a leader answered.
	sawLeader bool
	leader    core.VMID
	reason    string
}

// Propose commits a command and returns its result. If ctx ends first, the error
// is ErrUncertain if any try may have been committed. Otherwise it is ErrNoQuorum
// if no leader answered, and ErrNotCommitted if one refused.
func (client *Client) Propose(ctx context.Context, shard core.ShardID, command ledger.Command) (ledger.Result, error) {
	data, err := ledger.EncodeCommand(command)
	if err != nil {
		return ledger.Result{}, errors.Join(ErrNotCommitted, err)
	}
	request := &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{
		Shard: uint32(shard), Command: data, OriginVm: string(client.vm),
	}}}
	var summary try
	pause := pauseMin
	for {
		for _, vm := range client.targets(shard) {
			if ctx.Err() != nil {
				return ledger.Result{}, summary.failure(shard)
			}
			last := client.follow(ctx, shard, vm, request)
			if last.committed {
				return last.result, nil
			}
			summary.merge(last)
		}
		if !wait(ctx, pause) {
			return ledger.Result{}, summary.failure(shard)
		}
		pause = min(2*pause, pauseMax)
	}
}

// merge adds an unsuccessful try.
func (summary *try) merge(last try) {
	summary.uncertain = summary.uncertain || last.uncertain
	summary.sawLeader = last.sawLeader
	summary.reason = last.reason
}

func (summary *try) failure(shard core.ShardID) error {
	kind := ErrNoQuorum
	switch {
	case summary.uncertain:
		kind = ErrUncertain
	case summary.sawLeader:
		kind = ErrNotCommitted
	}
	return errors.Wrapf(kind, "shard %d: last answer %q", shard, summary.reason)
}

// targets returns the disk VMs in the order in which they are tried.
func (client *Client) targets(shard core.ShardID) []core.VMID {
	all := client.config.vms()
	client.lock.Lock()
	defer client.lock.Unlock()
	leader, known := client.leaders[shard]
	if !known {
		return all
	}
	others := slices.DeleteFunc(slices.Clone(all), func(vm core.VMID) bool { return vm == leader })
	return append([]core.VMID{leader}, others...)
}

func (client *Client) remember(shard core.ShardID, leader core.VMID) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.leaders[shard] = leader
}

// follow tries one VM and, if it names another leader, that one.
func (client *Client) follow(ctx context.Context, shard core.ShardID, vm core.VMID, request *wire.Request) try {
	first := client.call(ctx, vm, request)
	if first.committed {
		client.remember(shard, vm)
		return first
	}
	if first.leader == "" || first.leader == vm || first.uncertain {
		return first
	}
	second := client.call(ctx, first.leader, request)
	if second.committed {
		client.remember(shard, first.leader)
	}
	return second
}

func (client *Client) call(ctx context.Context, vm core.VMID, request *wire.Request) try {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.send(ctx, vm, request)
	if err != nil {
		// The request may have reached the leader before the call broke.
		return try{uncertain: !errors.Is(err, ErrNotSent), reason: err.Error()}
	}
	result := response.GetProposeResult()
	if result == nil {
		return try{reason: response.GetFailure().GetMessage()}
	}
	done := try{
		committed: result.GetCommitted(), uncertain: result.GetUncertain(), leader: core.VMID(result.GetLeaderVm()),
		sawLeader: core.VMID(result.GetLeaderVm()) == vm, reason: result.GetReason(),
	}
	if !done.committed {
		return done
	}
	if err := json.Unmarshal(result.GetResult(), &done.result); err != nil {
		return try{uncertain: true, reason: err.Error()}
	}
	return done
}

func (client *Client) send(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if vm != client.vm || client.local == nil {
		return client.caller.Call(ctx, vm, request)
	}
	response, _ := client.local.Handle(ctx, request)
	return response, nil
}

// wait returns false if ctx ends first.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
