package ledger

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Limits bound what a State keeps. They must be the same on all replicas of a
// shard. Zero values mean the defaults.
type Limits struct {
	// Retention is the time for which a key keeps its outcome.
	Retention time.Duration
	// AnswerBytes bounds the bodies of all recorded answers together. Beyond it the
	// oldest bodies are dropped; their hashes stay.
	AnswerBytes core.Bytes
}

// The defaults of Limits.
const (
	DefaultRetention              = 86400 * time.Second
	DefaultAnswerBytes core.Bytes = 32 << 20 // a quarter of the memory of a node's control state
)

// State is the state machine of one shard. It may be used by one goroutine at a
// time; methods that do not change it may run at the same time.
type State struct {
	limits Limits
	// now is the largest time of a command; times never go back.
	now     int64
	applied uint64
	// directory is the index of the last change of an owner or a suspicion.
	directory uint64
	lists     lists
	owners    map[core.GroupID]Ownership
	claims    claimTable
	suspects  map[core.Fingerprint]*suspect
	routes    routes
}

// New returns an empty state.
func New(limits Limits) *State {
	if limits.Retention == 0 {
		limits.Retention = DefaultRetention
	}
	if limits.AnswerBytes == 0 {
		limits.AnswerBytes = DefaultAnswerBytes
	}
	return &State{
		limits:   limits,
		lists:    newLists(),
		owners:   make(map[core.GroupID]Ownership),
		claims:   newClaimTable(limits),
		suspects: make(map[core.Fingerprint]*suspect),
	}
}

// EncodeCommand returns the form in which a command is committed.
func EncodeCommand(command Command) ([]byte, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, errors.Wrap(err, "decode command")
	}
	return command, nil
}

// Apply applies the command at an index of the log and returns its answer. The
// index must grow from call to call. A command that is not valid has no effect.
func (state *State) Apply(index uint64, command Command) Result {
	state.applied = index
	state.now = max(state.now, command.At)
	state.claims.expire(state.now)
	state.expireSuspects(index)
	switch {
	case command.PutList != nil:
		result := state.applyPutList(*command.PutList)
		return Result{PutList: &result}
	case command.Change != nil:
		result := state.lists.apply(state.now, *command.Change)
		return Result{PutList: &result}
	case command.Assign != nil:
		result := state.applyAssign(index, *command.Assign)
		return Result{Assign: &result}
	case command.Claim != nil:
		result := state.claims.claim(state.now, *command.Claim)
		return Result{Claim: &result}
	case command.Record != nil:
		result := state.claims.record(state.now, *command.Record)
		return Result{Record: &result}
	case command.Crash != nil:
		result := state.applyCrash(index, *command.Crash)
		return Result{Crash: &result}
	case command.PutRoutes != nil:
		result := state.routes.put(*command.PutRoutes)
		return Result{PutRoutes: &result}
	case command.NameRevision != nil:
		result := state.routes.name(index, *command.NameRevision)
		return Result{NameRevision: &result}
	default:
		return Result{Fault: "the command is empty"}
	}
}

// Applied returns the index of the last command.
func (state *State) Applied() uint64 { return state.applied }

// Now returns the time of the state in Unix milliseconds: the largest time that a
// command carried.
func (state *State) Now() int64 { return state.now }

// DirectoryNumber returns the index of the last change of an owner or a suspicion.
func (state *State) DirectoryNumber() uint64 { return state.directory }

// Claims returns the number of keys that are kept.
func (state *State) Claims() int { return len(state.claims.keys) }
