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
	plans   []core.PlanID
	content func(core.PlanID) []byte
}

// form returns the list that is in force.
func (series *series) form() canonical {
	return canonical{plans: series.live, content: series.now}
}

// canonicalPlans returns the canonical form of a checked list.
func canonicalPlans(list core.Plans) canonical {
	return canonicalForm(list.Plans, func(plan core.Plan) core.PlanID { return plan.Plan })
}

// canonicalGrants returns the canonical form of a checked list.
func canonicalGrants(list core.Grants) canonical {
	return canonicalForm(list.Grants, func(grant core.Grant) core.PlanID { return grant.Plan })
}

func canonicalForm[Entry any](entries []Entry, name func(Entry) core.PlanID) canonical {
	contents := make(map[core.PlanID][]byte, len(entries))
	plans := make([]core.PlanID, 0, len(entries))
	for _, entry := range entries {
		content, err := json.Marshal(entry)
		if err != nil {
			panic(errEntryEncoding)
		}
		plans = append(plans, name(entry))
		contents[name(entry)] = content
	}
	slices.Sort(plans)
	return canonical{plans: plans, content: func(plan core.PlanID) []byte { return contents[plan] }}
}

// hash returns the hash of the list that the form stands for.
func (form canonical) hash() string {
	sum := sha256.New()
	form.write(sum)
	return hex.EncodeToString(sum.Sum(nil))
}

func (form canonical) write(sum hash.Hash) {
	sum.Write([]byte("["))
	for i, plan := range form.plans {
		if i > 0 {
			sum.Write([]byte(","))
		}
		sum.Write(form.content(plan))
	}
	sum.Write([]byte("]"))
}

// difference returns what changes the present entries into the form.
func (form canonical) difference(series *series) (entries []json.RawMessage, removed []core.PlanID) {
	for _, plan := range form.plans {
		if !bytes.Equal(series.now(plan), form.content(plan)) {
			entries = append(entries, form.content(plan))
		}
	}
	for _, plan := range series.live {
		if form.content(plan) == nil {
			removed = append(removed, plan)
		}
	}
	return entries, removed
}

// hashConfig returns the SHA-256 of the canonical JSON of both lists:
// {"Plans":[...],"Grants":[...]} with the entries sorted by plan.
func hashConfig(plans, grants canonical) string {
	sum := sha256.New()
	sum.Write([]byte(`{"Plans":`))
	plans.write(sum)
	sum.Write([]byte(`,"Grants":`))
	grants.write(sum)
	sum.Write([]byte("}"))
	return hex.EncodeToString(sum.Sum(nil))
}

// Hash returns the hash of a configuration; the order of its entries does not
// count.
func Hash(plans core.Plans, grants core.Grants) string {
	return hashConfig(canonicalPlans(plans), canonicalGrants(grants))
}
