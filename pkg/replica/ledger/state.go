package ledger

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Limits bounds the data that a State retains. All replicas of a shard must use the
// same limits. Zero values select the defaults.
type Limits struct {
	// Retention is how long an idempotency key is kept after its last change.
	Retention time.Duration
	// AnswerBytes bounds the total size of all recorded response bodies. Above it, the
	// oldest bodies are dropped, but their hashes are kept.
	AnswerBytes core.Bytes
}

// Default values of Limits.
const (
	DefaultRetention              = 86400 * time.Second
	DefaultAnswerBytes core.Bytes = 32 << 20 // a quarter of a node's memory for control state
)

// State is the state machine of one shard. Methods that modify it must not run
// concurrently with any other method; read-only methods may run concurrently.
type State struct {
	limits Limits
	// now is the largest timestamp of any applied command, so it never decreases.
	now int64
	// applied is the log index of the last applied command.
	applied uint64
	// directoryNumber is the log index of the last change of an owner or of a suspected
	// fingerprint.
	directoryNumber uint64
	lists           lists
	owners          map[core.GroupID]Ownership
	claims          claimTable
	suspects        map[core.Fingerprint]*suspect
	routes          routes
	quotaShares     quotaShares
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

// Apply applies the command at the given log index and returns its result. The index
// must increase from call to call. An empty command changes nothing but the index, the
// time and what expires with them; its result has Fault set.
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
	case command.ChangeRoutes != nil:
		result := state.routes.change(*command.ChangeRoutes)
		return Result{PutRoutes: &result}
	case command.NameRevision != nil:
		result := state.routes.announceRevision(index, *command.NameRevision)
		return Result{NameRevision: &result}
	case command.QuotaShares != nil:
		result := state.applyQuotaShares(index, *command.QuotaShares)
		return Result{QuotaShares: &result}
	default:
		return Result{Fault: "the command is empty"}
	}
}

// Applied returns the log index of the last applied command.
func (state *State) Applied() uint64 { return state.applied }

// Now returns the largest timestamp of any applied command, in Unix milliseconds.
func (state *State) Now() int64 { return state.now }

// DirectoryNumber returns the log index of the last change of an owner or of a
// suspected fingerprint.
func (state *State) DirectoryNumber() uint64 { return state.directoryNumber }

// ClaimCount returns the number of stored idempotency keys.
func (state *State) ClaimCount() int { return len(state.claims.keys) }
