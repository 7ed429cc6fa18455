package host

import (
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// process handles a Ready in the order that package raft requires.
func (worker *worker) process(ready raft.Ready) error {
	if err := worker.send(ready.MessagesBeforeSync); err != nil {
		return err
	}
	if err := worker.save(ready); err != nil {
		return err
	}
	if err := worker.send(ready.Messages); err != nil {
		return err
	}
	worker.apply(ready.Committed)
	return nil
}

func (worker *worker) save(ready raft.Ready) error {
	if ready.Snapshot != nil {
		return worker.installSnapshot(ready)
	}
	if !ready.MustSync {
		return nil
	}
	return worker.files.Save(ready.HardState, ready.Entries)
}

// installSnapshot replaces the log and the state by a snapshot of the leader.
func (worker *worker) installSnapshot(ready raft.Ready) error {
	snapshot := *ready.Snapshot
	state, err := ledger.Decode(worker.replica.config.Limits, snapshot.Data)
	if err != nil {
		return errors.Wrapf(err, "snapshot %d of the leader", snapshot.Index)
	}
	if worker.snapshotDone != nil {
		<-worker.snapshotDone // both snapshots may have the same file name
	}
	if err := worker.files.SaveSnapshot(snapshot); err != nil {
		return err
	}
	if err := worker.files.Reset(ready.HardState, snapshot); err != nil {
		return err
	}
	worker.state = state
	worker.replica.stateLock.Lock()
	worker.showState()
	worker.replica.stateLock.Unlock()
	worker.entries, worker.bytes = 0, 0
	worker.replica.logger.Info("Installed a snapshot of the leader.", "index", snapshot.Index)
	if len(ready.Entries) == 0 {
		return nil
	}
	return worker.files.Save(ready.HardState, ready.Entries)
}

// send sends messages, grouped by VM. It reads the data of a snapshot from disk.
func (worker *worker) send(messages []raft.Message) error {
	grouped := make(map[core.VMID][]raft.Message)
	for _, message := range messages {
		if message.Type == raft.InstallSnapshot {
			snapshot, ok, err := worker.files.Snapshot()
			if err != nil {
				return err
			}
			if !ok {
				continue
			}
			message.Snapshot = &snapshot
		}
		grouped[message.To.VM] = append(grouped[message.To.VM], message)
	}
	for vm, group := range grouped {
		worker.replica.transport.Send(vm, group)
	}
	return nil
}

// apply applies committed entries and answers their proposals.
func (worker *worker) apply(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	results := make([]ledger.Result, len(entries))
	commands := make([]ledger.Command, len(entries))
	for i, entry := range entries {
		if entry.Type != raft.EntryCommand {
			continue
		}
		command, err := ledger.DecodeCommand(entry.Data)
		if err != nil {
			worker.replica.logger.Error("A committed command cannot be decoded.", "index", entry.Index, "error", err)
		}
		commands[i] = command
	}
	worker.replica.stateLock.Lock()
	for i, entry := range entries {
		if entry.Type == raft.EntryCommand {
			results[i] = worker.state.Apply(uint64(entry.Index), commands[i])
		}
	}
	worker.showState()
	worker.replica.stateLock.Unlock()
	for i, entry := range entries {
		worker.finishAt(entry, results[i])
		worker.bytes += core.Bytes(len(entry.Data))
	}
	worker.entries += len(entries)
}

// finishAt answers the proposal at the index of entry: with the result, or with
// ErrNotCommitted if the entry is of another term and replaced the proposal in the
// log.
func (worker *worker) finishAt(entry raft.Entry, result ledger.Result) {
	proposal := worker.waiting[entry.Index]
	if proposal == nil {
		return
	}
	delete(worker.waiting, entry.Index)
	if proposal.term != entry.Term {
		worker.replica.finish(proposal, proposalResult{err: ErrNotCommitted})
		return
	}
	worker.replica.finish(proposal, proposalResult{result: result})
}

// startSnapshot stores the state once the log has grown enough. A view of the state is taken
// here, between two iterations. Another goroutine encodes and writes it, which takes
// over 1 s for 200,000 claims; the worker would miss an election timeout during that
// time.
func (worker *worker) startSnapshot() error {
	config := worker.replica.config
	due := worker.entries >= config.SnapshotEntries || worker.bytes >= config.SnapshotBytes
	if !due || worker.snapshotDone != nil {
		return nil
	}
	snapshot, ok := worker.node.SnapshotAt(worker.node.Status().Applied)
	if !ok {
		return nil
	}
	state := worker.state.Snapshot() // only the worker changes the state
	worker.entries, worker.bytes = 0, 0
	done := make(chan struct{})
	worker.snapshotDone = done
	go func() {
		saved := &savedSnapshot{index: snapshot.Index, err: worker.writeSnapshot(snapshot, state)}
		// A worker that stops waits for done, so that its successor does not get the outcome.
		worker.replica.queue.put(func(waiting *pendingWork) { waiting.saved = saved })
		close(done)
	}()
	return nil
}

// writeSnapshot encodes and stores a snapshot. It runs concurrently with the worker.
func (worker *worker) writeSnapshot(snapshot raft.Snapshot, state ledger.Snapshot) error {
	data, err := state.Encode()
	if err != nil {
		return err
	}
	snapshot.Data = data
	return worker.files.SaveSnapshot(snapshot)
}

// compact removes the part of the log that a stored snapshot replaces.
func (worker *worker) compact(saved *savedSnapshot) error {
	if saved == nil {
		return nil
	}
	worker.snapshotDone = nil
	if saved.err != nil {
		return saved.err
	}
	if _, ok := worker.node.Compact(saved.index); !ok {
		return nil // a snapshot of the leader was installed in the meantime
	}
	return worker.files.Compact(saved.index)
}
