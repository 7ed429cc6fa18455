package host

import (
	"hash/fnv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// worker processes the work of a replica. Only one goroutine uses it.
type worker struct {
	replica *Replica
	files   *wal.Log
	node    *raft.Node
	// state is the state of the replica. Other goroutines see it under its lock once showState
	// was called.
	state *ledger.State
	// waiting holds the proposals that are in the log but not applied yet.
	waiting       map[raft.Index]*proposal
	confirmations []*confirmation
	// view is the result of the last poll of the VMs while it asks for changes of the
	// membership, and nil otherwise.
	view *raft.View
	// entries and bytes count what was applied since the last snapshot.
	entries int
	bytes   core.Bytes
	// snapshotDone is closed when the snapshot that is being stored is complete; it is
	// nil if there is none.
	snapshotDone chan struct{}
}

// restore sets the node and the state to what was read from disk.
func (worker *worker) restore(restored raft.Restored) error {
	replica := worker.replica
	state := ledger.New(replica.config.Limits)
	if len(restored.Snapshot.Data) > 0 {
		decoded, err := ledger.Decode(replica.config.Limits, restored.Snapshot.Data)
		if err != nil {
			return errors.Wrapf(err, "snapshot %d", restored.Snapshot.Index)
		}
		state = decoded
	}
	worker.node = raft.New(worker.raftConfig(), restored)
	worker.state = state
	for worker.node.HasReady() {
		if err := worker.process(worker.node.Ready()); err != nil {
			return err
		}
		worker.node.Advance()
	}
	replica.stateLock.Lock()
	worker.showState()
	replica.stateLock.Unlock()
	worker.publish()
	return nil
}

// showState shows the state to other goroutines, unless they have seen a later one: the commit
// index on disk may be lower than what was applied before the replica was opened again. The
// caller holds the lock of the state.
func (worker *worker) showState() {
	shown := worker.replica.state
	if shown == nil || shown.Applied() <= worker.state.Applied() {
		worker.replica.state = worker.state
	}
}

func (worker *worker) raftConfig() raft.Config {
	replica := worker.replica
	id := raft.ReplicaID{VM: replica.config.VM, Incarnation: worker.files.Incarnation()}
	seed := fnv.New64a()
	seed.Write([]byte(id.String()))
	return raft.Config{
		Shard: replica.shard, ID: id, Seed: seed.Sum64(),
		ElectionTicks: replica.config.ElectionTicks, HeartbeatTicks: replica.config.HeartbeatTicks,
	}
}

// run processes work until the replica is stopped or a write fails.
func (worker *worker) run() {
	replica := worker.replica
	ticker := time.NewTicker(replica.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-replica.stop:
			worker.shutDown(ErrStopped)
			return
		case <-ticker.C:
			worker.node.Tick()
		case <-replica.queue.signal:
		}
		if err := worker.runIteration(); err != nil {
			replica.logger.Error("The replica stops.", "error", err)
			worker.shutDown(errors.Join(ErrStopped, err))
			return
		}
	}
}

// shutDown answers all waiting proposals and confirmations. The other replicas may
// still commit proposals that are in the log.
func (worker *worker) shutDown(reason error) {
	replica := worker.replica
	replica.stateLock.Lock()
	replica.failure = reason
	replica.stateLock.Unlock()
	remaining := replica.queue.close()
	for _, proposal := range remaining.proposals {
		replica.finish(proposal, proposalResult{err: ErrNotLeader})
	}
	worker.failWaitingProposals()
	for _, confirmation := range append(worker.confirmations, remaining.confirmations...) {
		confirmation.done <- ErrStopped
	}
	if worker.snapshotDone != nil {
		<-worker.snapshotDone
	}
	status := replica.Status()
	status.Role, status.Leader, status.CommittedInTerm = raft.Follower, raft.ReplicaID{}, false
	replica.status.Store(&status)
	replica.subscribers.signal()
}

