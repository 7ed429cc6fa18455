package ledger

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// formatVersion is the first field of a snapshot.
const formatVersion = 1

// stored is the form of a State on disk. Its fields are part of the format.
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

// Frozen is a State at one index. Later commands do not change it: it holds copies
// of what they change in place and shares the rest.
type Frozen struct {
	form stored
}

// Freeze returns the state as it is now. It is quick compared with Encode, which
// may then run while further commands are applied.
func (state *State) Freeze() Frozen {
	form := stored{
		Format: formatVersion, Now: state.now, Applied: state.applied, Directory: state.directory,
		Plans: state.lists.plans.store(), Grants: state.lists.grants.store(),
		Owners: state.Owners(), Queue: state.claims.queue, Answers: state.claims.answers,
		Routes:  state.storeRoutes(),
		Changes: make([]storedChange, 0, len(state.lists.changes)),
		Keys:    make([]storedClaim, 0, len(state.claims.keys)),
	}
	for _, change := range state.lists.changes {
		form.Changes = append(form.Changes, storedChange{
			Kind: change.kind, Hash: bytes.Clone(change.hash[:]), Content: bytes.Clone(change.content[:]),
			Operator: change.operator, At: change.at, Plans: change.plans,
		})
	}
	for key, entry := range state.claims.keys {
		form.Keys = append(form.Keys, storedClaim{key, *entry})
	}
	for fingerprint, known := range state.suspects {
		form.Suspects = append(form.Suspects, storedSuspect{fingerprint, *known})
	}
	return Frozen{form}
}

// Encode returns the snapshot that Decode reads.
func (frozen Frozen) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(frozen.form); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return buffer.Bytes(), nil
}

// Encode returns a snapshot of the state.
func (state *State) Encode() ([]byte, error) {
	return state.Freeze().Encode()
}

// store returns all entries with their versions.
func (series *series) store() []storedEntry {
	all := make([]storedEntry, 0, len(series.entries))
	for plan, entry := range series.entries {
		stored := storedEntry{Plan: plan, Blocks: entry.blocks}
		for _, version := range entry.recent {
			stored.Recent = append(stored.Recent, storedVersion{version.number, version.content})
		}
		all = append(all, stored)
	}
	return all
}

// Decode returns the state of a snapshot.
func Decode(limits Limits, data []byte) (*State, error) {
	var form stored
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&form); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if form.Format != formatVersion {
		return nil, errors.Errorf("snapshot has format %d; this program reads format %d", form.Format, formatVersion)
	}
	state := New(limits)
	state.now, state.applied, state.directory = form.Now, form.Applied, form.Directory
	state.lists.plans.load(form.Plans)
	state.lists.grants.load(form.Grants)
	for _, change := range form.Changes {
		if len(change.Hash) != hashSize || len(change.Content) != hashSize {
			return nil, errors.Errorf("change %d in the snapshot has no hash", len(state.lists.changes)+1)
		}
		state.lists.changes = append(state.lists.changes, changeRecord{
			kind: change.Kind, hash: [hashSize]byte(change.Hash), content: [hashSize]byte(change.Content),
			operator: state.lists.operator(change.Operator), at: change.At, plans: change.Plans,
		})
	}
	if number := state.Number(); number > 0 && state.lists.computeHash() != state.lists.changes[number-1].hash {
		return nil, errors.Errorf("the configuration %d in the snapshot does not match its hash", state.Number())
	}
	for _, owner := range form.Owners {
		state.owners[owner.Group] = owner
	}
	for _, known := range form.Suspects {
		state.suspects[known.Fingerprint] = &known.Suspect
	}
	state.claims.load(form)
	state.routes.load(form.Routes)
	return state, nil
}

func (series *series) load(all []storedEntry) {
	for _, stored := range all {
		entry := &entryHistory{blocks: stored.Blocks}
		for _, recent := range stored.Recent {
			next := version{number: recent.Number}
			if len(recent.Content) > 0 {
				next.content = recent.Content
			}
			entry.recent = append(entry.recent, next)
		}
		series.entries[stored.Plan] = entry
		if entry.now() != nil {
			series.live = append(series.live, stored.Plan)
		}
	}
	slices.Sort(series.live)
}

func (table *claimTable) load(form stored) {
	table.queue, table.answers = form.Queue, form.Answers
	for _, claim := range form.Keys {
		table.keys[claim.Key] = &claim.Entry
		if claim.Entry.Answer != nil {
			table.answerBytes += core.Bytes(len(claim.Entry.Answer.Body))
		}
	}
}
