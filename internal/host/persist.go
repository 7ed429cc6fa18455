package host

import (
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// process does the work of a Ready in the order that package raft demands.
func (worker *worker) process(ready raft.Ready) error {
	if err := worker.send(ready.Early); err != nil {
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
		return worker.install(ready)
	}
	if !ready.MustSync {
		return nil
	}
	return worker.files.Save(ready.HardState, ready.Entries)
}

// install replaces log and state by a snapshot of the leader.
func (worker *worker) install(ready raft.Ready) error {
	snapshot := *ready.Snapshot
	state, err := ledger.Decode(worker.replica.config.Limits, snapshot.Data)
	if err != nil {
		return errors.Wrapf(err, "snapshot %d of the leader", snapshot.Index)
	}
	if worker.saving != nil {
		<-worker.saving // two snapshots may have the same name
	}
	if err := worker.files.SaveSnapshot(snapshot); err != nil {
		return err
	}
	if err := worker.files.Reset(ready.HardState, snapshot); err != nil {
		return err
	}
	worker.replica.stateLock.Lock()
	worker.replica.state = state
	worker.replica.stateLock.Unlock()
	worker.entries, worker.bytes = 0, 0
	worker.replica.logger.Info("Installed a snapshot of the leader.", "index", snapshot.Index)
	if len(ready.Entries) == 0 {
		return nil
	}
	return worker.files.Save(ready.HardState, ready.Entries)
}

// send groups messages by VM. A snapshot gets its data from disk.
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
			results[i] = worker.replica.state.Apply(uint64(entry.Index), commands[i])
		}
	}
	worker.replica.stateLock.Unlock()
	for i, entry := range entries {
		worker.answer(entry, results[i])
		worker.bytes += core.Bytes(len(entry.Data))
	}
	worker.entries += len(entries)
}

// answer gives a proposal its result, or tells it that another leader's entry took
// its place in the log.
func (worker *worker) answer(entry raft.Entry, result ledger.Result) {
	proposal := worker.waiting[entry.Index]
	if proposal == nil {
		return
	}
	delete(worker.waiting, entry.Index)
	if proposal.term != entry.Term {
		worker.replica.settle(proposal, answer{err: ErrNotCommitted})
		return
	}
	worker.replica.settle(proposal, answer{result: result})
}

// snapshot stores the state once the log has grown enough. The state is frozen
// here, between two rounds. Another goroutine encodes and writes it: that takes over
// 1 s for 200,000 claims, in which the worker would miss an election timeout.
func (worker *worker) snapshot() error {
	config := worker.replica.config
	due := worker.entries >= config.SnapshotEntries || worker.bytes >= config.SnapshotBytes
	if !due || worker.saving != nil {
		return nil
	}
	snapshot, ok := worker.node.SnapshotAt(worker.node.Status().Applied)
	if !ok {
		return nil
	}
	frozen := worker.replica.state.Freeze() // the worker alone changes the state
	worker.entries, worker.bytes = 0, 0
	done := make(chan struct{})
	worker.saving = done
	go func() {
		saved := &savedSnapshot{index: snapshot.Index, err: worker.store(snapshot, frozen)}
		close(done)
		worker.replica.queue.put(func(waiting *work) { waiting.saved = saved })
	}()
	return nil
}

// store runs beside the worker.
func (worker *worker) store(snapshot raft.Snapshot, frozen ledger.Frozen) error {
	data, err := frozen.Encode()
	if err != nil {
		return err
	}
	snapshot.Data = data
	return worker.files.SaveSnapshot(snapshot)
}

// compact forgets the part of the log that a stored snapshot replaces.
func (worker *worker) compact(saved *savedSnapshot) error {
	if saved == nil {
		return nil
	}
	worker.saving = nil
	if saved.err != nil {
		return saved.err
	}
	if _, ok := worker.node.Compact(saved.index); !ok {
		return nil // a snapshot of the leader came in between
	}
	return worker.files.Compact(saved.index)
}
