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

// worker does the work of a replica. One goroutine uses it.
type worker struct {
	replica *Replica
	files   *wal.Log
	node    *raft.Node
	// waiting holds the proposals that are in the log and not applied.
	waiting       map[raft.Index]*proposal
	confirmations []*confirmation
	// entries and bytes count what was applied since the last snapshot.
	entries int
	bytes   core.Bytes
	// saving is closed when the snapshot that is being stored is done; nil if there
	// is none.
	saving chan struct{}
}

// restore makes the node and the state from what was read from disk.
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
	worker.node = raft.New(replica.raftConfig(), restored)
	replica.stateLock.Lock()
	replica.state = state
	replica.stateLock.Unlock()
	for worker.node.HasReady() {
		if err := worker.process(worker.node.Ready()); err != nil {
			return err
		}
		worker.node.Advance()
	}
	worker.publish()
	return nil
}

func (replica *Replica) raftConfig() raft.Config {
	seed := fnv.New64a()
	seed.Write([]byte(replica.id.String()))
	return raft.Config{
		Shard: replica.shard, ID: replica.id, Seed: seed.Sum64(),
		ElectionTicks: replica.config.ElectionTicks, HeartbeatTicks: replica.config.HeartbeatTicks,
	}
}

// run works until the replica is stopped or a write fails.
func (worker *worker) run() {
	replica := worker.replica
	defer close(replica.stopped)
	ticker := time.NewTicker(replica.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-replica.stop:
			worker.end(ErrStopped)
			return
		case <-ticker.C:
			worker.node.Tick()
		case <-replica.queue.signal:
		}
		if err := worker.round(); err != nil {
			replica.logger.Error("The replica stops.", "error", err)
			worker.end(errors.Join(ErrStopped, err))
			return
		}
	}
}

// end answers everything that waits. What is in the log may still be committed by
// the other replicas.
func (worker *worker) end(reason error) {
	replica := worker.replica
	replica.stateLock.Lock()
	replica.failure = reason
	replica.stateLock.Unlock()
	left := replica.queue.close()
	for _, proposal := range left.proposals {
		replica.settle(proposal, answer{err: ErrNotLeader})
	}
	worker.abandon()
	for _, confirmation := range append(worker.confirmations, left.confirmations...) {
		confirmation.done <- ErrStopped
	}
	if worker.saving != nil {
		<-worker.saving
	}
	status := replica.Status()
	status.Role, status.Leader, status.Settled = raft.Follower, raft.ReplicaID{}, false
	replica.status.Store(&status)
	replica.watchers.signal()
}

// abandon answers the proposals in the log of a replica that no longer leads.
func (worker *worker) abandon() {
	for index, proposal := range worker.waiting {
		worker.replica.settle(proposal, answer{err: ErrUncertain})
		delete(worker.waiting, index)
	}
}

// round takes all waiting work and does what follows from it.
func (worker *worker) round() error {
	taken := worker.replica.queue.take()
	if err := worker.found(taken.founding); err != nil {
		return err
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
	for _, id := range taken.joining {
		worker.join(id)
	}
	worker.change(taken.view)
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
	return worker.snapshot()
}

func (worker *worker) propose(proposal *proposal) {
	if proposal.within != 0 && proposal.within != worker.node.Status().Term {
		worker.replica.settle(proposal, answer{err: ErrNotLeader})
		return
	}
	index, term, err := worker.node.Propose(proposal.data)
	if err != nil {
		worker.replica.settle(proposal, answer{err: ErrNotLeader})
		return
	}
	proposal.term = term
	if former := worker.waiting[index]; former != nil {
		// This leader replaced the entry of its former term, so nobody committed it.
		worker.replica.settle(former, answer{err: ErrNotCommitted})
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
	var left []*confirmation
	for _, confirmation := range worker.confirmations {
		switch {
		case status.Role != raft.Leader || status.Term != confirmation.term:
			confirmation.done <- ErrNotLeader
		case status.Settled && status.Confirmed >= confirmation.round:
			confirmation.done <- nil // the round has applied everything committed
		default:
			left = append(left, confirmation)
		}
	}
	worker.confirmations = left
}

// publish makes the state of the node visible to other goroutines.
func (worker *worker) publish() {
	replica := worker.replica
	status := worker.node.Status()
	before := replica.status.Swap(&status)
	replica.empty.Store(worker.node.IsEmpty())
	if status.Role != raft.Leader {
		worker.abandon()
	}
	if before == nil {
		return
	}
	if before.Term != status.Term || before.Role != status.Role || before.Leader != status.Leader {
		replica.logger.Info("The term or the leader changed.", "term", status.Term, "leader", status.Leader.VM)
	}
	if before.Term != status.Term || before.Role != status.Role || before.Leader != status.Leader || before.Applied != status.Applied || before.Settled != status.Settled {
		replica.watchers.signal()
	}
}
