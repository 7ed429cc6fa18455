package host

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// TestBootstrap guards against a group that forms while a VM with a disk is missing:
// the missing VM may belong to an existing group.
func TestBootstrap(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms[:2]...)
		_, err := cluster.claim("early", 20*time.Second)
		cluster.is.True(errors.Is(err, ErrNoQuorum))
		cluster.is.True(cluster.replica(cluster.vms[0], 0).empty.Load())
		cluster.start(cluster.vms[2])
		cluster.mustClaim("late")
		cluster.waitForClaims(1, cluster.vms...)
	})
}

// TestRestart guards against lost commands when all VMs restart, with and without a
// snapshot.
func TestRestart(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		for round := range 3 {
			cluster.start(cluster.vms...)
			for i := range 40 {
				cluster.mustClaim(fmt.Sprint(round, "-", i))
			}
			cluster.waitForClaims(40*(round+1), cluster.vms...)
			cluster.stop(cluster.vms...)
		}
	})
}

// TestReplacedDisk guards against three faults after a VM lost its disk: its replica
// is not added to the group, it is taken for the replica on the lost disk, or it forms
// a new group. It also guards against lost data when a second disk is lost right after
// the repair. The VM that formed the group loses its disk first.
func TestReplacedDisk(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		keys := 0
		for round := range 4 {
			lost := cluster.vms[round%3]
			for range 60 {
				cluster.mustClaim(fmt.Sprint(keys))
				keys++
			}
			previous := cluster.replica(lost, 1).Incarnation()
			cluster.stop(lost)
			cluster.wipe(lost)
			cluster.start(lost)
			cluster.is.True(cluster.replica(lost, 1).Incarnation() != previous)
			cluster.waitFor("the new replica is a voter", func() bool {
				leader := cluster.leader(1)
				if leader == "" {
					return false
				}
				status := cluster.replica(leader, 1).Status()
				id := raft.ReplicaID{VM: lost, Incarnation: cluster.replica(lost, 1).Incarnation()}
				return status.Membership.IsVoter(id) && len(status.Membership.Voters) == 3
			})
		}
		cluster.waitForClaims(keys, cluster.vms...)
	})
}

// TestLargeSnapshot guards against a snapshot that does not fit into one frame.
func TestLargeSnapshot(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		ctx := cluster.t.Context()
		for i := range 60 {
			key := fmt.Sprint(i)
			cluster.mustClaim(key)
			answer := &ledger.Answer{Status: 200, Body: bytes.Repeat([]byte{byte(i)}, int(ledger.MaxAnswerBytes))}
			cluster.is.NoErr(cluster.client.Record(ctx, ledger.Record{
				Customer: "customer", Key: core.IdempotencyKey(key), Attempt: core.AttemptID("attempt " + key), Outcome: core.Ran, Answer: answer,
			}))
		}
		lost := cluster.vms[1]
		cluster.stop(lost)
		cluster.wipe(lost)
		cluster.start(lost)
		cluster.waitForClaims(60, cluster.vms...)
		cluster.is.True(cluster.replica(lost, 1).Status().Snapshot > 1)
	})
}

// TestCutOffLeader guards against a leader that still confirms its leadership or
// accepts commands after it was cut off, and against commands that wait for it
// forever.
func TestCutOffLeader(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		cluster.mustClaim("before")
		old := cluster.leader(1)
		cluster.network.setCut(old, true)
		ctx, cancel := context.WithTimeout(cluster.t.Context(), 5*time.Second)
		defer cancel()
		cluster.is.True(cluster.replica(old, 1).Confirm(ctx) != nil)
		started := time.Now()
		cluster.mustClaim("after")
		cluster.is.True(time.Since(started) < 1500*time.Millisecond) // duration of an election
		cluster.is.NoErr(cluster.replica(cluster.leader(1), 1).Confirm(cluster.t.Context()))
		cluster.network.setCut(old, false)
		cluster.waitForClaims(2, cluster.vms...)
	})
}

// TestUncertain guards against ErrNotCommitted for a command that is in the log of a
// cut-off leader, and against ErrUncertain for one that never entered it.
func TestUncertain(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		cluster.mustClaim("before")
		leader := cluster.leader(1)
		for _, vm := range cluster.vms {
			cluster.network.setCut(vm, vm != leader)
		}
		_, err := cluster.claim("during", 10*time.Second)
		cluster.is.True(errors.Is(err, ErrUncertain))
		_, err = cluster.claim("later", 10*time.Second)
		cluster.is.True(errors.Is(err, ErrNoQuorum))
		for _, vm := range cluster.vms {
			cluster.network.setCut(vm, false)
		}
		cluster.mustClaim("during") // the same attempt, whether or not the first call was committed
	})
}

// TestFailedDisk guards against a replica that continues after a failed sync.
func TestFailedDisk(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		broken := false
		cluster.start(cluster.vms[1:]...)
		cluster.config.System = faultyDisk{broken: &broken}
		cluster.start(cluster.vms[0])
		cluster.mustClaim("before")
		cluster.waitForClaims(1, cluster.vms...)
		broken = true
		cluster.mustClaim("after")
		cluster.waitForClaims(2, cluster.vms[1:]...)
		cluster.waitFor("the replica stops", func() bool { return cluster.replica(cluster.vms[0], 1).Err() != nil })
		cluster.is.True(errors.Is(cluster.replica(cluster.vms[0], 1).Err(), ErrStopped))
	})
}

// TestPutList guards against two different lists with one number, and against a
// repeated command that is answered as a conflict.
func TestPutList(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		put := func(customer string, replaces core.ConfigNumber) ledger.PutListResult {
			plan := core.Plan{Plan: "p", Customer: core.CustomerID(customer), KeyHashes: []core.KeyHash{core.KeyHash(bytes.Repeat([]byte("a"), 64))}}
			ctx, cancel := context.WithTimeout(cluster.t.Context(), 10*time.Second)
			defer cancel()
			result, err := cluster.client.PutList(ctx, ledger.PutList{Kind: core.PlansList, Replaces: replaces, Plans: &core.Plans{Plans: []core.Plan{plan}}, Operator: "o"})
			cluster.is.NoErr(err)
			return result
		}
		first := put("one", 0)
		cluster.is.True(first.Accepted)
		conflict := put("two", 0)
		cluster.is.True(!conflict.Accepted)
		cluster.is.Equal(conflict.Winner.Hash, first.Hash)
		cluster.is.True(put("two", 1).Accepted)
		cluster.is.Equal(put("one", 0), first) // a repeated command after a newer change
	})
}

// TestShardOf guards against a change of the mapping of keys to shards, with which a
// key could be claimed twice.
func TestShardOf(t *testing.T) {
	is := is.New(t)
	is.Equal(ShardOf("customer", "key", 1), core.ShardID(1))
	is.Equal(ShardOf("customer", "key", 16), core.ShardID(3))
	is.True(ShardOf("ab", "c", 1<<20) != ShardOf("a", "bc", 1<<20))
}

// TestSubscribe guards against a change that is applied without a signal.
func TestSubscribe(t *testing.T) {
	runCluster(t, 1, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		cluster.mustClaim("first")
		changes, cancel := cluster.replica(cluster.vms[0], 1).Subscribe()
		defer cancel()
		cluster.mustClaim("second")
		<-changes
		cluster.waitForClaims(2, cluster.vms...)
	})
}
