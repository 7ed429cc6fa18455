package raft

import "slices"

// Propose appends a command to the log of the leader and returns the index and term of
// its entry. The command is committed if the entry that is committed at that index has
// that term. It returns ErrNotLeader if the node is not the leader.
func (node *Node) Propose(data []byte) (Index, Term, error) {
	node.checkNoPendingReady()
	if node.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return node.appendNew(EntryCommand, data), node.hardState.Term, nil
}

// Confirm sends heartbeats and returns the number of their round. The node was the
// leader at the time of the call if it is still the leader of the same term when
// Status.Confirmed reaches that round. It returns ErrNotLeader if the node is not the
// leader.
func (node *Node) Confirm() (uint64, error) {
	node.checkNoPendingReady()
	if node.role != Leader {
		return 0, ErrNotLeader
	}
	node.heartbeatRound++
	node.sendHeartbeats()
	return node.heartbeatRound, nil
}

// appendNew appends an entry of the current term to the leader's log and returns its
// index.
func (node *Node) appendNew(kind EntryType, data []byte) Index {
	index := node.log.last() + 1
	node.appendEntry(Entry{Index: index, Term: node.hardState.Term, Type: kind, Data: data})
	node.hasUnsentEntries = true
	return index
}

// syncProgress creates the progress of new members and drops that of former members.
func (node *Node) syncProgress() {
	members := node.members()
	current := make(map[ReplicaID]*progress)
	for _, id := range members.all() {
		current[id] = node.progress[id]
		if current[id] == nil {
			current[id] = &progress{next: node.log.last() + 1, recentlyActive: true}
		}
	}
	node.progress = current
}

func (node *Node) sendHeartbeats() {
	for _, id := range node.members().all() {
		if id == node.config.ID {
			continue
		}
		progress := node.progress[id]
		node.send(Message{To: id, Type: Heartbeat, Commit: min(progress.match, node.hardState.Commit), Context: node.heartbeatRound})
	}
}

// sendAppends sends the new entries to each replica that is not blocked by flow control.
func (node *Node) sendAppends() {
	node.hasUnsentEntries = false
	for _, id := range node.members().all() {
		if id != node.config.ID {
			node.sendPending(id)
		}
	}
}

// sendPending sends the entries that were not sent to the replica yet, within the
// limits of flow control.
func (node *Node) sendPending(id ReplicaID) {
	progress := node.progress[id]
	for node.canSend(progress) && progress.next <= node.log.last() {
		if !node.sendAppend(id) {
			return
		}
	}
}

// canSend reports whether flow control allows another message with entries or a
// snapshot.
func (node *Node) canSend(progress *progress) bool {
	switch progress.mode {
	case probing:
		return !progress.awaitingReply
	case streaming:
		return int(progress.next-progress.match) <= node.config.MaxInFlight
	default:
		return progress.snapshotAge > snapshotRetryTimeouts*node.config.ElectionTicks
	}
}

// sendAppend sends one batch, which may be empty, or the snapshot if the log no
// longer holds the entries. It returns false if no further batch may follow now.
func (node *Node) sendAppend(id ReplicaID) bool {
	progress := node.progress[id]
	term, ok := node.log.term(progress.next - 1)
	if !ok || progress.mode == installing {
		node.sendSnapshot(id)
		return false
	}
	entries := node.log.slice(progress.next, node.log.last(), node.config.MaxBatchBytes)
	node.send(Message{To: id, Type: Append, LogIndex: progress.next - 1, LogTerm: term, Commit: node.hardState.Commit, Entries: entries})
	if progress.mode == probing {
		progress.awaitingReply = true
		return false
	}
	progress.next += Index(len(entries))
	return len(entries) > 0
}

func (node *Node) sendSnapshot(id ReplicaID) {
	progress := node.progress[id]
	progress.mode = installing
	progress.pendingSnapshot = node.snapshot.Index
	progress.snapshotAge = 0
	snapshot := node.snapshot
	node.send(Message{To: id, Type: InstallSnapshot, Snapshot: &snapshot})
}

func (node *Node) handleAppendReply(message Message) {
	if node.role != Leader {
		return
	}
	progress := node.progress[message.From]
	if progress == nil {
		return // a former member, or a previous incarnation of a member
	}
	progress.recentlyActive = true
	if message.Reject {
		if progress.mode != installing && progress.reject(message.LogIndex, message.Hint) {
			node.sendAppend(message.From)
		}
		return
	}
	if !progress.acknowledge(message.LogIndex) && progress.mode == streaming {
		return
	}
	node.updateMode(progress)
	node.tryCommit()
	node.sendPending(message.From)
}

// updateMode changes the send mode after an acknowledgement: a probe that succeeded
// starts streaming, and an installed snapshot starts a probe.
func (node *Node) updateMode(progress *progress) {
	switch {
	case progress.mode == probing:
		progress.mode = streaming
		progress.next = progress.match + 1
	case progress.mode == installing && progress.match >= progress.pendingSnapshot:
		progress.becomeProbing()
	}
}

// handleHeartbeatReply records the acknowledged round. If the replica is behind, it
// sends an Append, which may be empty: its reply shows whether earlier messages were
// lost.
func (node *Node) handleHeartbeatReply(message Message) {
	if node.role != Leader {
		return
	}
	progress := node.progress[message.From]
	if progress == nil {
		return
	}
	progress.recentlyActive = true
	progress.ackedRound = max(progress.ackedRound, message.Context)
	progress.awaitingReply = false
	if progress.match >= node.log.last() {
		return
	}
	if progress.mode != installing || node.canSend(progress) {
		node.sendAppend(message.From)
	}
}

// tryCommit advances the commit index to the last entry that a quorum has synced if
// that entry is of the current term: an entry of an earlier term may still be replaced
// by another leader although a quorum holds it.
func (node *Node) tryCommit() {
	for {
		var matches []Index
		for _, record := range node.electorates() {
			for _, voter := range record.members.Voters {
				matches = append(matches, node.matched(voter))
			}
		}
		slices.Sort(matches)
		slices.Reverse(matches)
		last := slices.IndexFunc(matches, func(index Index) bool {
			return index <= node.hardState.Commit || node.canCommit(index)
		})
		if last < 0 || matches[last] <= node.hardState.Commit || !node.log.matches(matches[last], node.hardState.Term) {
			return
		}
		// A committed membership may leave one electorate, in which more is committed.
		node.hardState.Commit = matches[last]
	}
}

// confirmedRound returns the last heartbeat round that a majority of each electorate has replied
// to, or 0 if the node is not the leader.
func (node *Node) confirmedRound() uint64 {
	if node.role != Leader {
		return 0
	}
	confirmed := node.heartbeatRound
	for _, record := range node.electorates() {
		rounds := make([]uint64, 0, len(record.members.Voters))
		for _, voter := range record.members.Voters {
			progress := node.progress[voter]
			switch {
			case voter == node.config.ID:
				rounds = append(rounds, node.heartbeatRound)
			case progress != nil:
				rounds = append(rounds, progress.ackedRound)
			default:
				rounds = append(rounds, 0)
			}
		}
		confirmed = min(confirmed, quorumValue(rounds, record.members.quorum()))
	}
	return confirmed
}
