package raft

import (
	"cmp"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// StepKind is the kind of a membership change.
type StepKind uint8

// Kinds of membership changes.
const (
	StepAddLearner StepKind = iota + 1
	StepAddSuccessor
	StepPromote
	StepDemote
	StepRemove
	// StepCountLost and StepIgnoreLost set and clear Membership.CountsLost.
	StepCountLost
	StepIgnoreLost
)

// String returns the name of the kind, and "unknown" for any other value.
func (kind StepKind) String() string {
	names := [...]string{"unknown", "add learner", "add successor", "promote", "demote", "remove", "count lost", "ignore lost"}
	if int(kind) >= len(names) {
		return names[0]
	}
	return names[kind]
}

// Step is a change of a membership by one replica.
type Step struct {
	Kind    StepKind
	Replica ReplicaID
	// Successor is the successor that has replaced a demoted or removed Replica, zero if none has.
	Successor ReplicaID
	// CountsLost states whether the program of an added Replica counts lost voters.
	CountsLost bool
}

// View is the information about the replicas from which a leader plans a membership
// change. A survey is one round of polling the VMs for their replicas.
type View struct {
	Self ReplicaID
	// Present are the replicas that replied to the last survey.
	Present []ReplicaID
	// Joining are the replicas in Present that have an empty log and whose VM was not part of
	// the first start of the deployment: a new VM, or one that lost its disk.
	Joining []ReplicaID
	// CountsLost are the replicas in Present whose program counts lost voters.
	CountsLost []ReplicaID
	// Missed is the number of consecutive surveys that a VM did not reply to.
	Missed map[core.VMID]int
	Zones  map[core.VMID]core.ZoneID
	// Voters is the desired number of voters.
	Voters int
	// MissedBeforeReplacement is the number of missed surveys after which a replica is
	// replaced, and MissedBeforeSameZoneReplacement that after which it is replaced if its
	// zone has a learner.
	MissedBeforeReplacement, MissedBeforeSameZoneReplacement int
}

// Plan returns the next step towards a membership in which view.Voters present replicas
// are voters and every other present replica is a learner. It returns false if no step
// is needed or possible. An unresponsive voter is removed only after its replacement has
// become a voter, so that the number of copies does not drop. A new VM replaces the voter of
// its zone as soon as it has received the log, before that voter goes: once the voter has
// gone, the group would bear one loss less until its silence is long enough to be told from
// a restart or a partition. If the zone has more voters than new VMs, it is not known which one
// goes. The group then has two voters more for each new VM, so that it bears the loss of any of
// them beside the losses that view.Voters bear, until one has gone. If there is a member too few
// for that, the voters are an even number, of which half are enough beside a lost one.
func (members Membership) Plan(view View) (Step, bool) {
	for _, rule := range []func(View) (Step, bool){
		members.planLearner, members.planCountsLost, members.planReplacement, members.planVoterRemoval,
		members.planVoter, members.planHandover, members.planSuccessor, members.planLearnerRemoval,
	} {
		if step, ok := rule(view); ok {
			return step, true
		}
	}
	return Step{}, false
}

// planLearner adds the first present replica that is not a member. One that joins on a VM
// without a member is the successor of another VM.
func (members Membership) planLearner(view View) (Step, bool) {
	for _, id := range view.Present {
		if members.IsVoter(id) || members.IsLearner(id) {
			continue
		}
		step := Step{Kind: StepAddLearner, Replica: id, CountsLost: slices.Contains(view.CountsLost, id)}
		if slices.Contains(view.Joining, id) && !members.hasVM(id.VM) {
			step.Kind = StepAddSuccessor
		}
		return step, true
	}
	return Step{}, false
}

// planCountsLost lets the group count lost voters once the programs of all members do, and no
// longer once that of a member does not.
func (members Membership) planCountsLost(view View) (Step, bool) {
	for _, id := range members.all() {
		counts, present := slices.Contains(view.CountsLost, id), slices.Contains(view.Present, id)
		switch {
		case members.CountsLost && present && !counts:
			return Step{Kind: StepIgnoreLost}, true
		case !members.CountsLost && !counts:
			return Step{}, false
		}
	}
	return Step{Kind: StepCountLost}, !members.CountsLost
}

// planReplacement promotes a learner whose VM is a voter with a previous incarnation
// of its disk.
func (members Membership) planReplacement(view View) (Step, bool) {
	for _, id := range members.presentLearners(view) {
		if slices.ContainsFunc(members.Voters, func(voter ReplicaID) bool { return voter.VM == id.VM }) {
			return Step{Kind: StepPromote, Replica: id}, true
		}
	}
	return Step{}, false
}

// targetVoters returns the desired number of voters: see extraVoters.
func (members Membership) targetVoters(view View) int {
	target, _ := members.extraVoters(view)
	return target
}

// extraVoters returns the desired number of voters, and whether that is too few for all outnumbered
// successors. It is view.Voters, and two more for each outnumbered successor. With one member less
// than that, the group bears as many losses if it counts lost voters. With fewer members, it is
// the number for those successors for which there are enough.
func (members Membership) extraVoters(view View) (target int, scarce bool) {
	successors := 0
	for _, successor := range members.Successors {
		if members.outnumbered(view, successor) {
			successors++
		}
	}
	if successors == 0 {
		return view.Voters, false
	}
	all, replaced := len(members.all()), len(members.Replaced)
	for _, option := range []struct{ departures, available int }{
		// One that was replaced may stay, and another VM of its zone that is one of the voters
		// more may go in its place.
		{successors + replaced, all},
		{successors, all - replaced},
		{successors, all},
	} {
		target = view.Voters + 2*option.departures
		if target <= option.available {
			return target, false
		}
		if target-1 == option.available && members.CountsLost {
			return option.available, false
		}
	}
	return view.Voters + max(0, all-view.Voters)/2*2, true
}

// outnumbered reports whether the zone of a successor has voters that can go, and more of them than
// successors.
func (members Membership) outnumbered(view View, successor ReplicaID) bool {
	zone := view.Zones[successor.VM]
	voters, successors := 0, 0
	for _, id := range members.all() {
		switch {
		case zone == "" || view.Zones[id.VM] != zone:
		case members.IsSuccessor(id):
			successors++
		case members.IsVoter(id):
			voters++
		}
	}
	return voters > successors
}

// contested reports whether it is not known which voter a successor replaces, and the group has
// enough members to bear the loss of any of them.
func (members Membership) contested(view View, successor ReplicaID) bool {
	return members.targetVoters(view) > view.Voters && members.outnumbered(view, successor)
}

// planVoterRemoval removes the voter that a contested successor replaces once it has missed
// MissedBeforeReplacement surveys, or sooner if another successor needs its place. If there are more voters than desired, it demotes the voter that
// another successor among the voters replaces, or else removes the surplus, unless a successor is
// about to replace a voter: both may go at once.
func (members Membership) planVoterRemoval(view View) (Step, bool) {
	target, scarce := members.extraVoters(view)
	surplus := len(members.Voters) > target
	silence := view.MissedBeforeReplacement
	if scarce {
		silence = view.MissedBeforeSameZoneReplacement
	}
	for _, successor := range members.Successors {
		replaced, ok := members.replacedBy(view, successor)
		if !ok || !members.IsVoter(successor) || !slices.Contains(view.Present, successor) {
			continue
		}
		if !members.contested(view, successor) && len(members.Voters) > view.Voters {
			return Step{Kind: StepDemote, Replica: replaced, Successor: successor}, true
		}
		if members.contested(view, successor) && view.Missed[replaced.VM] >= silence {
			return Step{Kind: StepRemove, Replica: replaced, Successor: successor}, true
		}
	}
	if _, handsOver := members.planHandover(view); !surplus || handsOver {
		return Step{}, false
	}
	return members.planSurplus(view)
}

// isMoreSurplus reports whether a voter is to go rather than another one: it has missed more
// surveys, or was replaced before, or its zone has more voters.
func (members Membership) isMoreSurplus(view View, id, other ReplicaID) bool {
	if missed, most := view.Missed[id.VM], view.Missed[other.VM]; missed != most {
		return missed > most
	}
	if members.isReplaced(id) != members.isReplaced(other) {
		return members.isReplaced(id)
	}
	return members.votersInZone(view, id) > members.votersInZone(view, other)
}

// planSurplus removes the voter with the most missed surveys, other than the leader. If all have
// responded, it demotes one that was replaced before, or one of the zone with the most voters.
func (members Membership) planSurplus(view View) (Step, bool) {
	var candidate ReplicaID
	for _, id := range members.Voters {
		if id == view.Self {
			continue
		}
		if candidate.IsZero() || members.isMoreSurplus(view, id, candidate) {
			candidate = id
		}
	}
	if candidate.IsZero() {
		return Step{}, false
	}
	step := Step{Kind: StepRemove, Replica: candidate}
	if slices.Contains(view.Present, candidate) {
		step.Kind = StepDemote
	}
	successor := members.successorOf(view, candidate)
	if step.Kind == StepRemove || !members.contested(view, successor) {
		step.Successor = successor
	}
	return step, true
}

// successorOf returns the successor among the voters that has replaced a voter: one of its zone, or
// one whose zone has no other voter. It returns the zero value if there is none.
func (members Membership) successorOf(view View, replaced ReplicaID) ReplicaID {
	var found ReplicaID
	for _, successor := range members.Successors {
		if successor == replaced || !members.IsVoter(successor) {
			continue
		}
		if view.Zones[successor.VM] == view.Zones[replaced.VM] {
			return successor
		}
		if _, ok := members.replacedBy(view, successor); !ok {
			found = successor
		}
	}
	return found
}

// votersInZone returns the number of voters in the zone of a replica.
func (members Membership) votersInZone(view View, id ReplicaID) int {
	count := 0
	for _, voter := range members.Voters {
		if view.Zones[voter.VM] == view.Zones[id.VM] {
			count++
		}
	}
	return count
}

// planVoter promotes a learner if there are fewer voters than desired. A replaced one comes last. A
// voter beyond view.Voters is, if possible, a learner that does not go in place of a replaced one of
// its zone, and one that has been a member before, as it has the log.
func (members Membership) planVoter(view View) (Step, bool) {
	learners := members.presentLearners(view)
	if len(members.Voters) >= members.targetVoters(view) || len(learners) == 0 {
		return Step{}, false
	}
	without := func(drop func(ReplicaID) bool) {
		if left := slices.DeleteFunc(slices.Clone(learners), drop); len(left) > 0 {
			learners = left
		}
	}
	without(members.isReplaced)
	if len(members.Voters) >= view.Voters {
		without(func(id ReplicaID) bool { return members.mayGoInPlace(view, id) })
		without(members.IsSuccessor)
	}
	return Step{Kind: StepPromote, Replica: members.leastCovered(view, learners)}, true
}

// mayGoInPlace reports whether id may go in place of a replaced member of its zone.
func (members Membership) mayGoInPlace(view View, id ReplicaID) bool {
	return !members.IsSuccessor(id) && slices.ContainsFunc(members.Replaced, func(replaced ReplicaID) bool {
		return view.Zones[replaced.VM] == view.Zones[id.VM]
	})
}

// leastCovered returns the first learner whose zone has the fewest voters.
func (members Membership) leastCovered(view View, learners []ReplicaID) ReplicaID {
	return slices.MinFunc(learners, func(a, b ReplicaID) int {
		return cmp.Compare(members.votersInZone(view, a), members.votersInZone(view, b))
	})
}

// planHandover promotes a successor whose zone has a voter that it can replace.
func (members Membership) planHandover(view View) (Step, bool) {
	for _, id := range members.presentLearners(view) {
		if !members.IsSuccessor(id) || members.contested(view, id) {
			continue
		}
		if _, ok := members.replacedBy(view, id); ok {
			return Step{Kind: StepPromote, Replica: id}, true
		}
	}
	return Step{}, false
}

// replacedBy returns the voter that a successor replaces: the one of its zone with the most
// missed surveys, and the first one of those that have missed equally many. It returns false
// if its zone is not known, or has no other voter but those that have replaced a voter that is
// still there.
func (members Membership) replacedBy(view View, successor ReplicaID) (ReplicaID, bool) {
	var replaced ReplicaID
	zone := view.Zones[successor.VM]
	former := 0
	for _, id := range members.Replaced {
		if members.IsLearner(id) && view.Zones[id.VM] == zone && view.Missed[id.VM] == 0 {
			former++
		}
	}
	for _, id := range members.Voters {
		if id == successor || members.IsSuccessor(id) || zone == "" || view.Zones[id.VM] != zone {
			continue
		}
		former--
		if replaced.IsZero() || view.Missed[id.VM] > view.Missed[replaced.VM] {
			replaced = id
		}
	}
	return replaced, !replaced.IsZero() && former < 0
}

// planSuccessor promotes a learner that is to replace an unresponsive voter. A learner
// in the zone of the voter needs fewer missed surveys than one in another zone.
func (members Membership) planSuccessor(view View) (Step, bool) {
	learners := members.presentLearners(view)
	for _, voter := range members.Voters {
		missed := view.Missed[voter.VM]
		for _, id := range learners {
			if view.Zones[id.VM] == view.Zones[voter.VM] && missed >= view.MissedBeforeSameZoneReplacement {
				return Step{Kind: StepPromote, Replica: id}, true
			}
		}
		if missed >= view.MissedBeforeReplacement && len(learners) > 0 {
			return Step{Kind: StepPromote, Replica: learners[0]}, true
		}
	}
	return Step{}, false
}

// planLearnerRemoval removes an unresponsive learner.
func (members Membership) planLearnerRemoval(view View) (Step, bool) {
	for _, id := range members.Learners {
		if view.Missed[id.VM] >= view.MissedBeforeReplacement {
			return Step{Kind: StepRemove, Replica: id}, true
		}
	}
	return Step{}, false
}

// presentLearners returns the learners that responded, those that a successor has replaced last.
func (members Membership) presentLearners(view View) []ReplicaID {
	var present, replaced []ReplicaID
	for _, id := range members.Learners {
		switch {
		case !slices.Contains(view.Present, id):
		case members.isReplaced(id):
			replaced = append(replaced, id)
		default:
			present = append(present, id)
		}
	}
	return append(present, replaced...)
}

// ProposeStep proposes a step. It returns the error of the method for its kind, or
// ErrNotMember for an unknown kind; nothing is appended then.
func (node *Node) ProposeStep(step Step) error {
	var err error
	switch step.Kind {
	case StepAddLearner:
		_, err = node.AddLearner(step.Replica, step.CountsLost)
	case StepAddSuccessor:
		_, err = node.AddSuccessor(step.Replica, step.CountsLost)
	case StepPromote:
		_, err = node.Promote(step.Replica)
	case StepDemote:
		_, err = node.Demote(step.Replica, step.Successor)
	case StepRemove:
		_, err = node.Remove(step.Replica, step.Successor)
	case StepCountLost, StepIgnoreLost:
		_, err = node.SetCountsLost(step.Kind == StepCountLost)
	default:
		err = ErrNotMember
	}
	return err
}
