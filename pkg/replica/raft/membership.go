package raft

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Membership lists the replicas of a shard. Both lists are sorted by VM and
// incarnation. The zero value has no replicas.
type Membership struct {
	Voters   []ReplicaID
	Learners []ReplicaID `json:",omitempty"`
	// Successors are the members that joined to replace another VM of their zone and have
	// not done so yet. Each of them is also a learner, or a voter until the voter that it
	// replaces is a learner.
	Successors []ReplicaID `json:",omitempty"`
	// Replaced are the members that were voters until a successor replaced them. They are
	// expected to go, and are voters again only if there are no others.
	Replaced []ReplicaID `json:",omitempty"`
	// CountsLost is set while all members run a program that counts lost voters: half of an
	// even number of voters is a quorum beside a lost one. A program that does not know the
	// field drops it from the memberships that it proposes.
	CountsLost bool `json:",omitempty"`
}

// NewMembership returns a membership with the given voters and no learners.
func NewMembership(voters ...ReplicaID) Membership {
	return Membership{Voters: sorted(slices.Clone(voters))}
}

// DecodeMembership decodes a membership that Encode returned. It returns an error if
// data is not valid JSON.
func DecodeMembership(data []byte) (Membership, error) {
	var members Membership
	if err := json.Unmarshal(data, &members); err != nil {
		return Membership{}, errors.Wrap(err, "decode membership")
	}
	return members, nil
}

// Encode returns the JSON encoding in which a membership is stored and sent.
func (members Membership) Encode() []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic(errMembershipEncoding)
	}
	return data
}

// IsVoter reports whether id is a voter.
func (members Membership) IsVoter(id ReplicaID) bool {
	return slices.Contains(members.Voters, id)
}

// IsLearner reports whether id is a learner, which receives the log but has no vote.
func (members Membership) IsLearner(id ReplicaID) bool {
	return slices.Contains(members.Learners, id)
}

// isReplaced reports whether id is a member that a successor has replaced.
func (members Membership) isReplaced(id ReplicaID) bool {
	return slices.Contains(members.Replaced, id)
}

// IsSuccessor reports whether id joined to replace another VM and has not done so yet.
func (members Membership) IsSuccessor(id ReplicaID) bool {
	return slices.Contains(members.Successors, id)
}

// hasVM reports whether a replica of the VM is a member.
func (members Membership) hasVM(vm core.VMID) bool {
	return slices.ContainsFunc(members.all(), func(id ReplicaID) bool { return id.VM == vm })
}

// all returns the voters followed by the learners.
func (members Membership) all() []ReplicaID {
	return slices.Concat(members.Voters, members.Learners)
}

// withLearner returns a copy in which id is the only learner of its VM. It is a successor if the
// learner of its VM before was one.
func (members Membership) withLearner(id ReplicaID) Membership {
	next := Membership{
		Voters: slices.Clone(members.Voters), Learners: sorted(append(withoutVM(members.Learners, id.VM), id)),
		Successors: slices.DeleteFunc(slices.Clone(members.Successors), func(other ReplicaID) bool { return other.VM == id.VM && !members.IsVoter(other) }),
		Replaced:   withoutVM(members.Replaced, id.VM),
		CountsLost: members.CountsLost,
	}
	if len(next.Successors) < len(members.Successors) {
		next.Successors = sorted(append(next.Successors, id))
	}
	return next
}

// withSuccessor returns a copy in which id is a learner and a successor.
func (members Membership) withSuccessor(id ReplicaID) Membership {
	next := members.withLearner(id)
	next.Successors = sorted(append(next.Successors, id))
	return next
}

// withVoter returns a copy in which id is a voter and the only replica of its VM. It is a
// successor if a previous incarnation of its VM was one.
func (members Membership) withVoter(id ReplicaID) Membership {
	next := Membership{
		Voters: sorted(append(withoutVM(members.Voters, id.VM), id)), Learners: withoutVM(members.Learners, id.VM),
		Successors: withoutVM(members.Successors, id.VM),
		Replaced:   slices.DeleteFunc(slices.Clone(members.Replaced), func(other ReplicaID) bool { return other.VM == id.VM && other != id }),
		CountsLost: members.CountsLost,
	}
	if len(next.Successors) < len(members.Successors) {
		next.Successors = sorted(append(next.Successors, id))
	}
	return next
}

// without returns a copy that does not contain id. The given successor has replaced it, if it is
// not zero.
func (members Membership) without(id, successor ReplicaID) Membership {
	drop := func(other ReplicaID) bool { return other == id }
	return Membership{
		Voters:     slices.DeleteFunc(slices.Clone(members.Voters), drop),
		Learners:   slices.DeleteFunc(slices.Clone(members.Learners), drop),
		Successors: slices.DeleteFunc(slices.Clone(members.Successors), func(other ReplicaID) bool { return other == id || other == successor }),
		Replaced:   slices.DeleteFunc(slices.Clone(members.Replaced), drop),
		CountsLost: members.CountsLost,
	}
}

// withDemoted returns a copy in which the voter id is a learner. The given successor has replaced
// it, if it is not zero.
func (members Membership) withDemoted(id, successor ReplicaID) Membership {
	next := members.without(id, successor)
	next.Learners = sorted(append(next.Learners, id))
	if !successor.IsZero() || members.isReplaced(id) {
		next.Replaced = sorted(append(next.Replaced, id))
	}
	return next
}

func withoutVM(ids []ReplicaID, vm core.VMID) []ReplicaID {
	return slices.DeleteFunc(slices.Clone(ids), func(id ReplicaID) bool { return id.VM == vm })
}

// sorted sorts ids in place and returns them.
func sorted(ids []ReplicaID) []ReplicaID {
	slices.SortFunc(ids, func(a, b ReplicaID) int {
		switch {
		case a.less(b):
			return -1
		case b.less(a):
			return 1
		default:
			return 0
		}
	})
	return ids
}
