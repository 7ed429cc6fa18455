package ledger

import (
	"encoding/json"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Command is one entry of a replicated log. Exactly one of its pointers is set.
type Command struct {
	// At is the timestamp in Unix milliseconds. The leader sets it; it never decreases
	// within a shard.
	At           int64
	PutList      *PutList          `json:",omitempty"`
	Change       *ListChange       `json:",omitempty"`
	Assign       *Assign           `json:",omitempty"`
	Claim        *Claim            `json:",omitempty"`
	Record       *Record           `json:",omitempty"`
	Crash        *CrashReport      `json:",omitempty"`
	PutRoutes    *PutRoutes        `json:",omitempty"`
	NameRevision *AnnounceRevision `json:",omitempty"`
	QuotaShares  *PutQuotaShares   `json:",omitempty"`
	// KeyedRoutes is the encoded form of a PutRoutes whose table has workspaces. A build that
	// ignores workspaces must not apply the table without them; to it, the command is empty.
	KeyedRoutes *PutRoutes `json:",omitempty"`
	// CompressedRoutes is the encoded form of a PutRoutes with Compressed set. To a build that does
	// not know it, the command is empty, and so is one with ChangeRoutes.
	CompressedRoutes []byte        `json:",omitempty"`
	ChangeRoutes     *ChangeRoutes `json:",omitempty"`
}

// PutList replaces one of the two configuration lists if Replaces is the current
// configuration number.
type PutList struct {
	Kind     core.ListKind
	Replaces core.ConfigNumber
	Plans    *core.Plans  `json:",omitempty"`
	Grants   *core.Grants `json:",omitempty"`
	Operator string
}

// ListChange is what the leader commits for a PutList: the differences between the
// validated list and the list at number Replaces.
type ListChange struct {
	Kind     core.ListKind
	Replaces core.ConfigNumber
	// Entries holds the canonical JSON of the changed and new entries.
	Entries []json.RawMessage `json:",omitempty"`
	Removed []core.PlanID     `json:",omitempty"`
	// ContentHash is the hexadecimal SHA-256 of the complete list that the operator sent.
	ContentHash string
	// Hash is the hexadecimal SHA-256 of the complete configuration after the change. The
	// leader computes it once: computing it costs more than applying the change and would
	// slow down the replay of the log at startup. If it is empty, every replica computes
	// it.
	Hash     string
	Operator string
}

// PutListResult is the result of PutList. Resending the same content with the same
// Replaces returns the same result.
type PutListResult struct {
	Accepted bool
	Number   core.ConfigNumber
	Hash     string
	// Faults lists the validation errors if the list was rejected.
	Faults []core.ValidationError `json:",omitempty"`
	// Winner is the change that already has the number Replaces+1, if there is a
	// conflict.
	Winner *Change `json:",omitempty"`
}

// Change describes an accepted change of a list in the history.
type Change struct {
	Number core.ConfigNumber
	Kind   core.ListKind
	// Hash is the hexadecimal SHA-256 of the complete configuration after the change.
	Hash string
	// ContentHash is the hexadecimal SHA-256 of the list that the operator sent. It does
	// not depend on the order of the entries.
	ContentHash string
	Operator    string
	// At is the time when the change was accepted, in Unix milliseconds.
	At int64
}

// Assign assigns a group to a VM. The fencing token of the new ownership is the log
// index of the command shifted left by FencingShift.
type Assign struct {
	Group       core.GroupID
	VM          core.VMID
	Incarnation core.Incarnation
	// Previous is the token that the assignment replaces; zero for a new group. If the
	// current token differs, the command has no effect.
	Previous core.FencingToken
	// ZoneHash is a hash of the VMs of the zone that the owner asks for consent.
	ZoneHash uint64 `json:",omitempty"`
	// Live is set if the previous owner still had a lease.
	Live bool `json:",omitempty"`
}

// FencingShift is the number of low bits of a fencing token that a zone without
// contact to the leader uses as a counter.
const FencingShift = 16

// Ownership describes the owner of a group.
type Ownership struct {
	Group       core.GroupID
	VM          core.VMID
	Incarnation core.Incarnation
	Token       core.FencingToken
	// ZoneHash is copied from the assignment.
	ZoneHash uint64 `json:",omitempty"`
	// First is set if the group had no owner before.
	First bool `json:",omitempty"`
	// Live is copied from the assignment.
	Live bool `json:",omitempty"`
}

// AssignResult is the result of Assign. Ownership is the current owner, also if the
// command changed nothing.
type AssignResult struct {
	Changed   bool
	Ownership Ownership
}

// Claim reserves an idempotency key for one attempt before the call is sent upstream.
type Claim struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
	// Content is the fingerprint of the call. Claiming the same key with other content
	// returns ClaimConflict.
	Content core.Fingerprint
	Attempt core.AttemptID
	Holder  core.VMID
	// HolderIncarnation distinguishes restarts of the holder.
	HolderIncarnation core.Incarnation
	// HoldMillis is the time in milliseconds after which a claim without an outcome
	// counts as unknown, also for the attempt that holds it.
	HoldMillis int64
}

