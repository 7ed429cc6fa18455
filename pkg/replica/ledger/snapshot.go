package ledger

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// formatVersion is the version of the snapshot format.
const formatVersion = 1

// stored is the gob-encoded form of a State. The names of its fields, and of the fields
// of the types that it contains, are part of the snapshot format.
type stored struct {
	Format    int
	Now       int64
	Applied   uint64
	Directory uint64
	Plans     []storedEntry
	Grants    []storedEntry
	Changes   []storedChange
	Owners    []Ownership
	Keys      []storedClaim
	Queue     []touch
	Answers   []claimKey
	Suspects  []storedSuspect
	Routes    storedRoutes
	Quotas    quotaShares
}

type storedEntry struct {
	Plan   core.PlanID
	Blocks []block
	Recent []storedVersion
}

type storedVersion struct {
	Number  core.ConfigNumber
	Content []byte
}

type storedChange struct {
	Kind     core.ListKind
	Hash     []byte
	Content  []byte
	Operator string
	At       int64
	Plans    []core.PlanID
}

type storedClaim struct {
	Key   claimKey
	Entry claimEntry
}

type storedSuspect struct {
	Fingerprint core.Fingerprint
	Suspect     suspect
}

// Snapshot is an immutable view of a State at one log index. It holds copies of the data
// that later commands modify in place and shares the rest with the State.
type Snapshot struct {
	snapshot stored
}

// Snapshot returns an immutable view of the current state. It is fast compared with
// Snapshot.Encode, which may run while further commands are applied.
func (state *State) Snapshot() Snapshot {
	snapshot := stored{
		Format: formatVersion, Now: state.now, Applied: state.applied, Directory: state.directoryNumber,
		Plans: state.lists.plans.storedEntries(), Grants: state.lists.grants.storedEntries(),
		Owners: state.Owners(), Queue: state.claims.expiryQueue, Answers: state.claims.answerQueue,
		Routes:  state.storeRoutes(),
		Quotas:  state.quotaShares,
		Changes: make([]storedChange, 0, len(state.lists.changes)),
		Keys:    make([]storedClaim, 0, len(state.claims.keys)),
	}
	for _, change := range state.lists.changes {
		snapshot.Changes = append(snapshot.Changes, storedChange{
			Kind: change.kind, Hash: bytes.Clone(change.hash[:]), Content: bytes.Clone(change.contentHash[:]),
			Operator: change.operator, At: change.at, Plans: change.plans,
		})
	}
	for key, entry := range state.claims.keys {
		snapshot.Keys = append(snapshot.Keys, storedClaim{key, *entry})
	}
	for fingerprint, entry := range state.suspects {
		snapshot.Suspects = append(snapshot.Suspects, storedSuspect{fingerprint, *entry})
	}
	return Snapshot{snapshot}
}

// Encode returns a snapshot that Decode can read.
func (snapshot Snapshot) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(snapshot.snapshot); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return buffer.Bytes(), nil
}

// Encode returns a snapshot of the current state that Decode can read.
func (state *State) Encode() ([]byte, error) {
	return state.Snapshot().Encode()
}

// storedEntries returns all entries with their versions, in no particular order.
func (versions *versionedList) storedEntries() []storedEntry {
	entries := make([]storedEntry, 0, len(versions.entries))
	for plan, entry := range versions.entries {
		saved := storedEntry{Plan: plan, Blocks: entry.blocks}
		for _, version := range entry.recent {
			saved.Recent = append(saved.Recent, storedVersion{version.number, version.content})
		}
		entries = append(entries, saved)
	}
	return entries
}

// Decode returns the state that a snapshot contains. It returns an error if the snapshot
// cannot be decoded, has another format, or does not match its configuration hash.
func Decode(limits Limits, data []byte) (*State, error) {
	var snapshot stored
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snapshot.Format != formatVersion {
		return nil, errors.Errorf("snapshot has format %d; this program reads format %d", snapshot.Format, formatVersion)
	}
	state := New(limits)
	state.now, state.applied, state.directoryNumber = snapshot.Now, snapshot.Applied, snapshot.Directory
	state.lists.plans.load(snapshot.Plans)
	state.lists.grants.load(snapshot.Grants)
	for _, change := range snapshot.Changes {
		if len(change.Hash) != hashSize || len(change.Content) != hashSize {
			return nil, errors.Errorf("change %d in the snapshot has no hash", len(state.lists.changes)+1)
		}
		state.lists.changes = append(state.lists.changes, changeRecord{
			kind: change.Kind, hash: [hashSize]byte(change.Hash), contentHash: [hashSize]byte(change.Content),
			operator: state.lists.internOperator(change.Operator), at: change.At, plans: change.Plans,
		})
	}
	if number := state.Number(); number > 0 && state.lists.computeHash() != state.lists.changes[number-1].hash {
		return nil, errors.Errorf("the configuration %d in the snapshot does not match its hash", state.Number())
	}
	for _, owner := range snapshot.Owners {
		state.owners[owner.Group] = owner
	}
	for _, saved := range snapshot.Suspects {
		state.suspects[saved.Fingerprint] = &saved.Suspect
	}
	state.claims.load(snapshot)
	state.routes.load(snapshot.Routes)
	state.quotaShares = snapshot.Quotas
	return state, nil
}

func (versions *versionedList) load(entries []storedEntry) {
	for _, saved := range entries {
		entry := &entryHistory{blocks: saved.Blocks}
		for _, recent := range saved.Recent {
			next := version{number: recent.Number}
			if len(recent.Content) > 0 {
				next.content = recent.Content
			}
			entry.recent = append(entry.recent, next)
		}
		versions.entries[saved.Plan] = entry
		if entry.current() != nil {
			versions.currentPlans = append(versions.currentPlans, saved.Plan)
		}
	}
	slices.Sort(versions.currentPlans)
}

func (table *claimTable) load(snapshot stored) {
	table.expiryQueue, table.answerQueue = snapshot.Queue, snapshot.Answers
	for _, claim := range snapshot.Keys {
		table.keys[claim.Key] = &claim.Entry
		if claim.Entry.Answer != nil {
			table.answerBytes += core.Bytes(len(claim.Entry.Answer.Body))
		}
	}
}
