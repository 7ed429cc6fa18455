package raft

// Step handles a message from another replica. Messages to another incarnation
// and messages of an old term have no effect on the log.
func (node *Node) Step(message Message) {
	node.checkIdle()
	if message.To != node.config.ID || message.From == node.config.ID {
		return
	}
	if message.Term > node.hard.Term && !node.meetLaterTerm(message) {
		return
	}
	if message.Term < node.hard.Term {
		node.answerEarlierTerm(message)
		return
	}
	node.dispatch(message)
}

// meetLaterTerm returns false if the message is to be ignored.
func (node *Node) meetLaterTerm(message Message) bool {
	switch message.Type {
	case PreVote, Vote:
		if node.hearsLeader() {
			return false
		}
		if message.Type == PreVote {
			return true
		}
	case PreVoteReply:
		if !message.Reject {
			return true // a granted pre-vote names the term of the coming election
		}
	}
	leader := ReplicaID{}
	if message.Type.fromLeader() {
		leader = message.From
	}
	node.becomeFollower(message.Term, leader)
	return true
}

// hearsLeader reports whether there is a leader that this replica heard within an
// election timeout. A replica that was cut off cannot depose that leader.
func (node *Node) hearsLeader() bool {
	return !node.leader.IsZero() && node.elapsed < node.config.ElectionTicks
}

// answerEarlierTerm lets the sender learn that a later term has started.
func (node *Node) answerEarlierTerm(message Message) {
	switch {
	case message.Type.fromLeader():
		node.send(Message{To: message.From, Type: AppendReply, Reject: true, LogIndex: message.LogIndex, Hint: node.log.last()})
	case message.Type == PreVote:
		node.send(Message{To: message.From, Type: PreVoteReply, Reject: true})
	}
}

func (node *Node) dispatch(message Message) {
	switch message.Type {
	case PreVote, Vote:
		node.answerVote(message)
	case PreVoteReply:
		node.countVote(message, PreCandidate)
	case VoteReply:
		node.countVote(message, Candidate)
	case Append, Heartbeat, InstallSnapshot:
		node.follow(message)
	case AppendReply:
		node.handleAppendReply(message)
	case HeartbeatReply:
		node.handleHeartbeatReply(message)
	}
}

// follow handles a message of the leader of the term.
func (node *Node) follow(message Message) {
	if node.role == Leader {
		return // impossible between correct replicas: one leader a term
	}
	if node.role != Follower || node.leader != message.From {
		node.becomeFollower(message.Term, message.From)
	}
	node.elapsed = 0
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
	if message.LogIndex < node.hard.Commit {
		reply.LogIndex = node.hard.Commit
		node.send(reply)
		return
	}
	if !node.log.matches(message.LogIndex, message.LogTerm) {
		reply.Reject = true
		reply.LogIndex = message.LogIndex
		reply.Hint = node.hint(message)
		node.send(reply)
		return
	}
	node.merge(message.Entries)
	reply.LogIndex = message.LogIndex + Index(len(message.Entries))
	node.commitTo(min(message.Commit, reply.LogIndex))
	node.send(reply)
}

// hint returns the largest index before the rejected one at which the leader may
// agree: an entry with a later term than the leader's cannot.
func (node *Node) hint(message Message) Index {
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

// merge appends the entries that the log does not hold and removes those that
// contradict them.
func (node *Node) merge(entries []Entry) {
	for _, entry := range entries {
		if node.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= node.log.last() {
			node.cut(entry.Index)
		}
		node.add(entry)
	}
}

func (node *Node) cut(index Index) {
	if index <= node.hard.Commit {
		panic(errCommittedCut)
	}
	node.log.cut(index)
	for node.history[len(node.history)-1].index >= index {
		node.history = node.history[:len(node.history)-1]
	}
}

func (node *Node) commitTo(index Index) {
	node.hard.Commit = max(node.hard.Commit, index)
}

func (node *Node) handleSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}
	reply := Message{To: message.From, Type: AppendReply}
	switch {
	case snapshot.Index <= node.hard.Commit:
		reply.LogIndex = node.hard.Commit
	case node.log.matches(snapshot.Index, snapshot.Term):
		node.commitTo(snapshot.Index)
		reply.LogIndex = snapshot.Index
	default:
		node.installSnapshot(*snapshot)
		reply.LogIndex = snapshot.Index
	}
	node.send(reply)
}

func (node *Node) installSnapshot(snapshot Snapshot) {
	node.install = &snapshot
	node.snapshot = snapshot
	node.snapshot.Data = nil
	node.log.reset(snapshot.Index, snapshot.Term)
	node.hard.Commit = snapshot.Index
	node.applied = snapshot.Index
	node.history = []membershipAt{{snapshot.Index, snapshot.Membership}}
}