// ClaimState is the state of an idempotency key.
type ClaimState uint8

// The states that a claim returns.
const (
	// ClaimGranted means that the claiming attempt may run the call.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress means that another attempt holds the key.
	ClaimInProgress
	// ClaimDone means that the call ran and its answer is recorded.
	ClaimDone
	// ClaimUnknown means that it is not known whether the call ran, for example because
	// the holder failed before it recorded an outcome.
	ClaimUnknown
	// ClaimConflict means that the key was used with other content.
	ClaimConflict
)

// ClaimResult is the result of Claim. Repeating a claim with the same attempt returns
// ClaimGranted until an outcome is recorded or the claim has expired.
type ClaimResult struct {
	State ClaimState
	// Answer is set for ClaimDone.
	Answer *Answer `json:",omitempty"`
	// Since is the time when the current claim was granted, in Unix milliseconds.
	Since int64
}

// Answer is the recorded HTTP response of a call that ran.
type Answer struct {
	Status  int
	Headers []core.Header
	// Body is empty and Truncated is set if the body is larger than MaxAnswerBytes or was
	// dropped because of Limits.AnswerBytes.
	Body      []byte
	Truncated bool
	BodyHash  string
	Length    core.Bytes
}

// MaxAnswerBytes is the maximum size of a recorded body.
const MaxAnswerBytes core.Bytes = 64 << 10

// Record records the outcome of a claimed call. NotRun releases the key, Ran stores the
// answer, and Unknown keeps the key reserved. A later Ran replaces Unknown. A NotRun
// that arrives before its claim excludes the attempt from the key.
type Record struct {
	Customer core.CustomerID
	Key      core.IdempotencyKey
	Attempt  core.AttemptID
	Outcome  core.Outcome
	Answer   *Answer `json:",omitempty"`
}

// RecordResult is the result of Record. Resending the same record returns the same
// result.
type RecordResult struct {
	// Accepted is false if the attempt does not hold the key, or if a different outcome
	// is already recorded.
	Accepted bool
}

// CrashReport reports that an upstream crashed while it ran the given requests.
type CrashReport struct {
	Upstream     core.UpstreamID
	Incarnation  core.Incarnation
	Fingerprints []core.Fingerprint
	// ConvictionMillis is the time in milliseconds for which a fingerprint stays
	// suspected or refused after its last crash.
	ConvictionMillis int64
}

// Suspicion describes a fingerprint whose request was in flight when an upstream
// crashed.
type Suspicion struct {
	Fingerprint core.Fingerprint
	Crashes     int
	// Until is the time when the suspicion ends, in Unix milliseconds.
	Until int64
}

// CrashResult is the result of CrashReport: the state of the reported fingerprints, in
// the order of the report.
type CrashResult struct {
	Suspicions []Suspicion
}

// Result is the result of a Command. Exactly one field is set.
type Result struct {
	PutList      *PutListResult          `json:",omitempty"`
	Assign       *AssignResult           `json:",omitempty"`
	Claim        *ClaimResult            `json:",omitempty"`
	Record       *RecordResult           `json:",omitempty"`
	Crash        *CrashResult            `json:",omitempty"`
	PutRoutes    *PutRoutesResult        `json:",omitempty"`
	NameRevision *AnnounceRevisionResult `json:",omitempty"`
	QuotaShares  *PutQuotaSharesResult   `json:",omitempty"`
	// Fault says why a command had no effect.
	Fault string `json:",omitempty"`
}

// UnixMillis returns at in Unix milliseconds, the unit of all times in this package.
func UnixMillis(at time.Time) int64 {
	return at.UnixMilli()
}
