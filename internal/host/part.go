package host

import "github.com/dandelionring/dandelionring/pkg/replica/raft"

// Part is the role of the replicas of a VM.
type Part string

// The roles, from voting to stopped.
const (
	// PartVoter means that the replicas of all shards vote. Only then does the VM
	// count as a copy of the data, so that another disk may be lost.
	PartVoter Part = "voter"
	// PartLearner means that at least one replica is still receiving its log.
	PartLearner Part = "learner"
	// PartJoining means that at least one replica is not a member yet.
	PartJoining Part = "joining"
	// PartStopped means that at least one replica stopped after an error.
	PartStopped Part = "stopped"
)

// Part returns the role of the replica that is furthest from voting.
func (host *Host) Part() Part {
	result := PartVoter
	for _, replica := range host.allReplicas() {
		switch part := replica.part(); {
		case part == PartStopped:
			return part
		case part == PartJoining, part == PartLearner && result == PartVoter:
			result = part
		}
	}
	return result
}

func (replica *Replica) part() Part {
	if replica.Err() != nil {
		return PartStopped
	}
	status := replica.Status()
	id := raft.ReplicaID{VM: status.ID.VM, Incarnation: status.ID.Incarnation}
	switch {
	case status.Membership.IsVoter(id) && status.MembershipCommitted:
		return PartVoter
	case status.Membership.IsVoter(id), status.Membership.IsLearner(id):
		return PartLearner
	default:
		return PartJoining
	}
}
