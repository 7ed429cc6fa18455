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

// bootstrap writes the first snapshot of a new group of replicas, with the given
// members. It does nothing if members is nil or the replica is not empty.
func (worker *worker) bootstrap(members *raft.Membership) error {
	if members == nil || !worker.node.IsEmpty() {
		return nil
	}
	data, err := ledger.New(worker.replica.config.Limits).Encode()
	if err != nil {
		return err
	}
	initial := raft.Snapshot{Index: 1, Term: 1, Membership: *members, Data: data}
	hardState := raft.HardState{Term: 1, Commit: 1}
	if err := worker.files.SaveSnapshot(initial); err != nil {
		return err
	}
	if err := worker.files.Reset(hardState, initial); err != nil {
		return err
	}
	worker.replica.logger.Info("Formed a new group of replicas.", "voters", len(members.Voters))
	return worker.restore(raft.Restored{HardState: hardState, Snapshot: initial})
}

// addReplica proposes to add a replica to the group: first as a learner and, once it
// has received everything, as a voter in place of the previous replica of its VM.
func (worker *worker) addReplica(id raft.ReplicaID, countsLost bool) {
	members := worker.node.Status().Membership
	var err error
	role := "learner"
	switch {
	case members.IsVoter(id):
		return
	case members.IsLearner(id):
		role = "voter"
		_, err = worker.node.Promote(id)
	default:
		_, err = worker.node.AddLearner(id, countsLost)
	}
	if err == nil {
		worker.replica.logger.Info("Proposed a membership change.", "replica", id.String(), "as", role)
	}
	// An error is ignored: the next poll of the VMs proposes the change again.
}

const (
	// missedBeforeReplacement is the number of missed polls, 500 ms apart, after which
	// a silent replica is replaced: 15 s, longer than a partition of some seconds.
	missedBeforeReplacement = 30
	// missedBeforeSameZoneReplacement applies if a new VM of the same zone is present:
	// 3 s.
	missedBeforeSameZoneReplacement = 6
)

// changeMembership proposes the next step towards the membership that the last view asks
// for. A step follows as soon as the last one is committed and not at the next poll: between
// the two steps of a replacement the group has a voter more and bears no more losses.
//
// In a group without a desired number of voters, all replicas vote and none is removed.
func (worker *worker) changeMembership(view *raft.View) {
	if view != nil && view.Voters == 0 {
		for _, id := range view.Present {
			worker.addReplica(id, slices.Contains(view.CountsLost, id))
		}
		return
	}
	if view != nil {
		worker.view = view
	}
	if worker.view == nil {
		return
	}
	status := worker.node.Status()
	if status.Role != raft.Leader {
		worker.view = nil
		return
	}
	if !status.MembershipCommitted || !status.CommittedInTerm {
		return
	}
	step, ok := status.Membership.Plan(*worker.view)
	if !ok {
		worker.view = nil
		return
	}
	if err := worker.node.ProposeStep(step); err != nil {
		return // the step is planned again; a learner may lack some entries
	}
	worker.replica.logger.Info("Proposed a membership change.", "replica", step.Replica.String(), "step", step.Kind.String())
}

// manage reopens failed replicas and polls the other VMs at every ManageInterval until
// ctx ends.
func (host *Host) manage(ctx context.Context) {
	ticker := time.NewTicker(host.config.ManageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, replica := range host.replicas {
				host.reopenFailed(replica)
				host.manageReplica(ctx, replica)
			}
		}
	}
}

// manageReplica polls the other VMs if the replica leads, has no leader, or may form the group.
func (host *Host) manageReplica(ctx context.Context, replica *Replica) {
	status := replica.Status() // before the poll; see lostVoters
	_, leads := replica.IsLeader()
	bootstraps := !host.config.Restart && replica.empty.Load() && host.config.VM == host.config.bootstrapVM()
	elects := status.Leader.IsZero() && slices.Contains(status.Electors, status.ID)
	if !leads && !bootstraps && !elects {
		return
	}
	infos := host.pollReplicas(ctx, replica)
	if lost := lostVoters(status.Electors, infos); len(lost) > 0 {
		replica.queue.put(func(waiting *pendingWork) { waiting.lost = lost })
	}
	if leads {
		view := host.view(replica, infos)
		replica.queue.put(func(waiting *pendingWork) { waiting.view = &view })
		return
	}
	if !bootstraps {
		return
	}
	if members, ok := host.initialMembership(infos); ok {
		replica.queue.put(func(waiting *pendingWork) { waiting.initial = &members })
	}
}

