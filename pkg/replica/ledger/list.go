package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// series holds every entry that a list ever had, with all its versions, so that
// the list at any number can be read. A change costs only its own entries.
type series struct {
	entries map[core.PlanID]*entryHistory
	// live holds the plans with an entry now, in order.
	live []core.PlanID
}

func newSeries() *series {
	return &series{entries: make(map[core.PlanID]*entryHistory)}
}

// now returns the entry of a plan, and nil if there is none.
func (series *series) now(plan core.PlanID) []byte {
	if entry := series.entries[plan]; entry != nil {
		return entry.now()
	}
	return nil
}

func (series *series) set(plan core.PlanID, number core.ConfigNumber, content []byte) {
	entry := series.entries[plan]
	if entry == nil {
		entry = &entryHistory{}
		series.entries[plan] = entry
	}
	entry.add(version{number, content})
	place, found := slices.BinarySearch(series.live, plan)
	switch {
	case content == nil && found:
		series.live = slices.Delete(series.live, place, place+1)
	case content != nil && !found:
		series.live = slices.Insert(series.live, place, plan)
	}
}

// at returns the entries of the list at a number, in the order of their plans.
func (series *series) at(number core.ConfigNumber) ([][]byte, error) {
	contents := make(map[core.PlanID][]byte)
	var plans []core.PlanID
	for plan, entry := range series.entries {
		content, err := entry.at(number)
		if err != nil {
			return nil, errors.Wrapf(err, "entry of plan %q", plan)
		}
		if content != nil {
			contents[plan] = content
			plans = append(plans, plan)
		}
	}
	slices.Sort(plans)
	sorted := make([][]byte, len(plans))
	for i, plan := range plans {
		sorted[i] = contents[plan]
	}
	return sorted, nil
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
func hashConfig(plans, grants canonical) [hashSize]byte {
	sum := sha256.New()
	sum.Write([]byte(`{"Plans":`))
	plans.write(sum)
	sum.Write([]byte(`,"Grants":`))
	grants.write(sum)
	sum.Write([]byte("}"))
	return [hashSize]byte(sum.Sum(nil))
}

// Hash returns the hash of a configuration; the order of its entries does not
// count.
func Hash(plans core.Plans, grants core.Grants) string {
	sum := hashConfig(canonicalPlans(plans), canonicalGrants(grants))
	return hex.EncodeToString(sum[:])
}
