package raft

// AddLearner proposes to add a replica as a learner, which replaces any other learner
// of the same VM. It returns the index of the entry. It returns ErrNotLeader,
// ErrChangePending, or ErrNotMember if the replica is already a member.
//
// The entry commits only after a majority acknowledged it, which happens after the
// previous incarnation of the VM was lost. A vote of that incarnation that is still in
// flight can therefore not elect a candidate that lacks this entry, which makes Promote
// safe.
//
// countsLost states whether the program of the replica counts lost voters.
func (node *Node) AddLearner(id ReplicaID, countsLost bool) (Index, error) {
	return node.addMember(id, countsLost, Membership.withLearner)
}

// AddSuccessor proposes to add a replica as a learner that is to replace a voter of its
// zone. It returns the index of the entry and the errors of AddLearner.
func (node *Node) AddSuccessor(id ReplicaID, countsLost bool) (Index, error) {
	return node.addMember(id, countsLost, Membership.withSuccessor)
}

func (node *Node) addMember(id ReplicaID, countsLost bool, add func(Membership, ReplicaID) Membership) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	if node.members().IsVoter(id) || node.members().IsLearner(id) {
		return 0, ErrNotMember
	}
	members := add(node.members(), id)
	members.CountsLost = members.CountsLost && countsLost
	return node.proposeMembership(members)
}

// SetCountsLost proposes to set Membership.CountsLost and returns the index of the entry. It
// returns ErrNotLeader or ErrChangePending.
func (node *Node) SetCountsLost(countsLost bool) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	members := node.members()
	members.CountsLost = countsLost
	return node.proposeMembership(members)
}

// Promote proposes to make a learner a voter and, with the same entry, to remove the
// previous incarnation of its VM. It returns the index of the entry. It returns
// ErrNotLeader, ErrChangePending, ErrNotMember if the replica is not a learner, or
// ErrNotCaughtUp if the learner has not synced every committed entry.
func (node *Node) Promote(id ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	if !node.members().IsLearner(id) {
		return 0, ErrNotMember
	}
	if node.progress[id].match < node.hardState.Commit {
		return 0, ErrNotCaughtUp
	}
	return node.proposeMembership(node.members().withVoter(id))
}

// Remove proposes to remove a replica, which the given successor has replaced if it is not zero,
// and returns the index of the entry. A leader that removes itself steps down when the entry is committed. Remove returns ErrNotLeader,
// ErrChangePending, or ErrNotMember if the replica is not a member or is the last voter.
func (node *Node) Remove(id, successor ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	members := node.members().without(id, successor)
	if len(members.all()) == len(node.members().all()) || len(members.Voters) == 0 {
		return 0, ErrNotMember
	}
	return node.proposeMembership(members)
}

// Demote proposes to make a voter a learner, which the given successor has replaced if it is not
// zero, and returns the index of the entry. A leader that demotes itself steps down when the entry is committed. Demote returns ErrNotLeader,
// ErrChangePending, or ErrNotMember if the replica is not a voter or is the last one.
func (node *Node) Demote(id, successor ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	if !node.members().IsVoter(id) || len(node.members().Voters) == 1 {
		return 0, ErrNotMember
	}
	return node.proposeMembership(node.members().withDemoted(id, successor))
}

// checkChange returns an error unless the node is a leader that has committed an entry
// of its own term and has no uncommitted membership change: otherwise two leaders with
// different pending changes could commit with majorities that do not intersect.
func (node *Node) checkChange() error {
	node.checkNoPendingReady()
	if node.role != Leader {
		return ErrNotLeader
	}
	pending := node.memberships[len(node.memberships)-1].index > node.hardState.Commit
	if pending || node.hardState.Commit < node.termStartIndex {
		return ErrChangePending
	}
	return nil
}

// proposeMembership appends a membership entry and returns its index. It returns ErrNoQuorum if
// no quorum of the new voters has replied in this term: beside lost voters, a leader may commit
// with half of the voters, which need not be a quorum of one voter less.
func (node *Node) proposeMembership(members Membership) (Index, error) {
	hasReplied := func(id ReplicaID) bool {
		return id == node.config.ID || node.matched(id) >= node.termStartIndex && !node.isLost(id)
	}
	if !members.isQuorum(hasReplied, node.isLost) {
		return 0, ErrNoQuorum
	}
	index := node.appendNew(EntryMembership, members.Encode())
	node.syncProgress()
	return index, nil
}

// stepDownIfRemoved makes a leader a follower once a membership in which it is not a
// voter is committed.
func (node *Node) stepDownIfRemoved() {
	last := node.memberships[len(node.memberships)-1]
	if node.role == Leader && last.index <= node.hardState.Commit && !last.members.IsVoter(node.config.ID) {
		node.becomeFollower(node.hardState.Term, ReplicaID{})
	}
}
