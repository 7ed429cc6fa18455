package ledger

import (
	"encoding/json"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Command is one entry of a replicated log. Exactly one of the pointers is set.
type Command struct {
	// At is the leader's time in Unix milliseconds. The leader sets it; it never
	// decreases within a shard.
	At           int64
	PutList      *PutList      `json:",omitempty"`
	Change       *ListChange   `json:",omitempty"`
	Assign       *Assign       `json:",omitempty"`
	Claim        *Claim        `json:",omitempty"`
	Record       *Record       `json:",omitempty"`
	Crash        *CrashReport  `json:",omitempty"`
	PutRoutes    *PutRoutes    `json:",omitempty"`
	NameRevision *NameRevision `json:",omitempty"`
}

// PutList replaces one of the two lists if Replaces is the current number.
type PutList struct {
	Kind     core.ListKind
	Replaces core.ConfigNumber
	Plans    *core.Plans  `json:",omitempty"`
	Grants   *core.Grants `json:",omitempty"`
	Operator string
}

// ListChange is a PutList in the form in which the leader commits it: a checked
// list, reduced to what differs from the list at number Replaces.
type ListChange struct {
	Kind     core.ListKind
	Replaces core.ConfigNumber
	// Entries are the canonical JSON of the changed or new entries.
	Entries []json.RawMessage `json:",omitempty"`
	Removed []core.PlanID     `json:",omitempty"`
	// ContentHash is the hash of the whole list that the operator sent.
	ContentHash string
	// Hash is the hash of the whole configuration after the change. The leader
	// computes it once, because it costs more than the change itself, which would
	// slow down a start from disk. If it is empty, every replica computes it.
	Hash     string
	Operator string
}

// PutListResult is the answer to PutList. It is the same for every resend of the
// same content with the same Replaces.
type PutListResult struct {
	Accepted bool
	Number   core.ConfigNumber
	Hash     string
	// Faults is set if the list was refused as a whole.
	Faults []core.Fault `json:",omitempty"`
	// Winner describes the change that took the number, if it was a conflict.
	Winner *Change `json:",omitempty"`
}

// Change is one accepted change of a list, as history keeps it.
type Change struct {
	Number core.ConfigNumber
	Kind   core.ListKind
	// Hash is the hash of the whole configuration after the change.
	Hash string
	// ContentHash is the hash of the list that the operator sent; the order of its
	// entries does not count.
	ContentHash string
	Operator    string
	At          int64
}

// Assign gives a group to a VM. The fencing token of the ownership is the index
// of the entry shifted left by FencingShift.
type Assign struct {
	Group       core.GroupID
	VM          core.VMID
	Incarnation core.Incarnation
	// Previous is the token that the assignment replaces; zero for a new group.
	// The command has no effect if the current token is another one.
	Previous core.FencingToken
	// ZoneHash stands for the VMs of the zone that the owner asks for consent.
	ZoneHash uint64 `json:",omitempty"`
	// Live is set if the former owner still had a lease.
	Live bool `json:",omitempty"`
}

// FencingShift leaves room below the index for the counter of a cut-off zone.
const FencingShift = 16

// Ownership is the owner of a group.
type Ownership struct {
	Group       core.GroupID
	VM          core.VMID
	Incarnation core.Incarnation
	Token       core.FencingToken
	// ZoneHash is that of the assignment.
	ZoneHash uint64 `json:",omitempty"`
	// First is set if the group had no owner before.
	First bool `json:",omitempty"`
	// Live is that of the assignment.
	Live bool `json:",omitempty"`
}

// AssignResult is the answer to Assign: the ownership now in force.
type AssignResult struct {
	Changed   bool
	Ownership Ownership
}

// Claim reserves an idempotency key for one attempt before the call leaves.
type Claim struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
	// Content is the fingerprint of the call; the same key with other content is
	// refused.
	Content core.Fingerprint
	Attempt core.AttemptID
	Holder  core.VMID
	// HolderIncarnation distinguishes the runs of the holder.
	HolderIncarnation core.Incarnation
	// HoldMillis is the time after which a claim without an outcome counts as
	// unknown, also for the attempt that holds it.
	HoldMillis int64
}

// ClaimState is the state of a key.
type ClaimState uint8

// The answers to a claim.
const (
	// ClaimGranted means that the attempt of the command may run the call.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress means that another attempt holds the key.
	ClaimInProgress
	// ClaimDone means that the outcome is recorded.
	ClaimDone
	// ClaimUnknown means that the holder was lost before it recorded an outcome.
	ClaimUnknown
	// ClaimConflict means that the key was used with other content.
	ClaimConflict
)

// ClaimResult is the answer to Claim. The same attempt gets ClaimGranted again
// until an outcome is recorded or the claim has become unknown.
type ClaimResult struct {
	State ClaimState
	// Answer is set for ClaimDone.
	Answer *Answer `json:",omitempty"`
	// Since is the time of the claim in force, in Unix milliseconds.
	Since int64
}

// Answer is the recorded answer of a call that ran.
type Answer struct {
	Status  int
	Headers []core.Header
	// Body is empty and Truncated is set if the body was over MaxAnswer.
	Body      []byte
	Truncated bool
	BodyHash  string
	Length    core.Bytes
}

// MaxAnswer is the largest body that is recorded.
const MaxAnswer core.Bytes = 64 << 10

// Record states the outcome of a claimed call. NotRun frees the key, Ran keeps the
// answer, Unknown keeps the key closed. A late Ran replaces Unknown. A NotRun that
// arrives before its claim bars the attempt from the key.
type Record struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
	Attempt  core.AttemptID
	Outcome  core.Outcome
	Answer   *Answer `json:",omitempty"`
}

// RecordResult is the answer to Record. It is the same for a resend.
type RecordResult struct {
	// Accepted is false if the attempt does not hold the key, or if another outcome
	// stands.
	Accepted bool
}

// CrashReport states that an upstream was lost while it ran the given requests.
type CrashReport struct {
	Upstream     core.UpstreamID
	Incarnation  core.Incarnation
	Fingerprints []core.Fingerprint
	// ConvictionMillis is the time for which suspicion and conviction last.
	ConvictionMillis int64
}

// CrashesToConvict is the number of crashes of different incarnations after which
// a fingerprint is refused.
const CrashesToConvict = 2

// Suspicion is what is known about a fingerprint that was in flight at a crash.
type Suspicion struct {
	Fingerprint core.Fingerprint
	Crashes     int
	Until       int64
}

// CrashResult is the answer to CrashReport: what is now known about the reported
// fingerprints, in their order.
type CrashResult struct {
	Suspicions []Suspicion
}

// Result is the answer to a Command. Exactly one field is set.
type Result struct {
	PutList      *PutListResult      `json:",omitempty"`
	Assign       *AssignResult       `json:",omitempty"`
	Claim        *ClaimResult        `json:",omitempty"`
	Record       *RecordResult       `json:",omitempty"`
	Crash        *CrashResult        `json:",omitempty"`
	PutRoutes    *PutRoutesResult    `json:",omitempty"`
	NameRevision *NameRevisionResult `json:",omitempty"`
	// Fault tells why a command had no effect.
	Fault string `json:",omitempty"`
}

// Millis returns the time in Unix milliseconds, the unit of all times in a ledger.
func Millis(at time.Time) int64 {
	return at.UnixMilli()
}
