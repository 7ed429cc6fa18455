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

// TestClusterSafety guards against two leaders in a term, against committed
// entries that are lost or changed, against replicas that apply different logs,
// and against a cluster that does not recover once the faults end.
func TestClusterSafety(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), rapid.MakeCheck(func(t *rapid.T) {
			checkCluster(t, newCluster(size, t.Fatalf))
		}))
	}
}

// checkCluster runs random actions and then lets the cluster recover. The actions
// come from one drawn seed: rapid prefers small numbers, with which the runs would
// stay short and the network in order.
func checkCluster(t *rapid.T, cluster *cluster) {
	const steps = 400
	actions := weighted(map[string]int{
		"deliver": 12, "in order": 12, "repeat": 2, "lose": 2, "tick": 8, "ticks": 8, "propose": 10, "crash": 1,
		"restart": 10, "wipe": 1, "compact": 2, "manage": 5, "partition": 1, "heal": 2,
	})
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
	for range steps {
		run(cluster, random, actions[random.IntN(len(actions))])
	}
	if !cluster.settle() {
		t.Fatalf("the cluster does not recover")
	}
}

func weighted(weights map[string]int) []string {
	var actions []string
	for _, action := range slices.Sorted(maps.Keys(weights)) {
		actions = append(actions, slices.Repeat([]string{action}, weights[action])...)
	}
	return actions
}

func run(cluster *cluster, random *rand.Rand, action string) {
	machine := cluster.machines[random.IntN(len(cluster.machines))]
	crash := noCrash
	if random.IntN(15) == 0 {
		crash = crashPoint(random.IntN(4))
	}
	place := -1
	if len(cluster.network) > 0 {
		place = random.IntN(len(cluster.network))
	}
	switch action {
	case "deliver", "repeat":
		if place >= 0 {
			cluster.deliver(place, action == "repeat", crash)
		}
	case "lose":
		if place >= 0 {
			cluster.network = slices.Delete(cluster.network, place, place+1)
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
		cluster.manage()
	case "partition":
		for _, machine := range cluster.machines {
			machine.side = random.IntN(2)
		}
	case "heal":
		cluster.heal()
	}
}

func settled(is *is.I, t *testing.T, size int) *cluster {
	cluster := newCluster(size, t.Fatalf)
	is.True(cluster.settle())
	return cluster
}

// TestLeaderStepsDown guards against a leader that is cut off and keeps leading.
func TestLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	cluster := settled(is, t, 3)
	leader := cluster.leader()
	for range 10 {
		cluster.tick(leader)
	}
	is.Equal(leader.node.Status().Role, Follower) // two election timeouts without an answer
}

// TestPreVote guards against a replica that was cut off and deposes a working
// leader when it comes back.
func TestPreVote(t *testing.T) {
	is := is.New(t)
	cluster := settled(is, t, 3)
	leader := cluster.leader()
	term := leader.node.Status().Term
	var alone *machine
	for _, machine := range cluster.machines {
		if machine != leader {
			alone = machine
		}
	}
	for range 50 {
		cluster.tick(alone)
		cluster.network = nil
	}
	is.True(cluster.settle())
	is.Equal(leader.node.Status().Role, Leader)
	is.Equal(leader.node.Status().Term, term)
}

// TestConfirm guards against a leader that confirms its leadership without a
// quorum that answered after the call.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	cluster := settled(is, t, 3)
	leader := cluster.leader()
	round, err := leader.node.Confirm()
	is.NoErr(err)
	cluster.work(leader, noCrash)
	is.True(leader.node.Status().Confirmed < round) // no answer yet
	for range 2 * len(cluster.machines) {
		if len(cluster.network) > 0 {
			cluster.deliver(0, false, noCrash)
		}
	}
	is.True(leader.node.Status().Confirmed >= round)
}

// TestPromotion guards against a new replica that gets a vote before it holds the
// log, and against an old incarnation that keeps its vote.
func TestPromotion(t *testing.T) {
	is := is.New(t)
	cluster := settled(is, t, 3)
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
	_, err = leader.node.AddLearner(lost.disk.id)
	is.NoErr(err)
	_, err = leader.node.Promote(lost.disk.id)
	is.Equal(err, ErrChangePending) // the learner is not committed yet
	is.True(cluster.settle())
	members := leader.node.Status().Membership
	is.True(members.IsVoter(lost.disk.id))
	is.True(!members.IsVoter(former))
	is.Equal(len(members.Voters), 3)
}

// TestElectionAfterStart guards against replicas that start together and wait for a whole
// election timeout: nobody is served before the election.
func TestElectionAfterStart(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(3, t.Fatalf)
	for range 5 - 1 { // the ElectionTicks of the cluster, less one
		for _, machine := range cluster.machines {
			cluster.tick(machine)
		}
	}
	is.True(slices.ContainsFunc(cluster.network, func(message Message) bool { return message.Type == PreVote }))
}
