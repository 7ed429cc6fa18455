package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// found forms the group of replicas with this replica as its first one.
func (worker *worker) found(members *raft.Membership) error {
	if members == nil || !worker.node.IsEmpty() {
		return nil
	}
	data, err := ledger.New(worker.replica.config.Limits).Encode()
	if err != nil {
		return err
	}
	first := raft.Snapshot{Index: 1, Term: 1, Membership: *members, Data: data}
	hard := raft.HardState{Term: 1, Commit: 1}
	if err := worker.files.SaveSnapshot(first); err != nil {
		return err
	}
	if err := worker.files.Reset(hard, first); err != nil {
		return err
	}
	worker.replica.logger.Info("Formed the group of replicas.", "voters", len(members.Voters))
	return worker.restore(raft.Restored{HardState: hard, Snapshot: first})
}

// join takes a replica into the group: first as a learner and, once it holds
// everything, as a voter in place of the former replica of its VM.
func (worker *worker) join(id raft.ReplicaID) {
	members := worker.node.Status().Membership
	var err error
	change := "learner"
	switch {
	case members.IsVoter(id):
		return
	case members.IsLearner(id):
		change = "voter"
		_, err = worker.node.Promote(id)
	default:
		_, err = worker.node.AddLearner(id)
	}
	if err == nil {
		worker.replica.logger.Info("Proposed a change of the replicas.", "replica", id.String(), "as", change)
	}
	// Any error goes away or comes back with the next look at the VMs.
}

const (
	// missedBeforeRemoval is the number of surveys, 500 ms apart, after which a silent
	// replica is replaced: 15 s, longer than a partition of seconds.
	missedBeforeRemoval = 30
	// missedBeforeSuccession applies where another VM of the same zone has come: 3 s.
	missedBeforeSuccession = 6
)

// change does the next step towards the membership that a view asks for.
func (worker *worker) change(view *raft.View) {
	if view == nil {
		return
	}
	step, ok := worker.node.Status().Membership.Plan(*view)
	if !ok {
		return
	}
	if err := worker.node.Take(step); err != nil {
		return // it goes away or comes back with the next survey
	}
	worker.replica.logger.Info("Proposed a change of the replicas.", "replica", step.Replica.String(), "step", step.Kind.String())
}

// manage looks at the other disk VMs from time to time until ctx ends.
func (host *Host) manage(ctx context.Context) {
	ticker := time.NewTicker(host.config.ManageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, replica := range host.all() {
				host.reopen(replica)
				host.manageReplica(ctx, replica)
			}
		}
	}
}

func (host *Host) manageReplica(ctx context.Context, replica *Replica) {
	_, leads := replica.IsLeader()
	founds := !host.config.Restart && replica.empty.Load() && host.config.VM == host.config.founder()
	if !leads && !founds {
		return
	}
	infos := host.survey(ctx, replica)
	if leads && host.config.Voters > 0 {
		view := host.view(replica, infos)
		replica.queue.put(func(waiting *work) { waiting.view = &view })
		return
	}
	if leads {
		replica.queue.put(func(waiting *work) { waiting.joining = joining(infos) })
		return
	}
	if members, ok := host.founding(infos); ok {
		replica.queue.put(func(waiting *work) { waiting.founding = &members })
	}
}

// survey asks every disk VM about its replica. A VM that does not answer is
// missing in the result.
func (host *Host) survey(ctx context.Context, replica *Replica) map[core.VMID]*wire.ReplicaInfoResult {
	ctx, cancel := context.WithTimeout(ctx, host.config.ManageInterval)
	defer cancel()
	infos := map[core.VMID]*wire.ReplicaInfoResult{host.config.VM: replica.info()}
	var lock sync.Mutex // a leaf: guards infos
	var group sync.WaitGroup
	for _, vm := range host.candidates(replica) {
		if vm == host.config.VM {
			continue
		}
		group.Go(func() {
			info, err := host.ask(ctx, vm, replica.shard)
			if err != nil {
				return
			}
			lock.Lock()
			defer lock.Unlock()
			infos[vm] = info
		})
	}
	group.Wait()
	return infos
}

