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

// versionedList holds all versions of all entries of a list, so that the list can be
// read as of any configuration number. A change adds versions of the changed entries
// only.
type versionedList struct {
	entries map[core.PlanID]*entryHistory
	// currentPlans holds the plans that currently have an entry, sorted.
	currentPlans []core.PlanID
}

func newVersionedList() *versionedList {
	return &versionedList{entries: make(map[core.PlanID]*entryHistory)}
}

// current returns the JSON of the current entry of a plan, and nil if there is none.
func (versions *versionedList) current(plan core.PlanID) []byte {
	if entry := versions.entries[plan]; entry != nil {
		return entry.current()
	}
	return nil
}

// set adds a version of the entry of a plan; nil content removes the entry.
func (versions *versionedList) set(plan core.PlanID, number core.ConfigNumber, content []byte) {
	entry := versions.entries[plan]
	if entry == nil {
		entry = &entryHistory{}
		versions.entries[plan] = entry
	}
	entry.add(version{number, content})
	index, found := slices.BinarySearch(versions.currentPlans, plan)
	switch {
	case content == nil && found:
		versions.currentPlans = slices.Delete(versions.currentPlans, index, index+1)
	case content != nil && !found:
		versions.currentPlans = slices.Insert(versions.currentPlans, index, plan)
	}
}

// at returns the JSON of the entries as of a configuration number, sorted by plan. It
// returns an error if a compressed version cannot be read.
func (versions *versionedList) at(number core.ConfigNumber) ([][]byte, error) {
	contents := make(map[core.PlanID][]byte)
	var plans []core.PlanID
	for plan, entry := range versions.entries {
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

// canonicalList is a list with its plans sorted and each entry in canonical JSON.
type canonicalList struct {
	plans   []core.PlanID
	content func(core.PlanID) []byte
}

// canonical returns the current list.
func (versions *versionedList) canonical() canonicalList {
	return canonicalList{plans: versions.currentPlans, content: versions.current}
}

// canonicalPlans returns the canonical form of a validated list.
func canonicalPlans(list core.Plans) canonicalList {
	return canonicalize(list.Plans, func(plan core.Plan) core.PlanID { return plan.Plan })
}

// canonicalGrants returns the canonical form of a validated list.
func canonicalGrants(list core.Grants) canonicalList {
	return canonicalize(list.Grants, func(grant core.Grant) core.PlanID { return grant.Plan })
}

func canonicalize[Entry any](entries []Entry, planOf func(Entry) core.PlanID) canonicalList {
	contents := make(map[core.PlanID][]byte, len(entries))
	plans := make([]core.PlanID, 0, len(entries))
	for _, entry := range entries {
		content, err := json.Marshal(entry)
		if err != nil {
			panic(errEntryEncoding)
		}
		plans = append(plans, planOf(entry))
		contents[planOf(entry)] = content
	}
	slices.Sort(plans)
	return canonicalList{plans: plans, content: func(plan core.PlanID) []byte { return contents[plan] }}
}

// hash returns the hexadecimal SHA-256 of the list.
func (list canonicalList) hash() string {
	sum := sha256.New()
	list.write(sum)
	return hex.EncodeToString(sum.Sum(nil))
}

// write writes the list to digest as a JSON array.
func (list canonicalList) write(digest hash.Hash) {
	digest.Write([]byte("["))
	for i, plan := range list.plans {
		if i > 0 {
			digest.Write([]byte(","))
		}
		digest.Write(list.content(plan))
	}
	digest.Write([]byte("]"))
}

// diff returns the entries to set and the plans to remove so that the current entries
// of versions become equal to list.
func (list canonicalList) diff(versions *versionedList) (entries []json.RawMessage, removed []core.PlanID) {
	for _, plan := range list.plans {
		if !bytes.Equal(versions.current(plan), list.content(plan)) {
			entries = append(entries, list.content(plan))
		}
	}
	for _, plan := range versions.currentPlans {
		if list.content(plan) == nil {
			removed = append(removed, plan)
		}
	}
	return entries, removed
}

// hashConfig returns the SHA-256 of the canonical JSON of both lists:
// {"Plans":[...],"Grants":[...]} with the entries sorted by plan.
func hashConfig(plans, grants canonicalList) [hashSize]byte {
	sum := sha256.New()
	sum.Write([]byte(`{"Plans":`))
	plans.write(sum)
	sum.Write([]byte(`,"Grants":`))
	grants.write(sum)
	sum.Write([]byte("}"))
	return [hashSize]byte(sum.Sum(nil))
}

// Hash returns the hexadecimal SHA-256 of a configuration. It does not depend on the
// order of the entries.
func Hash(plans core.Plans, grants core.Grants) string {
	sum := hashConfig(canonicalPlans(plans), canonicalGrants(grants))
	return hex.EncodeToString(sum[:])
}
