package raft

import "slices"

// Ready is work for the user of a Node; see the package comment for its order.
type Ready struct {
	// Early are messages that do not depend on what is to be synced.
	Early []Message
	// Snapshot, if set, replaces the log and the state machine.
	Snapshot *Snapshot
	// HardState is to be synced if MustSync is set. Otherwise only its Commit has
	// changed, which may be lost.
	HardState HardState
	MustSync  bool
	// Entries are to be synced. They replace entries with the same or a larger
	// index.
	Entries []Entry
	// Messages are to be sent after the sync.
	Messages []Message
	// Committed are entries to apply.
	Committed []Entry
}

// HasReady reports whether Ready has work.
func (node *Node) HasReady() bool {
	return node.unsent || len(node.messages) > 0 || node.install != nil || node.hard != node.synced ||
		node.log.stable < node.log.last() || node.applied < node.hard.Commit
}

// Ready returns the work that came up since the last Advance. No other method may
// be called before Advance, except Status.
func (node *Node) Ready() Ready {
	node.checkIdle()
	if node.role == Leader && node.unsent {
		node.sendAppends()
	}
	voted := node.hard.Term != node.synced.Term || node.hard.Vote != node.synced.Vote
	ready := Ready{
		Snapshot:  node.install,
		HardState: node.hard,
		Entries:   node.log.between(node.log.stable+1, node.log.last(), int(^uint(0)>>1)),
		Committed: node.log.between(node.applied+1, node.hard.Commit, int(^uint(0)>>1)),
	}
	ready.MustSync = voted || len(ready.Entries) > 0 || ready.Snapshot != nil
	ready.Early, ready.Messages = node.split(voted)
	node.pending = &ready
	return ready
}

// split separates the messages that may be sent before the sync. A leader's
// entries may: it counts itself only after the sync. Its term may not.
func (node *Node) split(voted bool) (early, late []Message) {
	messages := node.messages
	node.messages = nil
	if voted || node.role != Leader {
		return nil, messages
	}
	for _, message := range messages {
		if message.Type.fromLeader() {
			early = append(early, message)
		} else {
			late = append(late, message)
		}
	}
	return early, late
}

// Advance tells the node that the work of the last Ready is done.
func (node *Node) Advance() {
	ready := node.pending
	if ready == nil {
		panic(errNoReady)
	}
	node.pending = nil
	node.install = nil
	node.synced = ready.HardState
	node.log.stable = node.log.last()
	node.applied = max(node.applied, ready.HardState.Commit)
	if node.role != Leader {
		return
	}
	if own := node.progress[node.config.ID]; own != nil {
		own.match = node.log.stable
		own.next = own.match + 1
	}
	node.tryCommit()
	node.stepDownIfRemoved()
}

// Compact tells the node that the state machine was stored at an applied index.
// It returns the snapshot without data, and false if there is a later one.
func (node *Node) Compact(index Index) (Snapshot, bool) {
	node.checkIdle()
	if index > node.applied {
		panic(errCompactUnapplied)
	}
	snapshot, ok := node.SnapshotAt(index)
	if !ok {
		return Snapshot{}, false
	}
	node.snapshot = snapshot
	inForce := node.membershipBefore(index).index
	node.history = slices.DeleteFunc(node.history, func(at membershipAt) bool { return at.index < inForce })
	if keep := Index(node.config.KeepEntries); index > keep {
		node.log.compact(index - keep)
	}
	return snapshot, true
}

// SnapshotAt describes a snapshot at an applied index. It returns false if the
// node has a later one.
func (node *Node) SnapshotAt(index Index) (Snapshot, bool) {
	term, ok := node.log.term(index)
	if !ok || index <= node.snapshot.Index {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: node.membershipBefore(index).members}, true
}

// membershipBefore returns the membership in force at index.
func (node *Node) membershipBefore(index Index) membershipAt {
	found := node.history[0]
	for _, at := range node.history {
		if at.index <= index {
			found = at
		}
	}
	return found
}
