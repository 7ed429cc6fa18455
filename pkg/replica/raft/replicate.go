package raft

// Propose appends a command to the log of the leader. The command is committed
// when the entry at the returned index has the returned term.
func (node *Node) Propose(data []byte) (Index, Term, error) {
	node.checkIdle()
	if node.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return node.append(EntryCommand, data), node.hard.Term, nil
}

// Confirm starts a round of heartbeats. The node led at the time of the call if it
// still leads the same term when Status.Confirmed reaches the returned round.
func (node *Node) Confirm() (uint64, error) {
	node.checkIdle()
	if node.role != Leader {
		return 0, ErrNotLeader
	}
	node.round++
	node.sendHeartbeats()
	return node.round, nil
}

func (node *Node) append(kind EntryType, data []byte) Index {
	index := node.log.last() + 1
	node.add(Entry{Index: index, Term: node.hard.Term, Type: kind, Data: data})
	node.unsent = true
	return index
}

// syncProgress gives every member a progress and drops those of former members.
func (node *Node) syncProgress() {
	members := node.members()
	known := make(map[ReplicaID]*progress)
	for _, id := range members.all() {
		known[id] = node.progress[id]
		if known[id] == nil {
			known[id] = &progress{next: node.log.last() + 1, active: true}
		}
	}
	node.progress = known
}

func (node *Node) sendHeartbeats() {
	for _, id := range node.members().all() {
		if id == node.config.ID {
			continue
		}
		progress := node.progress[id]
		node.send(Message{To: id, Type: Heartbeat, Commit: min(progress.match, node.hard.Commit), Context: node.round})
	}
}

// sendAppends sends new entries to every replica that can take them.
func (node *Node) sendAppends() {
	node.unsent = false
	for _, id := range node.members().all() {
		if id != node.config.ID {
			node.sendNew(id)
		}
	}
}

// sendNew sends the entries that the replica was not sent yet.
func (node *Node) sendNew(id ReplicaID) {
	progress := node.progress[id]
	for node.canSend(progress) && progress.next <= node.log.last() {
		if !node.sendAppend(id) {
			return
		}
	}
}

func (node *Node) canSend(progress *progress) bool {
	switch progress.mode {
	case probing:
		return !progress.waiting
	case streaming:
		return int(progress.next-progress.match) <= node.config.MaxInFlight
	default:
		return progress.age > snapshotRetryTimeouts*node.config.ElectionTicks
	}
}

// sendAppend sends one batch, which may be empty, or the snapshot if the log no
// longer holds the entries. It returns false if nothing more can be sent now.
func (node *Node) sendAppend(id ReplicaID) bool {
	progress := node.progress[id]
	term, ok := node.log.term(progress.next - 1)
	if !ok || progress.mode == installing {
		node.sendSnapshot(id)
		return false
	}
	entries := node.log.between(progress.next, node.log.last(), node.config.MaxBatchBytes)
	node.send(Message{To: id, Type: Append, LogIndex: progress.next - 1, LogTerm: term, Commit: node.hard.Commit, Entries: entries})
	if progress.mode == probing {
		progress.waiting = true
		return false
	}
	progress.next += Index(len(entries))
	return len(entries) > 0
}

func (node *Node) sendSnapshot(id ReplicaID) {
	progress := node.progress[id]
	progress.mode = installing
	progress.snapshot = node.snapshot.Index
	progress.age = 0
	snapshot := node.snapshot
	node.send(Message{To: id, Type: InstallSnapshot, Snapshot: &snapshot})
}

func (node *Node) handleAppendReply(message Message) {
	if node.role != Leader {
		return
	}
	progress := node.progress[message.From]
	if progress == nil {
		return // a former member, or a former incarnation of one
	}
	progress.active = true
	if message.Reject {
		if progress.mode != installing && progress.reject(message.LogIndex, message.Hint) {
			node.sendAppend(message.From)
		}
		return
	}
	if !progress.accept(message.LogIndex) && progress.mode == streaming {
		return
	}
	node.advanceMode(progress)
	node.tryCommit()
	node.sendNew(message.From)
}

func (node *Node) advanceMode(progress *progress) {
	switch {
	case progress.mode == probing:
		progress.mode = streaming
		progress.next = progress.match + 1
	case progress.mode == installing && progress.match >= progress.snapshot:
		progress.probe()
	}
}

// handleHeartbeatReply sends again what may have been lost: an empty append shows
// whether the replica holds everything that was sent.
func (node *Node) handleHeartbeatReply(message Message) {
	if node.role != Leader {
		return
	}
	progress := node.progress[message.From]
	if progress == nil {
		return
	}
	progress.active = true
	progress.round = max(progress.round, message.Context)
	progress.waiting = false
	if progress.match >= node.log.last() {
		return
	}
	if progress.mode != installing || node.canSend(progress) {
		node.sendAppend(message.From)
	}
}

// tryCommit commits what a majority has synced, but counts replicas only for
// entries of the own term: an entry of an earlier term on a majority may still be
// replaced by another leader.
func (node *Node) tryCommit() {
	members := node.members()
	matches := make([]Index, 0, len(members.Voters))
	for _, voter := range members.Voters {
		matches = append(matches, node.progress[voter].match)
	}
	index := quorumValue(matches, members.quorum())
	if index <= node.hard.Commit || !node.log.matches(index, node.hard.Term) {
		return
	}
	node.hard.Commit = index
}

func (node *Node) confirmed() uint64 {
	if node.role != Leader {
		return 0
	}
	members := node.members()
	rounds := make([]uint64, 0, len(members.Voters))
	for _, voter := range members.Voters {
		if voter == node.config.ID {
			rounds = append(rounds, node.round)
			continue
		}
		rounds = append(rounds, node.progress[voter].round)
	}
	return quorumValue(rounds, members.quorum())
}
