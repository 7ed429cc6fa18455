package raft

import (
	"slices"
)

// quorum returns the number of voters that form a majority.
func (members Membership) quorum() int {
	return len(members.Voters)/2 + 1
}

// allowsHalves reports whether half of the voters can be a quorum.
func (members Membership) allowsHalves() bool {
	return members.CountsLost && len(members.Voters)%2 == 0
}

// isQuorum reports whether the counted replicas are a quorum: a majority of the voters or, if
// the membership allows it and one of the voters is lost, half of them. Lost replicas are not
// among the counted ones of a half: they do not answer what was sent after they were known to
// be lost.
func (members Membership) isQuorum(counted, lost func(ReplicaID) bool) bool {
	count := 0
	for _, voter := range members.Voters {
		if counted(voter) {
			count++
		}
	}
	if count >= members.quorum() {
		return true
	}
	return members.allowsHalves() && 2*count >= len(members.Voters) && slices.ContainsFunc(members.Voters, lost)
}

// MarkLost records that a replica sends no message any more, for ever, because its disk is
// gone: another incarnation of its VM has answered a request that was sent while the replica was
// already one of Status.Electors. Half of an even number of voters may then be a quorum. MarkLost
// returns false, and does nothing, if that was known or the replica is not an elector.
func (node *Node) MarkLost(id ReplicaID) bool {
	node.checkNoPendingReady()
	electors := node.electors()
	for known := range node.lost {
		if !slices.Contains(electors, known) {
			delete(node.lost, known)
		}
	}
	if node.isLost(id) || id == node.config.ID || !slices.Contains(electors, id) {
		return false
	}
	if node.lost == nil {
		node.lost = make(map[ReplicaID]Index)
	}
	node.lost[id] = node.log.last() + 1
	if node.role == Leader && slices.ContainsFunc(node.electorates(), func(record membershipRecord) bool { return record.members.allowsHalves() }) {
		// Half of the voters cannot commit the entries before this one by themselves.
		node.appendNew(EntryEmpty, nil)
	}
	return true
}

// electorates returns the memberships in each of which an election or a commit needs a quorum:
// the latest one, and also the one before while the latest is not known to be committed, if one
// of them allows halves. A majority and a half of two memberships that differ by a voter need not
// intersect.
func (node *Node) electorates() []membershipRecord {
	last := len(node.memberships) - 1
	if last == 0 || node.memberships[last].index <= node.hardState.Commit {
		return node.memberships[last:]
	}
	if node.memberships[last].members.allowsHalves() || node.memberships[last-1].members.allowsHalves() {
		return node.memberships[last-1:]
	}
	return node.memberships[last:]
}

// isQuorum reports whether the counted replicas are a quorum in each electorate.
func (node *Node) isQuorum(counted, lost func(ReplicaID) bool) bool {
	for _, record := range node.electorates() {
		if !record.members.isQuorum(counted, lost) {
			return false
		}
	}
	return true
}

// isLost reports whether a replica is known to be lost.
func (node *Node) isLost(id ReplicaID) bool {
	_, known := node.lost[id]
	return known
}

// matched returns the last index that a replica has acknowledged to this leader.
func (node *Node) matched(id ReplicaID) Index {
	if progress := node.progress[id]; progress != nil {
		return progress.match
	}
	return 0
}

// canCommit reports whether a quorum has acknowledged the entry at index. Only replicas that were
// known to be lost when the entry was appended count as lost: one that acknowledged the entry
// before that may have voted for another leader since.
func (node *Node) canCommit(index Index) bool {
	return node.isQuorum(
		func(id ReplicaID) bool { return node.matched(id) >= index },
		func(id ReplicaID) bool {
			since, known := node.lost[id]
			return known && since <= index
		},
	)
}

// savesCommit reports whether the commit index must be synced because it covers the latest
// membership: without it, a restarted replica would need a quorum of the membership before as
// well, whose voters may have gone.
func (node *Node) savesCommit() bool {
	last := len(node.memberships) - 1
	if last == 0 || node.memberships[last].index > node.hardState.Commit || node.memberships[last].index <= node.syncedHardState.Commit {
		return false
	}
	return node.memberships[last].members.allowsHalves() || node.memberships[last-1].members.allowsHalves()
}