// pollReplicas requests the info of the shard's replica from every VM that may have
// one. The result lacks VMs that do not answer.
func (host *Host) pollReplicas(ctx context.Context, replica *Replica) map[core.VMID]*wire.ReplicaInfoResult {
	ctx, cancel := context.WithTimeout(ctx, host.config.ManageInterval)
	defer cancel()
	infos := map[core.VMID]*wire.ReplicaInfoResult{host.config.VM: replica.info()}
	var lock sync.Mutex // a leaf lock: guards infos
	var group sync.WaitGroup
	for _, vm := range host.polledVMs(replica) {
		if vm == host.config.VM {
			continue
		}
		group.Go(func() {
			info, err := host.requestInfo(ctx, vm, replica.shard)
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

// lostVoters returns the voters whose VMs answered with another incarnation. The voters must have
// been known before the poll: an answer that is older than the incarnation of a voter does not
// show that the voter is lost.
func lostVoters(voters []raft.ReplicaID, infos map[core.VMID]*wire.ReplicaInfoResult) []raft.ReplicaID {
	var lost []raft.ReplicaID
	for _, id := range voters {
		if info := infos[id.VM]; info != nil && info.GetIncarnation() != string(id.Incarnation) {
			lost = append(lost, id)
		}
	}
	return lost
}

// polledVMs returns the VMs to poll: those that may have a replica and those whose
// replicas are members.
func (host *Host) polledVMs(replica *Replica) []core.VMID {
	members := replica.Status().Membership
	all := slices.Clone(host.config.candidateVMs())
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		all = append(all, id.VM)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// view returns the input for planning a membership change from the answers to a poll.
// It updates missedPolls.
func (host *Host) view(replica *Replica, infos map[core.VMID]*wire.ReplicaInfoResult) raft.View {
	view := raft.View{
		Self: replica.id(), Present: replicaIDs(infos), Missed: make(map[core.VMID]int),
		Zones: make(map[core.VMID]core.ZoneID), Voters: host.config.Voters,
		MissedBeforeReplacement: missedBeforeReplacement, MissedBeforeSameZoneReplacement: missedBeforeSameZoneReplacement,
	}
	for vm, info := range infos {
		id := raft.ReplicaID{VM: vm, Incarnation: core.Incarnation(info.GetIncarnation())}
		if info.GetEmpty() && info.GetLaterStart() {
			view.Joining = append(view.Joining, id)
		}
		if info.GetCountsLost() {
			view.CountsLost = append(view.CountsLost, id)
		}
	}
	for _, vm := range host.polledVMs(replica) {
		host.missedPolls[vm]++
		if infos[vm] != nil {
			host.missedPolls[vm] = 0
		}
		view.Missed[vm] = host.missedPolls[vm]
		view.Zones[vm] = host.config.Zone(vm)
	}
	return view
}

// reopenFailed reopens a replica after a failed write, for instance on a full disk. It
// does not reopen one after a failed sync, because what the system reads back
// afterwards may not be on the disk, nor one with damaged files.
func (host *Host) reopenFailed(failed *Replica) {
	var damage *wal.DamageError
	err := failed.Err()
	if err == nil || err == ErrStopped || errors.Is(err, wal.ErrSync) || errors.As(err, &damage) { //nolint:errorlint // a closed replica has no further cause
		return
	}
	opened, err := failed.reopen()
	switch {
	case err != nil:
		failed.logger.Warn("Replica not reopened, will retry.", "error", err)
	case opened:
		failed.logger.Info("The replica works again.")
	}
}

func (host *Host) requestInfo(ctx context.Context, vm core.VMID, shard core.ShardID) (*wire.ReplicaInfoResult, error) {
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

// replicaIDs returns the replicas that answered, sorted by VM.
func replicaIDs(infos map[core.VMID]*wire.ReplicaInfoResult) []raft.ReplicaID {
	var ids []raft.ReplicaID
	for vm, info := range infos {
		ids = append(ids, raft.ReplicaID{VM: vm, Incarnation: core.Incarnation(info.GetIncarnation())})
	}
	slices.SortFunc(ids, func(a, b raft.ReplicaID) int { return slices.Compare([]core.VMID{a.VM}, []core.VMID{b.VM}) })
	return ids
}

// initialMembership returns the first membership if every VM with a disk is present
// and empty. If only some disks are empty, they have lost their content, and the other
// replicas continue the existing group.
func (host *Host) initialMembership(infos map[core.VMID]*wire.ReplicaInfoResult) (raft.Membership, bool) {
	for _, vm := range host.config.DiskVMs {
		if info := infos[vm]; info == nil || !info.GetEmpty() {
			return raft.Membership{}, false
		}
	}
	members := raft.NewMembership(replicaIDs(infos)...)
	members.CountsLost = true
	for _, info := range infos {
		members.CountsLost = members.CountsLost && info.GetCountsLost()
	}
	return members, true
}

// info returns the description of the replica that other VMs poll.
func (replica *Replica) info() *wire.ReplicaInfoResult {
	status := replica.status.Load()
	return &wire.ReplicaInfoResult{
		Vm: string(status.ID.VM), Incarnation: string(status.ID.Incarnation), Empty: replica.empty.Load(),
		LeaderVm: string(status.Leader.VM), Term: uint64(status.Term), Commit: uint64(status.Commit),
		LaterStart: replica.config.Restart, CountsLost: true,
	}
}
