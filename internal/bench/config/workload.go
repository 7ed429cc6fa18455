package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// warmUp is the time before the first change, by which all groups have owners.
	warmUp = 10 * time.Second
	// changeInterval corresponds to 2,900 changes per day.
	changeInterval = 24 * time.Hour / 2900
	// In every partitionInterval, one node in partitionDivisor is partitioned from the
	// others for partitionDuration, which is longer than the deadline.
	partitionInterval = time.Minute
	partitionDuration = 20 * time.Second
	partitionDivisor  = 20
	planCount         = 50
	adaptersPerPlan   = 8
)

// makeGrants returns a list of grants with the given number of plans and of adapters per
// plan. Plan i allows versions[i]+1 versions of each of its adapters.
func makeGrants(count, adapters int, versions map[int]int) *core.Grants {
	list := &core.Grants{}
	for i := range count {
		grant := core.Grant{Plan: core.PlanID(fmt.Sprintf("plan-%d", i)), DeadlineMillis: 2000}
		for j := range adapters {
			allowed := core.AdapterGrant{Adapter: core.AdapterID(fmt.Sprintf("adapter-%d-%d", i, j)), Model: "model-0"}
			for version := range versions[i] + 1 {
				allowed.Versions = append(allowed.Versions, core.Version(fmt.Sprint(version+1)))
			}
			grant.Adapters = append(grant.Adapters, allowed)
		}
		list.Grants = append(list.Grants, grant)
	}
	return list
}

// makePlans returns a list of count plans with one key each.
func makePlans(count int) *core.Plans {
	list := &core.Plans{}
	for i := range count {
		hash := fmt.Sprintf("%064x", i)
		list.Plans = append(list.Plans, core.Plan{
			Plan: core.PlanID(fmt.Sprintf("plan-%d", i)), Customer: core.CustomerID(fmt.Sprintf("customer-%d", i)),
			KeyHashes: []core.KeyHash{core.KeyHash(strings.ToLower(hash))},
		})
	}
	return list
}

// putList commits a list as an accepted change.
func (sim *simulation) putList(command ledger.PutList) {
	command.Replaces = sim.state.Number()
	sim.recorder.recordChange()
	sim.commit(ledger.Command{PutList: &command})
}

// scheduleWorkload schedules the initial lists, the periodic changes of one random plan
// each, and the partitions.
func (sim *simulation) scheduleWorkload() {
	sim.schedule(0, func() { sim.putList(ledger.PutList{Kind: core.PlansList, Plans: makePlans(planCount)}) })
	sim.schedule(0, func() {
		sim.putList(ledger.PutList{Kind: core.GrantsList, Grants: makeGrants(planCount, adaptersPerPlan, nil)})
	})
	versions := make(map[int]int)
	sim.scheduleEvery(warmUp, changeInterval, func() {
		versions[sim.faultRandom.IntN(planCount)]++
		sim.putList(ledger.PutList{Kind: core.GrantsList, Grants: makeGrants(planCount, adaptersPerPlan, versions)})
	})
	sim.scheduleEvery(warmUp+partitionInterval/3, partitionInterval, sim.partitionNodes)
}

// partitionNodes separates a random set of nodes from the leader and all nodes outside
// the set, and reconnects them after partitionDuration.
func (sim *simulation) partitionNodes() {
	for _, i := range sim.faultRandom.Perm(len(sim.nodes))[:len(sim.nodes)/partitionDivisor] {
		node := sim.nodes[i]
		node.partitioned = true
		sim.schedule(partitionDuration, func() {
			node.partitioned = false
			sim.recorder.reconnected[node] = sim.now
		})
	}
}
