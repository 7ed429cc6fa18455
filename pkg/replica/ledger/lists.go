package ledger

import (
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// hashSize is the size of a SHA-256 in bytes. Hashes are kept in binary form to save
// memory, because they are the larger part of a change.
const hashSize = 32

// changeRecord is an accepted change with the plans whose entries it changed.
type changeRecord struct {
	kind        core.ListKind
	hash        [hashSize]byte
	contentHash [hashSize]byte
	operator    string
	// at is the time when the change was accepted, in Unix milliseconds.
	at    int64
	plans []core.PlanID
}

// lists holds both configuration lists with their history. The change with number n is
// changes[n-1].
type lists struct {
	plans   *versionedList
	grants  *versionedList
	changes []changeRecord
	// operators interns the names of all operators that made a change.
	operators map[string]string
}

func newLists() lists {
	return lists{plans: newVersionedList(), grants: newVersionedList(), operators: make(map[string]string)}
}

func (lists *lists) list(kind core.ListKind) *versionedList {
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
	record := &lists.changes[number-1]
	return Change{
		Number: number, Kind: record.kind, Hash: hex.EncodeToString(record.hash[:]),
		ContentHash: hex.EncodeToString(record.contentHash[:]), Operator: record.operator, At: record.at,
	}, true
}

// newChangeRecord returns the stored form of a change. It returns an error if a hash is
// not a hexadecimal SHA-256; the hash of the configuration may be empty.
func (lists *lists) newChangeRecord(change Change, plans []core.PlanID) (changeRecord, error) {
	record := changeRecord{kind: change.Kind, operator: lists.internOperator(change.Operator), at: change.At, plans: plans}
	if err := decodeHash(&record.contentHash, change.ContentHash); err != nil {
		return changeRecord{}, errors.Wrap(err, "content")
	}
	if change.Hash == "" {
		return record, nil
	}
	if err := decodeHash(&record.hash, change.Hash); err != nil {
		return changeRecord{}, errors.Wrap(err, "configuration")
	}
	return record, nil
}

// internOperator returns the single stored copy of an operator's name.
func (lists *lists) internOperator(name string) string {
	if known, ok := lists.operators[name]; ok {
		return known
	}
	lists.operators[name] = name
	return name
}

func decodeHash(hash *[hashSize]byte, text string) error {
	if len(text) != hex.EncodedLen(hashSize) {
		return errors.Errorf("%q is not a SHA-256", text)
	}
	if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
		return errors.Wrapf(err, "%q is not a SHA-256", text)
	}
	return nil
}

func (lists *lists) hash() string {
	if latest, ok := lists.change(lists.number()); ok {
		return latest.Hash
	}
	return ""
}

// validate returns the canonical form of the list in a command, or its validation
// errors.
func (put PutList) validate() (canonicalList, []core.ValidationError) {
	switch {
	case put.Kind == core.PlansList && put.Plans != nil:
		if faults := core.CheckPlans(*put.Plans); len(faults) > 0 {
			return canonicalList{}, faults
		}
		return canonicalPlans(*put.Plans), nil
	case put.Kind == core.GrantsList && put.Grants != nil:
		if faults := core.CheckGrants(*put.Grants); len(faults) > 0 {
			return canonicalList{}, faults
		}
		return canonicalGrants(*put.Grants), nil
	default:
		return canonicalList{}, []core.ValidationError{{Place: "Kind", Reason: "the command does not hold the list that it names"}}
	}
}

// Prepared is a validated PutList with all derived data that does not depend on the
// state.
type Prepared struct {
	put         PutList
	canonical   canonicalList
	faults      []core.ValidationError
	contentHash string
}

// PreparePutList validates a list and computes its canonical form. It takes more than
// 10 ms for a list of the size the system is designed for, so callers run it before they
// lock the state.
func PreparePutList(put PutList) Prepared {
	prepared := Prepared{put: put}
	prepared.canonical, prepared.faults = put.validate()
	if len(prepared.faults) == 0 {
		prepared.contentHash = prepared.canonical.hash()
	}
	return prepared
}

// PrepareChange returns the change to commit for a PutList. If the result is already known,
// because the list is invalid or Replaces is not the current number, it returns that
// result and true, and nothing needs to be committed.
func (state *State) PrepareChange(prepared Prepared) (ListChange, PutListResult, bool) {
	put := prepared.put
	if len(prepared.faults) > 0 {
		return ListChange{}, state.lists.rejected(prepared.faults), true
	}
	change := ListChange{Kind: put.Kind, Replaces: put.Replaces, ContentHash: prepared.contentHash, Operator: put.Operator}
	if put.Replaces != state.lists.number() {
		return ListChange{}, state.lists.staleResult(change), true
	}
	change.Entries, change.Removed = prepared.canonical.diff(state.lists.list(put.Kind))
	change.Hash = state.lists.hashWith(put.Kind, prepared.canonical)
	return change, PutListResult{}, false
}

func (state *State) applyPutList(put PutList) PutListResult {
	change, result, done := state.PrepareChange(PreparePutList(put))
	if done {
		return result
	}
	return state.lists.apply(state.now, change)
}

// hashWith returns the hexadecimal SHA-256 that the configuration has after one of its
// lists is replaced.
func (lists *lists) hashWith(kind core.ListKind, replacement canonicalList) string {
	plans, grants := lists.plans.canonical(), lists.grants.canonical()
	if kind == core.PlansList {
		plans = replacement
	} else {
		grants = replacement
	}
	sum := hashConfig(plans, grants)
	return hex.EncodeToString(sum[:])
}

func (lists *lists) computeHash() [hashSize]byte {
	return hashConfig(lists.plans.canonical(), lists.grants.canonical())
}

func (lists *lists) rejected(faults []core.ValidationError) PutListResult {
	return PutListResult{Number: lists.number(), Hash: lists.hash(), Faults: faults}
}

// staleResult returns the result for a change that does not replace the current number.
// If the change resends the one that has its number, it returns the original result;
// otherwise it reports a conflict.
func (lists *lists) staleResult(change ListChange) PutListResult {
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
		return lists.staleResult(change)
	}
	plans, faults := planIDs(change.Entries)
	if len(faults) > 0 {
		return lists.rejected(faults)
	}
	record, err := lists.newChangeRecord(Change{
		Kind: change.Kind, Hash: change.Hash, ContentHash: change.ContentHash, Operator: change.Operator, At: now,
	}, slices.Concat(plans, change.Removed))
	if err != nil {
		return lists.rejected([]core.ValidationError{{Place: "Hash", Reason: err.Error()}})
	}
	number := change.Replaces + 1
	list := lists.list(change.Kind)
	for i, plan := range plans {
		list.set(plan, number, change.Entries[i])
	}
	for _, plan := range change.Removed {
		list.set(plan, number, nil)
	}
	if change.Hash == "" {
		record.hash = lists.computeHash()
	}
	lists.changes = append(lists.changes, record)
	return PutListResult{Accepted: true, Number: number, Hash: lists.hash()}
}

// planIDs returns the plan of each entry, or a validation error if one cannot be read.
func planIDs(entries []json.RawMessage) ([]core.PlanID, []core.ValidationError) {
	plans := make([]core.PlanID, 0, len(entries))
	for _, entry := range entries {
		var named struct{ Plan core.PlanID }
		if err := json.Unmarshal(entry, &named); err != nil || named.Plan == "" {
			return nil, []core.ValidationError{{Place: "Entries", Reason: "an entry names no plan"}}
		}
		plans = append(plans, named.Plan)
	}
	return plans, nil
}
