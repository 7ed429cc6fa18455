package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// warmUp is the time before the first change: the groups have owners by then.
	warmUp = 10 * time.Second
	// changeInterval is that of 2,900 changes a day.
	changeInterval = 24 * time.Hour / 2900
	// cutInterval and cutLength describe the links: one node in twenty is cut off at a
	// time, for longer than the deadline.
	cutInterval = time.Minute
	cutLength   = 20 * time.Second
	cutPart     = 20
	plans       = 50
	adaptersPer = 8
)

// grants returns a list whose plan number "changed" allows one more version.
func grants(count, adapters int, versions map[int]int) *core.Grants {
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

// plansOf returns one plan with one key for each grant.
func plansOf(count int) *core.Plans {
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

// put accepts a list.
func (fleet *fleet) put(command ledger.PutList) {
	command.Replaces = fleet.state.Number()
	fleet.watch.changed()
	fleet.apply(ledger.Command{PutList: &command})
}

// changeAndCut schedules the changes, each of one plan, and the cuts.
func (fleet *fleet) changeAndCut() {
	fleet.after(0, func() { fleet.put(ledger.PutList{Kind: core.PlansList, Plans: plansOf(plans)}) })
	fleet.after(0, func() {
		fleet.put(ledger.PutList{Kind: core.GrantsList, Grants: grants(plans, adaptersPer, nil)})
	})
	versions := make(map[int]int)
	fleet.every(warmUp, changeInterval, func() {
		versions[fleet.faults.IntN(plans)]++
		fleet.put(ledger.PutList{Kind: core.GrantsList, Grants: grants(plans, adaptersPer, versions)})
	})
	fleet.every(warmUp+cutInterval/3, cutInterval, fleet.cutSome)
}

// cutSome cuts some nodes off from all that are not cut.
func (fleet *fleet) cutSome() {
	for _, i := range fleet.faults.Perm(len(fleet.nodes))[:len(fleet.nodes)/cutPart] {
		one := fleet.nodes[i]
		one.cut = true
		fleet.after(cutLength, func() {
			one.cut = false
			fleet.watch.healed[one] = fleet.now
		})
	}
}
