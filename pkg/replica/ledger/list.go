package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// version is one entry of a list from a number on. A removed entry has no content.
type version struct {
	number  core.ConfigNumber
	content []byte
}

// series holds every entry that a list ever had, with all its versions, so that
// the list at any number can be read. A change costs only its own entries.
type series struct {
	versions map[core.PlanID][]version
	// live holds the plans with an entry now, in order.
	live []core.PlanID
}

func newSeries() *series {
	return &series{versions: make(map[core.PlanID][]version)}
}

// at returns the entry of a plan at a number, and nil if there was none.
func (series *series) at(plan core.PlanID, number core.ConfigNumber) []byte {
	versions := series.versions[plan]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].number <= number {
			return versions[i].content
		}
	}
	return nil
}

// now returns the entry of a plan, and nil if there is none.
func (series *series) now(plan core.PlanID) []byte {
	versions := series.versions[plan]
	if len(versions) == 0 {
		return nil
	}
	return versions[len(versions)-1].content
}

func (series *series) set(plan core.PlanID, number core.ConfigNumber, content []byte) {
	series.versions[plan] = append(series.versions[plan], version{number, content})
	place, found := slices.BinarySearch(series.live, plan)
	switch {
	case content == nil && found:
		series.live = slices.Delete(series.live, place, place+1)
	case content != nil && !found:
		series.live = slices.Insert(series.live, place, plan)
	}
}

// plansAt returns the plans with an entry at a number, in order.
func (series *series) plansAt(number core.ConfigNumber) []core.PlanID {
	var plans []core.PlanID
	for plan := range series.versions {
		if series.at(plan, number) != nil {
			plans = append(plans, plan)
		}
	}
	slices.Sort(plans)
	return plans
}

// canonical is one list as sorted entries, each in its canonical JSON.
type canonical struct {
	plans    []core.PlanID
	contents map[core.PlanID][]byte
}

// canonicalPlans returns the canonical form of a checked list.
func canonicalPlans(list core.Plans) canonical {
	form := canonical{contents: make(map[core.PlanID][]byte, len(list.Plans))}
	for _, plan := range list.Plans {
		form.add(plan.Plan, plan)
	}
	slices.Sort(form.plans)
	return form
}

// canonicalGrants returns the canonical form of a checked list.
func canonicalGrants(list core.Grants) canonical {
	form := canonical{contents: make(map[core.PlanID][]byte, len(list.Grants))}
	for _, grant := range list.Grants {
		form.add(grant.Plan, grant)
	}
	slices.Sort(form.plans)
	return form
}

func (form *canonical) add(plan core.PlanID, entry any) {
	content, err := json.Marshal(entry)
	if err != nil {
		panic(errEntryEncoding)
	}
	form.plans = append(form.plans, plan)
	form.contents[plan] = content
}

// hash returns the hash of the list that the form stands for.
func (form *canonical) hash() string {
	sum := sha256.New()
	writeEntries(sum, form.plans, func(plan core.PlanID) []byte { return form.contents[plan] })
	return hex.EncodeToString(sum.Sum(nil))
}

// difference returns what changes the present entries into the form.
func (form *canonical) difference(series *series) (entries []json.RawMessage, removed []core.PlanID) {
	for _, plan := range form.plans {
		if !bytes.Equal(series.now(plan), form.contents[plan]) {
			entries = append(entries, form.contents[plan])
		}
	}
	for _, plan := range series.live {
		if form.contents[plan] == nil {
			removed = append(removed, plan)
		}
	}
	return entries, removed
}

func writeEntries(sum hash.Hash, plans []core.PlanID, content func(core.PlanID) []byte) {
	sum.Write([]byte("["))
	for i, plan := range plans {
		if i > 0 {
			sum.Write([]byte(","))
		}
		sum.Write(content(plan))
	}
	sum.Write([]byte("]"))
}

// hashConfig returns the SHA-256 of the canonical JSON of both lists:
// {"Plans":[...],"Grants":[...]} with the entries sorted by plan.
func hashConfig(plans, grants *series) string {
	sum := sha256.New()
	sum.Write([]byte(`{"Plans":`))
	writeEntries(sum, plans.live, plans.now)
	sum.Write([]byte(`,"Grants":`))
	writeEntries(sum, grants.live, grants.now)
	sum.Write([]byte("}"))
	return hex.EncodeToString(sum.Sum(nil))
}

// Hash returns the hash of a configuration; the order of its entries does not
// count.
func Hash(plans core.Plans, grants core.Grants) string {
	planForm, grantForm := canonicalPlans(plans), canonicalGrants(grants)
	sum := sha256.New()
	sum.Write([]byte(`{"Plans":`))
	writeEntries(sum, planForm.plans, func(plan core.PlanID) []byte { return planForm.contents[plan] })
	sum.Write([]byte(`,"Grants":`))
	writeEntries(sum, grantForm.plans, func(plan core.PlanID) []byte { return grantForm.contents[plan] })
	sum.Write([]byte("}"))
	return hex.EncodeToString(sum.Sum(nil))
}
