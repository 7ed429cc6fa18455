package raft

// campaign starts a pre-vote or a vote. A pre-vote changes no term, so that a
// replica that cannot win disturbs nobody.
func (node *Node) campaign(role Role) {
	node.role = role
	node.leader = ReplicaID{}
	node.votes = map[ReplicaID]bool{node.config.ID: true}
	request := Message{Type: PreVote, Term: node.hard.Term + 1, LogIndex: node.log.last(), LogTerm: node.log.lastTerm()}
	if role == Candidate {
		request.Type = Vote
		node.hard.Term++
		node.hard.Vote = node.config.ID
		node.resetTimeout()
	}
	if node.decide() {
		return
	}
	for _, voter := range node.members().Voters {
		if voter == node.config.ID {
			continue
		}
		request.To = voter
		node.send(request)
	}
}

// answerVote grants a vote to a candidate whose log holds at least as much. A
// learner answers too: the candidate may know of its promotion first.
func (node *Node) answerVote(message Message) {
	free := node.hard.Vote == message.From || node.hard.Vote.IsZero() && node.leader.IsZero()
	early := message.Type == PreVote && message.Term > node.hard.Term
	granted := (free || early) && node.log.isCurrent(message.LogIndex, message.LogTerm)
	reply := Message{To: message.From, Type: VoteReply, Reject: !granted}
	if message.Type == PreVote {
		reply.Type = PreVoteReply
	}
	if granted {
		reply.Term = message.Term
	}
	if granted && message.Type == Vote {
		node.hard.Vote = message.From
		node.elapsed = 0
	}
	node.send(reply)
}

func (node *Node) countVote(message Message, role Role) {
	if node.role != role {
		return
	}
	if role == PreCandidate && !message.Reject && message.Term != node.hard.Term+1 {
		return // an answer to an earlier pre-vote
	}
	if _, counted := node.votes[message.From]; !counted {
		node.votes[message.From] = !message.Reject
	}
	node.decide()
}

// decide ends the election if a majority has granted or refused it. It returns
// true if the election was won.
func (node *Node) decide() bool {
	members := node.members()
	granted, refused := 0, 0
	for _, voter := range members.Voters {
		vote, counted := node.votes[voter]
		switch {
		case counted && vote:
			granted++
		case counted:
			refused++
		}
	}
	if granted >= members.quorum() {
		node.win()
		return true
	}
	if refused >= members.quorum() {
		node.becomeFollower(node.hard.Term, ReplicaID{})
	}
	return false
}

func (node *Node) win() {
	if node.role == PreCandidate {
		node.campaign(Candidate)
		return
	}
	node.becomeLeader()
}

func (node *Node) becomeLeader() {
	node.role = Leader
	node.leader = node.config.ID
	node.votes = nil
	node.elapsed, node.beat = 0, 0
	node.progress = make(map[ReplicaID]*progress)
	node.syncProgress()
	node.termStart = node.log.last() + 1
	node.append(EntryEmpty, nil)
}

// tickLeader sends heartbeats and steps down if no quorum was heard for an
// election timeout.
func (node *Node) tickLeader() {
	node.beat++
	for _, progress := range node.progress {
		progress.age++
	}
	if node.elapsed >= node.config.ElectionTicks {
		node.elapsed = 0
		if !node.checkQuorum() {
			node.becomeFollower(node.hard.Term, ReplicaID{})
			return
		}
	}
	if node.beat >= node.config.HeartbeatTicks {
		node.beat = 0
		node.round++
		node.sendHeartbeats()
	}
}

func (node *Node) checkQuorum() bool {
	heard := 0
	for _, voter := range node.members().Voters {
		if voter == node.config.ID || node.progress[voter].active {
			heard++
		}
	}
	for _, progress := range node.progress {
		if !progress.active && progress.mode == streaming {
			progress.probe() // nothing more is sent to a silent replica but a probe
		}
		progress.active = false
	}
	return heard >= node.members().quorum()
}
