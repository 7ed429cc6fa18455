package raft

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestClusterSafety guards against two leaders in a term, against loss or change of
// committed entries, against replicas that apply different logs, and against a cluster
// that does not recover after the faults end.
func TestClusterSafety(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), rapid.MakeCheck(func(t *rapid.T) {
			checkCluster(t, newCluster(size, t.Fatalf))
		}))
	}
}

// checkCluster runs random actions and then checks that the cluster recovers. The
// actions come from a random generator whose seed is drawn: if rapid drew the actions,
// its preference for small numbers would keep the runs short and the messages in order.
func checkCluster(t *rapid.T, cluster *cluster) {
	actions := weighted(map[string]int{
		"deliver": 12, "in order": 12, "repeat": 2, "lose": 2, "tick": 8, "ticks": 8, "propose": 10, "crash": 1,
		"restart": 10, "wipe": 1, "compact": 2, "manage": 5, "partition": 1, "heal": 2,
	})
	checkActions(t, cluster, actions)
}

// checkActions runs random actions, chosen from a list, and then checks that the cluster recovers.
func checkActions(t *rapid.T, cluster *cluster, actions []string) {
	const steps = 400
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
	for range steps {
		runAction(cluster, random, actions[random.IntN(len(actions))])
	}
	if !cluster.stabilize() {
		t.Fatalf("the cluster did not recover after the faults ended")
	}
}

// weighted returns each action as often as its weight, in alphabetical order.
func weighted(weights map[string]int) []string {
	var actions []string
	for _, action := range slices.Sorted(maps.Keys(weights)) {
		actions = append(actions, slices.Repeat([]string{action}, weights[action])...)
	}
	return actions
}

func runAction(cluster *cluster, random *rand.Rand, action string) {
	machine := cluster.machines[random.IntN(len(cluster.machines))]
	crash := noCrash
	if random.IntN(15) == 0 {
		crash = crashPoint(random.IntN(4))
	}
	position := -1
	if len(cluster.network) > 0 {
		position = random.IntN(len(cluster.network))
	}
	switch action {
	case "deliver", "repeat":
		if position >= 0 {
			cluster.deliver(position, action == "repeat", crash)
		}
	case "lose":
		if position >= 0 {
			cluster.network = slices.Delete(cluster.network, position, position+1)
		}
	case "in order":
		for range len(cluster.network) {
			cluster.deliver(0, false, noCrash)
		}
	case "tick":
		cluster.tick(machine)
	case "ticks":
		for _, machine := range cluster.machines {
			cluster.tick(machine)
		}
	case "propose":
		cluster.propose(machine, crash)
	case "crash":
		machine.node = nil
	case "restart":
		for _, machine := range cluster.machines {
			cluster.start(machine)
		}
	case "wipe":
		cluster.wipe(machine)
	case "compact":
		cluster.compact(machine)
	case "manage":
		cluster.reconcileMembership()
	case "partition":
		for _, machine := range cluster.machines {
			machine.partition = random.IntN(2)
		}
	case "heal":
		cluster.heal()
	case "ask":
		cluster.ask(machine, cluster.machines[random.IntN(len(cluster.machines))])
	case "answer":
		if len(cluster.polls) > 0 {
			cluster.answer(random.IntN(len(cluster.polls)))
		}
	case "demote":
		if leader := cluster.leader(); leader != nil && len(leader.node.Status().Membership.Voters) > 3 {
			next := leader.node.Status().Membership.withDemoted(machine.disk.id, ReplicaID{})
			if !next.isQuorum(cluster.isIntact, func(id ReplicaID) bool { return !cluster.isIntact(id) }) {
				return
			}
			_, _ = leader.node.Demote(machine.disk.id, ReplicaID{})
			cluster.processReady(leader, crash)
		}
	}
}

