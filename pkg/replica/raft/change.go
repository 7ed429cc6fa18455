package raft

// AddLearner proposes to send the log to a new replica. It replaces any other
// learner of the same VM.
//
// Its commit needs a majority that acknowledged it after the former incarnation
// of the VM was lost. A vote of that incarnation that is still on its way can
// therefore elect nobody who lacks this entry, which makes Promote safe.
func (node *Node) AddLearner(id ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	if node.members().IsVoter(id) || node.members().IsLearner(id) {
		return 0, ErrNotMember
	}
	return node.change(node.members().withLearner(id)), nil
}

// Promote proposes to make a learner a voter and, with the same entry, to remove
// the former incarnation of its VM. The learner must have synced every committed
// entry.
func (node *Node) Promote(id ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	if !node.members().IsLearner(id) {
		return 0, ErrNotMember
	}
	if node.progress[id].match < node.hard.Commit {
		return 0, ErrNotCaughtUp
	}
	return node.change(node.members().withVoter(id)), nil
}

// Remove proposes to remove a replica. The last voter cannot be removed. A leader
// that removes itself steps down when the entry is committed.
func (node *Node) Remove(id ReplicaID) (Index, error) {
	if err := node.checkChange(); err != nil {
		return 0, err
	}
	members := node.members().without(id)
	if len(members.all()) == len(node.members().all()) || len(members.Voters) == 0 {
		return 0, ErrNotMember
	}
	return node.change(members), nil
}

// checkChange allows one change at a time, and none before the leader has
// committed an entry of its own term: two leaders with different pending changes
// could otherwise commit with majorities that do not meet.
func (node *Node) checkChange() error {
	node.checkIdle()
	if node.role != Leader {
		return ErrNotLeader
	}
	pending := node.history[len(node.history)-1].index > node.hard.Commit
	if pending || node.hard.Commit < node.termStart {
		return ErrChangePending
	}
	return nil
}

func (node *Node) change(members Membership) Index {
	index := node.append(EntryMembership, members.Encode())
	node.syncProgress()
	return index
}

// stepDownIfRemoved ends the leadership of a replica that is no longer a voter.
func (node *Node) stepDownIfRemoved() {
	last := node.history[len(node.history)-1]
	if node.role == Leader && last.index <= node.hard.Commit && !last.members.IsVoter(node.config.ID) {
		node.becomeFollower(node.hard.Term, ReplicaID{})
	}
}