// candidates returns the VMs to survey: those that may hold a replica and those whose
// replicas are members.
func (host *Host) candidates(replica *Replica) []core.VMID {
	members := replica.Status().Membership
	all := slices.Clone(host.config.vms())
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		all = append(all, id.VM)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// view turns the answers of a survey into what the plan of a change needs.
func (host *Host) view(replica *Replica, infos map[core.VMID]*wire.ReplicaInfoResult) raft.View {
	view := raft.View{
		Self: replica.id, Present: joining(infos), Missed: make(map[core.VMID]int),
		Zones: make(map[core.VMID]core.ZoneID), Voters: host.config.Voters,
		Patience: missedBeforeRemoval, SuccessorPatience: missedBeforeSuccession,
	}
	for _, vm := range host.candidates(replica) {
		host.missed[vm]++
		if infos[vm] != nil {
			host.missed[vm] = 0
		}
		view.Missed[vm] = host.missed[vm]
		view.Zones[vm] = host.config.Zone(vm)
	}
	return view
}

// reopen opens a replica again after a failed write, for instance on a full disk. After
// a failed sync it does not: what the system then reads back may not be on the disk.
func (host *Host) reopen(failed *Replica) {
	var damage *wal.DamageError
	err := failed.Err()
	if err == nil || err == ErrStopped || errors.Is(err, wal.ErrSync) || errors.As(err, &damage) { //nolint:errorlint // a stop by order has no cause
		return
	}
	if err := failed.worker.files.Close(); err != nil {
		host.config.Logger.Warn("The files of a stopped replica were not closed.", "error", err)
	}
	next, err := openReplica(host.config, failed.shard, host.config.shardFolder(failed.shard), host.transport)
	if err != nil {
		host.config.Logger.Warn("The replica cannot be opened yet.", "error", err)
		return
	}
	next.watchers = failed.watchers
	host.lock.Lock()
	host.replicas[failed.shard] = next
	host.lock.Unlock()
	next.start()
	host.config.Logger.Info("The replica works again.", "shard", failed.shard)
}

func (host *Host) ask(ctx context.Context, vm core.VMID, shard core.ShardID) (*wire.ReplicaInfoResult, error) {
	request := &wire.Request{Body: &wire.Request_ReplicaInfo{ReplicaInfo: &wire.ReplicaInfo{Shard: uint32(shard)}}}
	response, err := host.caller.Call(ctx, vm, request)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s about shard %d", vm, shard)
	}
	info := response.GetReplicaInfoResult()
	if info == nil || info.GetVm() != string(vm) || info.GetIncarnation() == "" {
		return nil, errors.Errorf("%s does not answer for shard %d", vm, shard)
	}
	return info, nil
}

// joining returns the replicas that answered, in a fixed order.
func joining(infos map[core.VMID]*wire.ReplicaInfoResult) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for vm, info := range infos {
		ids = append(ids, raft.ReplicaID{VM: vm, Incarnation: core.Incarnation(info.GetIncarnation())})
	}
	slices.SortFunc(ids, func(a, b raft.ReplicaID) int { return slices.Compare([]core.VMID{a.VM}, []core.VMID{b.VM}) })
	return ids
}

// founding returns the first membership if every disk VM is present and empty. An
// empty disk beside one that is not has lost its content; then the others go on.
func (host *Host) founding(infos map[core.VMID]*wire.ReplicaInfoResult) (raft.Membership, bool) {
	for _, vm := range host.config.DiskVMs {
		if info := infos[vm]; info == nil || !info.GetEmpty() {
			return raft.Membership{}, false
		}
	}
	return raft.NewMembership(joining(infos)...), true
}

// info describes the replica to other VMs.
func (replica *Replica) info() *wire.ReplicaInfoResult {
	status := replica.status.Load()
	return &wire.ReplicaInfoResult{
		Vm: string(replica.id.VM), Incarnation: string(replica.id.Incarnation), Empty: replica.empty.Load(),
		LeaderVm: string(status.Leader.VM), Term: uint64(status.Term), Commit: uint64(status.Commit),
	}
}