// TestHalvesSafety guards against two leaders in a term and against committed entries that are lost
// or changed when half of the voters are a quorum beside a lost one, with votes, acknowledgements
// and answers about lost disks in flight.
func TestHalvesSafety(t *testing.T) {
	actions := weighted(map[string]int{
		"deliver": 16, "in order": 2, "repeat": 2, "lose": 2, "tick": 10, "ticks": 6, "propose": 6, "crash": 1,
		"restart": 10, "wipe": 3, "compact": 1, "manage": 3, "partition": 2, "heal": 2,
		"ask": 12, "answer": 10, "demote": 1,
	})
	for _, size := range []int{4, 6} {
		t.Run(fmt.Sprintf("%d replicas", size), rapid.MakeCheck(func(t *rapid.T) {
			checkActions(t, newHalvingCluster(size, t.Fatalf), actions)
		}))
	}
}

func newStableCluster(is *is.I, t *testing.T, size int) *cluster {
	cluster := newCluster(size, t.Fatalf)
	is.True(cluster.stabilize())
	return cluster
}

// TestLeaderStepsDown guards against a partitioned leader that does not step down.
func TestLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	cluster := newStableCluster(is, t, 3)
	leader := cluster.leader()
	for range 10 {
		cluster.tick(leader)
	}
	is.Equal(leader.node.Status().Role, Follower) // two minimum election timeouts without a reply
}

// TestPreVote guards against a replica that was partitioned and deposes a working leader
// when it reconnects.
func TestPreVote(t *testing.T) {
	is := is.New(t)
	cluster := newStableCluster(is, t, 3)
	leader := cluster.leader()
	term := leader.node.Status().Term
	var isolated *machine
	for _, machine := range cluster.machines {
		if machine != leader {
			isolated = machine
		}
	}
	for range 50 {
		cluster.tick(isolated)
		cluster.network = nil
	}
	is.True(cluster.stabilize())
	is.Equal(leader.node.Status().Role, Leader)
	is.Equal(leader.node.Status().Term, term)
}

// TestConfirm guards against a leader that confirms its leadership although no quorum
// replied after the call of Confirm.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	cluster := newStableCluster(is, t, 3)
	leader := cluster.leader()
	round, err := leader.node.Confirm()
	is.NoErr(err)
	cluster.processReady(leader, noCrash)
	is.True(leader.node.Status().Confirmed < round) // no reply yet
	for range 2 * len(cluster.machines) {
		if len(cluster.network) > 0 {
			cluster.deliver(0, false, noCrash)
		}
	}
	is.True(leader.node.Status().Confirmed >= round)
}

// TestPromotion guards against the promotion of a replica that does not hold the log, and
// against a previous incarnation that remains a voter.
func TestPromotion(t *testing.T) {
	is := is.New(t)
	cluster := newStableCluster(is, t, 3)
	leader := cluster.leader()
	var lost *machine
	for _, machine := range cluster.machines {
		if machine != leader {
			lost = machine
		}
	}
	former := lost.disk.id
	cluster.wipe(lost)
	cluster.start(lost)
	_, err := leader.node.Promote(lost.disk.id)
	is.Equal(err, ErrNotMember)
	_, err = leader.node.AddLearner(lost.disk.id, true)
	is.NoErr(err)
	_, err = leader.node.Promote(lost.disk.id)
	is.Equal(err, ErrChangePending) // the entry that adds the learner is not committed yet
	is.True(cluster.stabilize())
	members := leader.node.Status().Membership
	is.True(members.IsVoter(lost.disk.id))
	is.True(!members.IsVoter(former))
	is.Equal(len(members.Voters), 3)
}

// TestElectionAfterStart guards against replicas that start together and wait for a full
// election timeout, during which no request is served.
func TestElectionAfterStart(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3, t.Fatalf)
	for range 5 - 1 { // one less than ElectionTicks of the cluster
		for _, machine := range cluster.machines {
			cluster.tick(machine)
		}
	}
	is.True(slices.ContainsFunc(cluster.network, func(message Message) bool { return message.Type == PreVote }))
}
