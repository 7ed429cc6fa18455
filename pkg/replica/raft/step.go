package raft

// Step processes a message from another replica. It ignores messages to another
// incarnation. A message of a lower term does not change the log, but may be answered.
func (node *Node) Step(message Message) {
	node.checkNoPendingReady()
	if message.To != node.config.ID || message.From == node.config.ID {
		return
	}
	if message.Term > node.hardState.Term && !node.handleHigherTerm(message) {
		return
	}
	if message.Term < node.hardState.Term {
		node.replyToLowerTerm(message)
		return
	}
	node.dispatch(message)
}

// handleHigherTerm processes the term of a message whose term is higher than the
// current one. It returns false if the message must be ignored.
func (node *Node) handleHigherTerm(message Message) bool {
	switch message.Type {
	case PreVote, Vote:
		if node.hasActiveLeader() {
			return false
		}
		if message.Type == PreVote {
			return true
		}
	case PreVoteReply:
		if !message.Reject {
			return true // a granted pre-vote carries the term of the election that would follow
		}
	}
	leader := ReplicaID{}
	if message.Type.isFromLeader() {
		leader = message.From
	}
	node.becomeFollower(message.Term, leader)
	return true
}

// hasActiveLeader reports whether this replica received a message from a leader within
// the minimum election timeout. Vote requests are then ignored, so that a replica that
// was partitioned cannot depose that leader.
func (node *Node) hasActiveLeader() bool {
	return !node.leader.IsZero() && node.electionElapsed < node.config.ElectionTicks
}

// replyToLowerTerm informs the sender of a message with a lower term of the current
// term.
func (node *Node) replyToLowerTerm(message Message) {
	switch {
	case message.Type.isFromLeader():
		node.send(Message{To: message.From, Type: AppendReply, Reject: true, LogIndex: message.LogIndex, Hint: node.log.last()})
	case message.Type == PreVote:
		node.send(Message{To: message.From, Type: PreVoteReply, Reject: true})
	}
}

func (node *Node) dispatch(message Message) {
	switch message.Type {
	case PreVote, Vote:
		node.handleVoteRequest(message)
	case PreVoteReply:
		node.countVote(message, PreCandidate)
	case VoteReply:
		node.countVote(message, Candidate)
	case Append, Heartbeat, InstallSnapshot:
		node.handleLeaderMessage(message)
	case AppendReply:
		node.handleAppendReply(message)
	case HeartbeatReply:
		node.handleHeartbeatReply(message)
	}
}

// handleLeaderMessage processes a message from the leader of the current term.
func (node *Node) handleLeaderMessage(message Message) {
	if node.role == Leader {
		return // cannot happen between correct replicas: a term has one leader
	}
	if node.role != Follower || node.leader != message.From {
		node.becomeFollower(message.Term, message.From)
	}
	node.electionElapsed = 0
	switch message.Type {
	case Append:
		node.handleAppend(message)
	case Heartbeat:
		node.commitTo(min(message.Commit, node.log.last()))
		node.send(Message{To: message.From, Type: HeartbeatReply, Context: message.Context})
	case InstallSnapshot:
		node.handleSnapshot(message)
	}
}

func (node *Node) handleAppend(message Message) {
	reply := Message{To: message.From, Type: AppendReply}
	if message.LogIndex < node.hardState.Commit {
		reply.LogIndex = node.hardState.Commit
		node.send(reply)
		return
	}
	if !node.log.matches(message.LogIndex, message.LogTerm) {
		reply.Reject = true
		reply.LogIndex = message.LogIndex
		reply.Hint = node.conflictHint(message)
		node.send(reply)
		return
	}
	node.mergeEntries(message.Entries)
	reply.LogIndex = message.LogIndex + Index(len(message.Entries))
	node.commitTo(min(message.Commit, reply.LogIndex))
	node.send(reply)
}

// conflictHint returns the largest index before the rejected one at which the log may
// match the leader's. It skips entries whose term is higher than that of the leader's
// preceding entry: they cannot match.
func (node *Node) conflictHint(message Message) Index {
	index := min(node.log.last(), message.LogIndex-1)
	for index > node.log.base {
		term, ok := node.log.term(index)
		if !ok || term <= message.LogTerm {
			break
		}
		index--
	}
	return index
}

// mergeEntries appends the entries that the log does not hold, after it has truncated
// the log at the first entry that conflicts with them.
func (node *Node) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		if node.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= node.log.last() {
			node.truncateFrom(entry.Index)
		}
		node.appendEntry(entry)
	}
}

// truncateFrom removes the entry at index and all later entries, together with the
// memberships that they set. It panics if the entry is committed.
func (node *Node) truncateFrom(index Index) {
	if index <= node.hardState.Commit {
		panic(errCommittedTruncated)
	}
	node.log.truncateFrom(index)
	for node.memberships[len(node.memberships)-1].index >= index {
		node.memberships = node.memberships[:len(node.memberships)-1]
	}
}

func (node *Node) commitTo(index Index) {
	node.hardState.Commit = max(node.hardState.Commit, index)
}

func (node *Node) handleSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}
	reply := Message{To: message.From, Type: AppendReply}
	switch {
	case snapshot.Index <= node.hardState.Commit:
		reply.LogIndex = node.hardState.Commit
	case node.log.matches(snapshot.Index, snapshot.Term):
		node.commitTo(snapshot.Index)
		reply.LogIndex = snapshot.Index
	default:
		node.installSnapshot(*snapshot)
		reply.LogIndex = snapshot.Index
	}
	node.send(reply)
}

// installSnapshot replaces the log by a snapshot and returns it in the next Ready.
func (node *Node) installSnapshot(snapshot Snapshot) {
	node.pendingSnapshot = &snapshot
	node.snapshot = snapshot
	node.snapshot.Data = nil
	node.log.reset(snapshot.Index, snapshot.Term)
	node.hardState.Commit = snapshot.Index
	node.applied = snapshot.Index
	node.memberships = []membershipRecord{{snapshot.Index, snapshot.Membership}}
}
