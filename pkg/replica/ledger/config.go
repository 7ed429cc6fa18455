package ledger

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Number returns the number of the last accepted change, and zero before the first
// change.
func (state *State) Number() core.ConfigNumber { return state.lists.number() }

// Hash returns the hash of the current configuration as hexadecimal SHA-256, and an
// empty string before the first change.
func (state *State) Hash() string { return state.lists.hash() }

// Change returns the accepted change with the given number, and false if no change
// has that number.
func (state *State) Change(number core.ConfigNumber) (Change, bool) {
	return state.lists.change(number)
}

// History returns at most limit accepted changes with numbers above after, oldest
// first.
func (state *State) History(after core.ConfigNumber, limit int) []Change {
	var changes []Change
	for number := after + 1; number <= state.lists.number() && len(changes) < limit; number++ {
		change, _ := state.lists.change(number)
		changes = append(changes, change)
	}
	return changes
}

// ConfigAt returns the configuration as of the given number. It returns false if no
// change with that number has been accepted yet, and an error if a stored entry cannot
// be read. The configuration of number 0 is empty.
func (state *State) ConfigAt(number core.ConfigNumber) (core.Config, bool, error) {
	if number > state.lists.number() {
		return core.Config{}, false, nil
	}
	config := core.Config{Number: number}
	if change, ok := state.lists.change(number); ok {
		config.Hash = change.Hash
	}
	var err error
	if config.Plans.Plans, err = entriesAt[core.Plan](state.lists.plans, number); err != nil {
		return core.Config{}, false, errors.Wrapf(err, "plans at number %d", number)
	}
	if config.Grants.Grants, err = entriesAt[core.Grant](state.lists.grants, number); err != nil {
		return core.Config{}, false, errors.Wrapf(err, "grants at number %d", number)
	}
	return config, true, nil
}

func entriesAt[Entry any](list *versionedList, number core.ConfigNumber) ([]Entry, error) {
	contents, err := list.at(number)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, len(contents))
	for i, content := range contents {
		if err := json.Unmarshal(content, &entries[i]); err != nil {
			return nil, errors.Wrap(err, "decode entry")
		}
	}
	return entries, nil
}

// Delta describes how to change a configuration from one number to another. A delta
// from number zero contains the complete lists.
type Delta struct {
	From core.ConfigNumber
	To   core.ConfigNumber
	// Hash is the hexadecimal SHA-256 of the configuration at To.
	Hash string
	// At is the time when the change To was accepted, in Unix milliseconds.
	At int64
	// Plans and Grants hold the JSON of changed and new entries.
	Plans         []json.RawMessage
	RemovedPlans  []core.PlanID
	Grants        []json.RawMessage
	RemovedGrants []core.PlanID
}

// DeltaSince returns the delta from the given number to the current configuration.
// If that number was never accepted, the delta starts from zero.
func (state *State) DeltaSince(number core.ConfigNumber) Delta {
	lists := &state.lists
	if number > lists.number() {
		number = 0
	}
	delta := Delta{From: number, To: lists.number(), Hash: lists.hash()}
	if latest, ok := lists.change(delta.To); ok {
		delta.At = latest.At
	}
	if number == 0 {
		delta.Plans, _ = currentEntries(lists.plans, lists.plans.currentPlans)
		delta.Grants, _ = currentEntries(lists.grants, lists.grants.currentPlans)
		return delta
	}
	delta.Plans, delta.RemovedPlans = currentEntries(lists.plans, lists.changedPlans(core.PlansList, number))
	delta.Grants, delta.RemovedGrants = currentEntries(lists.grants, lists.changedPlans(core.GrantsList, number))
	return delta
}

// changedPlans returns the plans whose entries in one list changed after the given
// number, sorted.
func (lists *lists) changedPlans(kind core.ListKind, number core.ConfigNumber) []core.PlanID {
	var plans []core.PlanID
	for _, change := range lists.changes[number:] {
		if change.kind == kind {
			plans = append(plans, change.plans...)
		}
	}
	slices.Sort(plans)
	return slices.Compact(plans)
}

// currentEntries returns the current entries of the given plans, and the plans that
// have no entry.
func currentEntries(list *versionedList, plans []core.PlanID) (entries []json.RawMessage, removed []core.PlanID) {
	for _, plan := range plans {
		if content := list.current(plan); content != nil {
			entries = append(entries, content)
		} else {
			removed = append(removed, plan)
		}
	}
	return entries, removed
}

// Apply returns the configuration at delta.To. It returns an error if the delta does
// not start at the number of config, if an entry cannot be decoded, or if the hash of
// the result differs from delta.Hash. It does not modify the lists of config.
func (delta Delta) Apply(config core.Config) (core.Config, error) {
	if delta.From != 0 && delta.From != config.Number {
		return core.Config{}, errors.Errorf("delta starts at number %d, not at %d", delta.From, config.Number)
	}
	if delta.From == 0 {
		config = core.Config{}
	}
	next := core.Config{Number: delta.To, Hash: delta.Hash}
	var err error
	next.Plans.Plans, err = mergeEntries(config.Plans.Plans, delta.Plans, delta.RemovedPlans, func(plan core.Plan) core.PlanID { return plan.Plan })
	if err != nil {
		return core.Config{}, errors.Wrap(err, "plans")
	}
	next.Grants.Grants, err = mergeEntries(config.Grants.Grants, delta.Grants, delta.RemovedGrants, func(grant core.Grant) core.PlanID { return grant.Plan })
	if err != nil {
		return core.Config{}, errors.Wrap(err, "grants")
	}
	if hash := Hash(next.Plans, next.Grants); delta.To != 0 && hash != delta.Hash {
		return core.Config{}, errors.Errorf("configuration %d has hash %s instead of %s", delta.To, hash, delta.Hash)
	}
	return next, nil
}

// mergeEntries returns the old entries after replacing, adding and removing the given
// ones, sorted by plan.
func mergeEntries[Entry any](old []Entry, changed []json.RawMessage, removed []core.PlanID, planOf func(Entry) core.PlanID) ([]Entry, error) {
	entries := make(map[core.PlanID]Entry, len(old)+len(changed))
	for _, entry := range old {
		entries[planOf(entry)] = entry
	}
	for _, content := range changed {
		var entry Entry
		if err := json.Unmarshal(content, &entry); err != nil {
			return nil, errors.Wrap(err, "decode entry")
		}
		entries[planOf(entry)] = entry
	}
	for _, plan := range removed {
		delete(entries, plan)
	}
	plans := make([]core.PlanID, 0, len(entries))
	for plan := range entries {
		plans = append(plans, plan)
	}
	slices.Sort(plans)
	merged := make([]Entry, len(plans))
	for i, plan := range plans {
		merged[i] = entries[plan]
	}
	return merged, nil
}