// failWaitingProposals answers the proposals in the log of a replica that does not
// lead any more with ErrUncertain.
func (worker *worker) failWaitingProposals() {
	for index, proposal := range worker.waiting {
		worker.replica.finish(proposal, proposalResult{err: ErrUncertain})
		delete(worker.waiting, index)
	}
}

// runIteration processes all queued work and the Ready states that result from it.
func (worker *worker) runIteration() error {
	taken := worker.replica.queue.take()
	for _, id := range taken.lost {
		if worker.node.MarkLost(id) {
			worker.replica.logger.Info("A voter has lost its disk.", "replica", id.String())
		}
	}
	for _, message := range taken.messages {
		worker.node.Step(message)
	}
	for _, proposal := range taken.proposals {
		worker.propose(proposal)
	}
	for _, confirmation := range taken.confirmations {
		worker.confirm(confirmation)
	}
	worker.changeMembership(taken.view)
	// Nothing may fail before all proposals and confirmations are in the worker's tables or
	// answered: shutDown answers only those.
	if err := worker.bootstrap(taken.initial); err != nil {
		return err
	}
	if err := worker.compact(taken.saved); err != nil {
		return err
	}
	for worker.node.HasReady() {
		if err := worker.process(worker.node.Ready()); err != nil {
			return err
		}
		worker.node.Advance()
	}
	worker.publish()
	worker.answerConfirmations()
	return worker.startSnapshot()
}

func (worker *worker) propose(proposal *proposal) {
	if proposal.requiredTerm != 0 && proposal.requiredTerm != worker.node.Status().Term {
		worker.replica.finish(proposal, proposalResult{err: ErrNotLeader})
		return
	}
	index, term, err := worker.node.Propose(proposal.data)
	if err != nil {
		worker.replica.finish(proposal, proposalResult{err: ErrNotLeader})
		return
	}
	proposal.term = term
	if replaced := worker.waiting[index]; replaced != nil {
		// This leader replaced its own entry of an earlier term, so that entry was
		// never committed.
		worker.replica.finish(replaced, proposalResult{err: ErrNotCommitted})
	}
	worker.waiting[index] = proposal
}

func (worker *worker) confirm(confirmation *confirmation) {
	round, err := worker.node.Confirm()
	if err != nil {
		confirmation.done <- ErrNotLeader
		return
	}
	confirmation.round = round
	confirmation.term = worker.node.Status().Term
	worker.confirmations = append(worker.confirmations, confirmation)
}

func (worker *worker) answerConfirmations() {
	if len(worker.confirmations) == 0 {
		return
	}
	status := worker.node.Status()
	var remaining []*confirmation
	for _, confirmation := range worker.confirmations {
		switch {
		case status.Role != raft.Leader || status.Term != confirmation.term:
			confirmation.done <- ErrNotLeader
		case status.CommittedInTerm && status.Confirmed >= confirmation.round:
			confirmation.done <- nil // everything committed before the call is applied
		default:
			remaining = append(remaining, confirmation)
		}
	}
	worker.confirmations = remaining
}

// publish makes the state of the node visible to other goroutines.
func (worker *worker) publish() {
	replica := worker.replica
	status := worker.node.Status()
	previous := replica.status.Swap(&status)
	replica.empty.Store(worker.node.IsEmpty())
	if status.Role != raft.Leader {
		worker.failWaitingProposals()
	}
	if previous == nil {
		return
	}
	if previous.Term != status.Term || previous.Role != status.Role || previous.Leader != status.Leader {
		replica.logger.Info("Term or leader changed.", "term", status.Term, "leader", status.Leader.VM)
	}
	if previous.Term != status.Term || previous.Role != status.Role || previous.Leader != status.Leader || previous.Applied != status.Applied || previous.CommittedInTerm != status.CommittedInTerm {
		replica.subscribers.signal()
	}
}
