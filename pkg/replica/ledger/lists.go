package ledger

import (
	"encoding/json"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// changeRecord is a change together with the plans whose entries it changed.
type changeRecord struct {
	Change
	plans []core.PlanID
}

// lists holds both lists with their history. The change with number n stands at
// changes[n-1].
type lists struct {
	plans   *series
	grants  *series
	changes []changeRecord
}

func newLists() lists {
	return lists{plans: newSeries(), grants: newSeries()}
}

func (lists *lists) series(kind core.ListKind) *series {
	if kind == core.PlansList {
		return lists.plans
	}
	return lists.grants
}

func (lists *lists) number() core.ConfigNumber {
	return core.ConfigNumber(len(lists.changes))
}

func (lists *lists) change(number core.ConfigNumber) (Change, bool) {
	if number == 0 || number > lists.number() {
		return Change{}, false
	}
	return lists.changes[number-1].Change, true
}

func (lists *lists) hash() string {
	if latest, ok := lists.change(lists.number()); ok {
		return latest.Hash
	}
	return ""
}

// check returns the canonical form of the list in a command, or its faults.
func (put PutList) check() (canonical, []core.Fault) {
	switch {
	case put.Kind == core.PlansList && put.Plans != nil:
		if faults := core.CheckPlans(*put.Plans); len(faults) > 0 {
			return canonical{}, faults
		}
		return canonicalPlans(*put.Plans), nil
	case put.Kind == core.GrantsList && put.Grants != nil:
		if faults := core.CheckGrants(*put.Grants); len(faults) > 0 {
			return canonical{}, faults
		}
		return canonicalGrants(*put.Grants), nil
	default:
		return canonical{}, []core.Fault{{Place: "Kind", Reason: "the command does not hold the list that it names"}}
	}
}

// Prepared is a checked PutList with everything that does not depend on the state.
type Prepared struct {
	put    PutList
	form   canonical
	faults []core.Fault
	hash   string
}

// Prepare checks a list and brings it into its canonical form. At the design size
// this takes over 10 ms, so it is done before the state is locked.
func Prepare(put PutList) Prepared {
	prepared := Prepared{put: put}
	prepared.form, prepared.faults = put.check()
	if len(prepared.faults) == 0 {
		prepared.hash = prepared.form.hash()
	}
	return prepared
}

// Reduce returns the form of a PutList that is to be committed. If the answer is
// already certain, because the list has faults or the number is taken, Reduce
// returns it and true, and nothing is to be committed.
func (state *State) Reduce(prepared Prepared) (ListChange, PutListResult, bool) {
	put := prepared.put
	if len(prepared.faults) > 0 {
		return ListChange{}, state.lists.refuse(prepared.faults), true
	}
	change := ListChange{Kind: put.Kind, Replaces: put.Replaces, ContentHash: prepared.hash, Operator: put.Operator}
	if put.Replaces != state.lists.number() {
		return ListChange{}, state.lists.settled(change), true
	}
	change.Entries, change.Removed = prepared.form.difference(state.lists.series(put.Kind))
	change.Hash = state.lists.hashWith(put.Kind, prepared.form)
	return change, PutListResult{}, false
}

func (state *State) applyPutList(put PutList) PutListResult {
	change, result, settled := state.Reduce(Prepare(put))
	if settled {
		return result
	}
	return state.lists.apply(state.now, change)
}

// hashWith returns the hash of the configuration if one of the lists is replaced.
func (lists *lists) hashWith(kind core.ListKind, form canonical) string {
	if kind == core.PlansList {
		return hashConfig(form, lists.grants.form())
	}
	return hashConfig(lists.plans.form(), form)
}

func (lists *lists) computeHash() string {
	return hashConfig(lists.plans.form(), lists.grants.form())
}

func (lists *lists) refuse(faults []core.Fault) PutListResult {
	return PutListResult{Number: lists.number(), Hash: lists.hash(), Faults: faults}
}

// settled answers a change whose number is not the current one: the first answer
// if it is a resend of the change that took the number, and a conflict otherwise.
func (lists *lists) settled(change ListChange) PutListResult {
	taken, ok := lists.change(change.Replaces + 1)
	if ok && taken.Kind == change.Kind && taken.ContentHash == change.ContentHash {
		return PutListResult{Accepted: true, Number: taken.Number, Hash: taken.Hash}
	}
	result := PutListResult{Number: lists.number(), Hash: lists.hash()}
	if ok {
		result.Winner = &taken
	}
	return result
}

func (lists *lists) apply(now int64, change ListChange) PutListResult {
	if change.Replaces != lists.number() {
		return lists.settled(change)
	}
	plans, faults := planIDs(change.Entries)
	if len(faults) > 0 {
		return lists.refuse(faults)
	}
	number := change.Replaces + 1
	list := lists.series(change.Kind)
	for i, plan := range plans {
		list.set(plan, number, change.Entries[i])
	}
	for _, plan := range change.Removed {
		list.set(plan, number, nil)
	}
	if change.Hash == "" {
		change.Hash = lists.computeHash()
	}
	accepted := Change{
		Number: number, Kind: change.Kind, Hash: change.Hash,
		ContentHash: change.ContentHash, Operator: change.Operator, At: now,
	}
	lists.changes = append(lists.changes, changeRecord{accepted, slices.Concat(plans, change.Removed)})
	return PutListResult{Accepted: true, Number: number, Hash: accepted.Hash}
}

// planIDs returns the plan of each entry.
func planIDs(entries []json.RawMessage) ([]core.PlanID, []core.Fault) {
	plans := make([]core.PlanID, 0, len(entries))
	for _, entry := range entries {
		var named struct{ Plan core.PlanID }
		if err := json.Unmarshal(entry, &named); err != nil || named.Plan == "" {
			return nil, []core.Fault{{Place: "Entries", Reason: "an entry names no plan"}}
		}
		plans = append(plans, named.Plan)
	}
	return plans, nil
}
