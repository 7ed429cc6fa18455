package raft

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// StepKind tells what a Step does.
type StepKind uint8

// The kinds of steps.
const (
	StepAddLearner StepKind = iota + 1
	StepPromote
	StepRemove
)

// String returns the name of the kind, and "unknown" for any other value.
func (kind StepKind) String() string {
	names := [...]string{"unknown", "add learner", "promote", "remove"}
	if int(kind) >= len(names) {
		return names[0]
	}
	return names[kind]
}

// Step is one change of a membership.
type Step struct {
	Kind    StepKind
	Replica ReplicaID
}

// View is what a leader knows about the replicas when it plans a change.
type View struct {
	Self ReplicaID
	// Present are the replicas that answered the last survey.
	Present []ReplicaID
	// Missed counts the surveys in a row that a VM did not answer.
	Missed map[core.VMID]int
	Zones  map[core.VMID]core.ZoneID
	// Voters is the number of replicas that are to vote.
	Voters int
	// Patience is the number of missed surveys after which a replica is replaced, and
	// SuccessorPatience that after which it gives way to a learner of its zone.
	Patience, SuccessorPatience int
}

// Plan returns the next step towards a membership in which view.Voters present replicas
// vote and every other present replica learns. It returns false if there is none. A
// silent voter goes only after a successor has joined, so that the number of copies does
// not fall.
func (members Membership) Plan(view View) (Step, bool) {
	for _, rule := range []func(View) (Step, bool){
		members.planLearner, members.planReplacement, members.planSurplus,
		members.planVoter, members.planSuccessor, members.planForget,
	} {
		if step, ok := rule(view); ok {
			return step, true
		}
	}
	return Step{}, false
}

// planLearner takes in a replica that is no member.
func (members Membership) planLearner(view View) (Step, bool) {
	for _, id := range view.Present {
		if !members.IsVoter(id) && !members.IsLearner(id) {
			return Step{StepAddLearner, id}, true
		}
	}
	return Step{}, false
}

// planReplacement promotes a learner whose VM votes with a disk that is gone.
func (members Membership) planReplacement(view View) (Step, bool) {
	for _, id := range members.presentLearners(view) {
		if slices.ContainsFunc(members.Voters, func(voter ReplicaID) bool { return voter.VM == id.VM }) {
			return Step{StepPromote, id}, true
		}
	}
	return Step{}, false
}

// planSurplus removes the most silent voter if there are too many.
func (members Membership) planSurplus(view View) (Step, bool) {
	if len(members.Voters) <= view.Voters {
		return Step{}, false
	}
	var chosen ReplicaID
	for _, id := range members.Voters {
		if id == view.Self {
			continue
		}
		if chosen.IsZero() || view.Missed[id.VM] > view.Missed[chosen.VM] {
			chosen = id
		}
	}
	return Step{StepRemove, chosen}, !chosen.IsZero()
}

// planVoter promotes a learner while too few vote.
func (members Membership) planVoter(view View) (Step, bool) {
	learners := members.presentLearners(view)
	if len(members.Voters) >= view.Voters || len(learners) == 0 {
		return Step{}, false
	}
	return Step{StepPromote, members.newZone(view, learners)}, true
}

// newZone returns the first learner of a zone that has no voter, or the first one.
func (members Membership) newZone(view View, learners []ReplicaID) ReplicaID {
	for _, id := range learners {
		zone := view.Zones[id.VM]
		if !slices.ContainsFunc(members.Voters, func(voter ReplicaID) bool { return view.Zones[voter.VM] == zone }) {
			return id
		}
	}
	return learners[0]
}

// planSuccessor promotes a learner in the place of a voter that is silent.
func (members Membership) planSuccessor(view View) (Step, bool) {
	learners := members.presentLearners(view)
	for _, voter := range members.Voters {
		missed := view.Missed[voter.VM]
		for _, id := range learners {
			if view.Zones[id.VM] == view.Zones[voter.VM] && missed >= view.SuccessorPatience {
				return Step{StepPromote, id}, true
			}
		}
		if missed >= view.Patience && len(learners) > 0 {
			return Step{StepPromote, learners[0]}, true
		}
	}
	return Step{}, false
}

// planForget removes a learner that is silent.
func (members Membership) planForget(view View) (Step, bool) {
	for _, id := range members.Learners {
		if view.Missed[id.VM] >= view.Patience {
			return Step{StepRemove, id}, true
		}
	}
	return Step{}, false
}

func (members Membership) presentLearners(view View) []ReplicaID {
	var present []ReplicaID
	for _, id := range members.Learners {
		if slices.Contains(view.Present, id) {
			present = append(present, id)
		}
	}
	return present
}

// Take proposes a step. It returns an error, and changes nothing, if the node does not
// lead, if another change is pending, or if the replica is not ready for the step.
func (node *Node) Take(step Step) error {
	var err error
	switch step.Kind {
	case StepAddLearner:
		_, err = node.AddLearner(step.Replica)
	case StepPromote:
		_, err = node.Promote(step.Replica)
	case StepRemove:
		_, err = node.Remove(step.Replica)
	default:
		err = ErrNotMember
	}
	return err
}
