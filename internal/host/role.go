package host

import "github.com/dandelionring/dandelionring/pkg/replica/raft"

// ReplicaRole is the role of the replicas of a VM.
type ReplicaRole string

// The roles, from voting to stopped.
const (
	// RoleVoter means that the replicas of all shards vote. Only then does the VM
	// count as a copy of the data, so that another disk may be lost.
	RoleVoter ReplicaRole = "voter"
	// RoleLearner means that at least one replica is still receiving its log.
	RoleLearner ReplicaRole = "learner"
	// RoleJoining means that at least one replica is not a member yet.
	RoleJoining ReplicaRole = "joining"
	// RoleStopped means that at least one replica stopped after an error.
	RoleStopped ReplicaRole = "stopped"
)

// Role returns the role of the replica that is furthest from voting.
func (host *Host) Role() ReplicaRole {
	result := RoleVoter
	for _, replica := range host.replicas {
		switch role := replica.role(); {
		case role == RoleStopped:
			return role
		case role == RoleJoining, role == RoleLearner && result == RoleVoter:
			result = role
		}
	}
	return result
}

func (replica *Replica) role() ReplicaRole {
	if replica.Err() != nil {
		return RoleStopped
	}
	status := replica.Status()
	id := raft.ReplicaID{VM: status.ID.VM, Incarnation: status.ID.Incarnation}
	switch {
	case status.Membership.IsVoter(id) && status.MembershipCommitted:
		return RoleVoter
	case status.Membership.IsVoter(id), status.Membership.IsLearner(id):
		return RoleLearner
	default:
		return RoleJoining
	}
}
