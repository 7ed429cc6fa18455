package ledger

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Number returns the number of the last accepted change.
func (state *State) Number() core.ConfigNumber { return state.lists.number() }

// Hash returns the hash of the configuration in force; it is empty before the
// first change.
func (state *State) Hash() string { return state.lists.hash() }

// Change returns the accepted change with the given number, and false if there is
// none.
func (state *State) Change(number core.ConfigNumber) (Change, bool) {
	return state.lists.change(number)
}

// History returns the accepted changes with numbers above after, oldest first, at
// most limit of them.
func (state *State) History(after core.ConfigNumber, limit int) []Change {
	var changes []Change
	for number := after + 1; number <= state.lists.number() && len(changes) < limit; number++ {
		change, _ := state.lists.change(number)
		changes = append(changes, change)
	}
	return changes
}

// At returns the configuration that was in force from the given number on. It
// returns false if that number was not accepted yet. Number 0 is empty.
func (state *State) At(number core.ConfigNumber) (core.Config, bool, error) {
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

func entriesAt[Entry any](series *series, number core.ConfigNumber) ([]Entry, error) {
	contents, err := series.at(number)
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

// Delta changes a configuration from one number to another. From zero it holds
// whole lists.
type Delta struct {
	From core.ConfigNumber
	To   core.ConfigNumber
	// Hash is the hash of the configuration at To.
	Hash string
	// At is the time at which To was accepted, in Unix milliseconds.
	At int64
	// Plans and Grants are the JSON of changed or new entries.
	Plans         []json.RawMessage
	RemovedPlans  []core.PlanID
	Grants        []json.RawMessage
	RemovedGrants []core.PlanID
}

// DeltaSince returns the changes after a number, up to the one in force. For a
// number that was never accepted it starts from zero.
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
		delta.Plans, _ = collect(lists.plans, lists.plans.live)
		delta.Grants, _ = collect(lists.grants, lists.grants.live)
		return delta
	}
	delta.Plans, delta.RemovedPlans = collect(lists.plans, lists.changed(core.PlansList, number))
	delta.Grants, delta.RemovedGrants = collect(lists.grants, lists.changed(core.GrantsList, number))
	return delta
}

// changed returns the plans whose entries changed after a number, in order.
func (lists *lists) changed(kind core.ListKind, number core.ConfigNumber) []core.PlanID {
	var plans []core.PlanID
	for _, change := range lists.changes[number:] {
		if change.kind == kind {
			plans = append(plans, change.plans...)
		}
	}
	slices.Sort(plans)
	return slices.Compact(plans)
}

func collect(series *series, plans []core.PlanID) (entries []json.RawMessage, removed []core.PlanID) {
	for _, plan := range plans {
		if content := series.now(plan); content != nil {
			entries = append(entries, content)
		} else {
			removed = append(removed, plan)
		}
	}
	return entries, removed
}

// Apply returns the configuration at delta.To. It returns an error if the delta
// does not start at the configuration's number, or if the result has another hash
// than the one that was accepted. The lists of config are not changed.
func (delta Delta) Apply(config core.Config) (core.Config, error) {
	if delta.From != 0 && delta.From != config.Number {
		return core.Config{}, errors.Errorf("delta starts at number %d, not at %d", delta.From, config.Number)
	}
	if delta.From == 0 {
		config = core.Config{}
	}
	next := core.Config{Number: delta.To, Hash: delta.Hash}
	var err error
	next.Plans.Plans, err = merge(config.Plans.Plans, delta.Plans, delta.RemovedPlans, func(plan core.Plan) core.PlanID { return plan.Plan })
	if err != nil {
		return core.Config{}, errors.Wrap(err, "plans")
	}
	next.Grants.Grants, err = merge(config.Grants.Grants, delta.Grants, delta.RemovedGrants, func(grant core.Grant) core.PlanID { return grant.Plan })
	if err != nil {
		return core.Config{}, errors.Wrap(err, "grants")
	}
	if hash := Hash(next.Plans, next.Grants); delta.To != 0 && hash != delta.Hash {
		return core.Config{}, errors.Errorf("configuration %d has hash %s instead of %s", delta.To, hash, delta.Hash)
	}
	return next, nil
}

// merge returns the old entries with some replaced, added or removed, sorted by
// plan.
func merge[Entry any](old []Entry, changed []json.RawMessage, removed []core.PlanID, plan func(Entry) core.PlanID) ([]Entry, error) {
	entries := make(map[core.PlanID]Entry, len(old)+len(changed))
	for _, entry := range old {
		entries[plan(entry)] = entry
	}
	for _, content := range changed {
		var entry Entry
		if err := json.Unmarshal(content, &entry); err != nil {
			return nil, errors.Wrap(err, "decode entry")
		}
		entries[plan(entry)] = entry
	}
	for _, name := range removed {
		delete(entries, name)
	}
	names := make([]core.PlanID, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	slices.Sort(names)
	merged := make([]Entry, len(names))
	for i, name := range names {
		merged[i] = entries[name]
	}
	return merged, nil
}
