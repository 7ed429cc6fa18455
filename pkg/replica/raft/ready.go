package raft

import "slices"

// Ready is the output of a Node that the caller must process. The package comment
// states the order.
type Ready struct {
	// MessagesBeforeSync are messages that may be sent before the sync.
	MessagesBeforeSync []Message
	// Snapshot, if not nil, replaces the log and the state machine.
	Snapshot *Snapshot
	// HardState must be synced if MustSync is set. Otherwise at most its Commit has
	// changed, and that change may be lost.
	HardState HardState
	MustSync  bool
	// Entries must be synced. They replace all stored entries from the index of the
	// first one on.
	Entries []Entry
	// Messages must be sent after the sync.
	Messages []Message
	// Committed are the entries to apply to the state machine.
	Committed []Entry
}

// HasReady reports whether a call of Ready would return anything to process.
func (node *Node) HasReady() bool {
	return node.hasUnsentEntries || len(node.messages) > 0 || node.pendingSnapshot != nil || node.hardState != node.syncedHardState ||
		node.log.stable < node.log.last() || node.applied < node.hardState.Commit
}

// Ready returns the output that accumulated since the last Advance. Until Advance is
// called, only methods that do not change the node may be called: Status, IsEmpty,
// HasReady and SnapshotAt.
func (node *Node) Ready() Ready {
	node.checkNoPendingReady()
	if node.role == Leader && node.hasUnsentEntries {
		node.sendAppends()
	}
	termOrVoteChanged := node.hardState.Term != node.syncedHardState.Term || node.hardState.Vote != node.syncedHardState.Vote
	ready := Ready{
		Snapshot:  node.pendingSnapshot,
		HardState: node.hardState,
		Entries:   node.log.slice(node.log.stable+1, node.log.last(), int(^uint(0)>>1)),
		Committed: node.log.slice(node.applied+1, node.hardState.Commit, int(^uint(0)>>1)),
	}
	ready.MustSync = termOrVoteChanged || len(ready.Entries) > 0 || ready.Snapshot != nil || node.savesCommit()
	ready.MessagesBeforeSync, ready.Messages = node.splitMessages(termOrVoteChanged)
	node.pendingReady = &ready
	return ready
}

// splitMessages separates the messages that may be sent before the sync from those that
// must follow it. A leader may send entries early, because it counts its own copy only
// after the sync, but not before its term and vote are synced.
func (node *Node) splitMessages(termOrVoteChanged bool) (beforeSync, afterSync []Message) {
	messages := node.messages
	node.messages = nil
	if termOrVoteChanged || node.role != Leader {
		return nil, messages
	}
	for _, message := range messages {
		if message.Type.isFromLeader() {
			beforeSync = append(beforeSync, message)
		} else {
			afterSync = append(afterSync, message)
		}
	}
	return beforeSync, afterSync
}

// Advance tells the node that the last Ready has been processed. It panics if there is
// none.
func (node *Node) Advance() {
	ready := node.pendingReady
	if ready == nil {
		panic(errNoReady)
	}
	node.pendingReady = nil
	node.pendingSnapshot = nil
	node.syncedHardState = ready.HardState
	node.log.stable = node.log.last()
	node.applied = max(node.applied, ready.HardState.Commit)
	if node.role != Leader {
		return
	}
	if self := node.progress[node.config.ID]; self != nil {
		self.match = node.log.stable
		self.next = self.match + 1
	}
	node.tryCommit()
	node.stepDownIfRemoved()
}

// Compact tells the node that a snapshot of the state machine at index was stored, and
// discards entries that are no longer needed. It returns the snapshot without data, and
// false if the node has a snapshot at that index or a later one. It panics if index is
// not applied.
func (node *Node) Compact(index Index) (Snapshot, bool) {
	node.checkNoPendingReady()
	if index > node.applied {
		panic(errCompactUnapplied)
	}
	snapshot, ok := node.SnapshotAt(index)
	if !ok {
		return Snapshot{}, false
	}
	node.snapshot = snapshot
	firstKept := node.effectiveMembership(index).index
	node.memberships = slices.DeleteFunc(node.memberships, func(record membershipRecord) bool { return record.index < firstKept })
	if keep := Index(node.config.KeepEntries); index > keep {
		node.log.compact(index - keep)
	}
	return snapshot, true
}

// SnapshotAt returns the snapshot without data for an applied index. It returns false
// if the node has a snapshot at that index or a later one.
func (node *Node) SnapshotAt(index Index) (Snapshot, bool) {
	term, ok := node.log.term(index)
	if !ok || index <= node.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: node.effectiveMembership(index).members}, true
}

// effectiveMembership returns the membership in effect at index.
func (node *Node) effectiveMembership(index Index) membershipRecord {
	effective := node.memberships[0]
	for _, record := range node.memberships {
		if record.index <= index {
			effective = record
		}
	}
	return effective
}
