package raft

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Membership lists the replicas of a shard. The zero value has none. Both lists
// are sorted.
type Membership struct {
	Voters   []ReplicaID
	Learners []ReplicaID `json:",omitempty"`
}

// NewMembership returns a membership of voters.
func NewMembership(voters ...ReplicaID) Membership {
	return Membership{Voters: sorted(slices.Clone(voters))}
}

// DecodeMembership is the inverse of Encode.
func DecodeMembership(data []byte) (Membership, error) {
	var members Membership
	if err := json.Unmarshal(data, &members); err != nil {
		return Membership{}, errors.Wrap(err, "decode membership")
	}
	return members, nil
}

// Encode returns the form in which a membership is stored and sent.
func (members Membership) Encode() []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic(errMembershipEncoding)
	}
	return data
}

// IsVoter reports whether the replica votes.
func (members Membership) IsVoter(id ReplicaID) bool {
	return slices.Contains(members.Voters, id)
}

// IsLearner reports whether the replica receives the log without a vote.
func (members Membership) IsLearner(id ReplicaID) bool {
	return slices.Contains(members.Learners, id)
}

// quorum returns the number of voters that decide.
func (members Membership) quorum() int {
	return len(members.Voters)/2 + 1
}

// all returns voters and learners in a fixed order.
func (members Membership) all() []ReplicaID {
	return slices.Concat(members.Voters, members.Learners)
}

// withLearner returns members with id as the only learner of its VM.
func (members Membership) withLearner(id ReplicaID) Membership {
	learners := withoutVM(members.Learners, id.VM)
	return Membership{Voters: slices.Clone(members.Voters), Learners: sorted(append(learners, id))}
}

// withVoter returns members with id as the only replica of its VM.
func (members Membership) withVoter(id ReplicaID) Membership {
	voters := withoutVM(members.Voters, id.VM)
	return Membership{Voters: sorted(append(voters, id)), Learners: withoutVM(members.Learners, id.VM)}
}

// without returns members without id.
func (members Membership) without(id ReplicaID) Membership {
	drop := func(other ReplicaID) bool { return other == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(members.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(members.Learners), drop),
	}
}

func withoutVM(ids []ReplicaID, vm core.VMID) []ReplicaID {
	return slices.DeleteFunc(slices.Clone(ids), func(id ReplicaID) bool { return id.VM == vm })
}

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
