package raft

import (
	"maps"
	"slices"
)

// campaign starts a pre-vote or an election. A pre-vote does not increment the term,
// so that a replica that cannot win does not disrupt the current leader.
func (node *Node) campaign(role Role) {
	node.role = role
	node.leader = ReplicaID{}
	node.votes = map[ReplicaID]bool{node.config.ID: true}
	// A vote that a lost replica gave is counted only by a candidate that had requested it
	// before: of two halves that elect in the same term, each would have to contain a replica
	// that voted there before the other candidate requested its first vote.
	node.lostBefore = maps.Clone(node.lost)
	request := Message{Type: PreVote, Term: node.hardState.Term + 1, LogIndex: node.log.last(), LogTerm: node.log.lastTerm()}
	if role == Candidate {
		request.Type = Vote
		node.hardState.Term++
		node.hardState.Vote = node.config.ID
		node.resetElectionTimeout()
	}
	if node.tallyVotes() {
		return
	}
	for _, voter := range node.electors() {
		if voter == node.config.ID {
			continue
		}
		request.To = voter
		node.send(request)
	}
}

// electors returns the voters of all electorates. The caller must not change them.
func (node *Node) electors() []ReplicaID {
	electorates := node.electorates()
	electors := electorates[0].members.Voters
	for _, record := range electorates[1:] {
		electors = slices.Compact(sorted(slices.Concat(electors, record.members.Voters)))
	}
	return electors
}

// handleVoteRequest grants a vote or pre-vote to a candidate whose log is at least as
// up to date as the own log. A learner votes as well: the candidate may have received
// the entry that promotes the learner before the learner has.
func (node *Node) handleVoteRequest(message Message) {
	canVote := node.hardState.Vote == message.From || node.hardState.Vote.IsZero() && node.leader.IsZero()
	isNewPreVote := message.Type == PreVote && message.Term > node.hardState.Term
	granted := (canVote || isNewPreVote) && node.log.isUpToDate(message.LogIndex, message.LogTerm)
	reply := Message{To: message.From, Type: VoteReply, Reject: !granted}
	if message.Type == PreVote {
		reply.Type = PreVoteReply
	}
	if granted {
		reply.Term = message.Term
	}
	if granted && message.Type == Vote {
		node.hardState.Vote = message.From
		node.electionElapsed = 0
	}
	node.send(reply)
}

// countVote records the first vote of a replica if the node still campaigns in role.
func (node *Node) countVote(message Message, role Role) {
	if node.role != role {
		return
	}
	if role == PreCandidate && !message.Reject && message.Term != node.hardState.Term+1 {
		return // a reply to an earlier pre-vote
	}
	if _, counted := node.votes[message.From]; !counted {
		node.votes[message.From] = !message.Reject
	}
	node.tallyVotes()
}

// tallyVotes ends the pre-vote or election once a quorum has granted or a majority has rejected
// it. It returns true if it was won.
func (node *Node) tallyVotes() bool {
	granted := func(id ReplicaID) bool { return node.votes[id] }
	lost := func(id ReplicaID) bool {
		_, known := node.lostBefore[id]
		return known
	}
	if node.isQuorum(granted, lost) {
		node.advanceElection()
		return true
	}
	for _, record := range node.electorates() {
		rejected := 0
		for _, voter := range record.members.Voters {
			if vote, counted := node.votes[voter]; counted && !vote {
				rejected++
			}
		}
		if rejected >= record.members.quorum() {
			node.becomeFollower(node.hardState.Term, ReplicaID{})
			return false
		}
	}
	return false
}

// advanceElection starts the election after a won pre-vote and becomes the leader after
// a won election.
func (node *Node) advanceElection() {
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
	node.electionElapsed, node.heartbeatElapsed = 0, 0
	node.progress = make(map[ReplicaID]*progress)
	node.syncProgress()
	node.termStartIndex = node.log.last() + 1
	for id := range node.lost {
		node.lost[id] = node.termStartIndex
	}
	node.appendNew(EntryEmpty, nil)
}

// tickLeader sends the heartbeats that are due, and steps down if no quorum of voters
// replied within ElectionTicks.
func (node *Node) tickLeader() {
	node.heartbeatElapsed++
	for _, progress := range node.progress {
		progress.snapshotAge++
	}
	if node.electionElapsed >= node.config.ElectionTicks {
		node.electionElapsed = 0
		if !node.checkQuorum() {
			node.becomeFollower(node.hardState.Term, ReplicaID{})
			return
		}
	}
	if node.heartbeatElapsed >= node.config.HeartbeatTicks {
		node.heartbeatElapsed = 0
		node.heartbeatRound++
		node.sendHeartbeats()
	}
}

// checkQuorum reports whether a quorum of voters, including the leader, replied since
// the last call. Replicas that did not reply are only probed from then on.
func (node *Node) checkQuorum() bool {
	hasQuorum := node.isQuorum(func(id ReplicaID) bool {
		progress := node.progress[id]
		return id == node.config.ID || progress != nil && progress.recentlyActive
	}, node.isLost)
	for _, progress := range node.progress {
		if !progress.recentlyActive && progress.mode == streaming {
			progress.becomeProbing() // an unresponsive replica is sent no more than one batch
		}
		progress.recentlyActive = false
	}
	return hasQuorum
}
