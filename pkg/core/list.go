package core

import "time"

// Plan is the plan of one customer: its bearer keys and its limits.
type Plan struct {
	Plan     PlanID
	Customer CustomerID
	// KeyHashes holds the hashes of all valid bearer keys. During a key rotation
	// it holds both the old and the new key, so that no call is rejected.
	KeyHashes []KeyHash
	// MaxRequestsPerSecond limits the customer's request rate on each VM; zero
	// means no limit.
	MaxRequestsPerSecond RequestsPerSecond `json:",omitempty"`
	// MaxConcurrent limits the customer's requests in flight on each VM; zero means
	// no limit.
	MaxConcurrent int `json:",omitempty"`
	// MaxConfigAgeSeconds is the maximum time, in seconds, since a VM last had
	// contact with the leader that distributes configurations. It limits how long a
	// partitioned zone admits requests of this plan; zero means no limit.
	MaxConfigAgeSeconds int `json:",omitempty"`
	// Objectives are the service level objectives used by the burn rate report.
	Objectives Objectives `json:",omitzero"`
}

// Objectives are the service level objectives of a plan: the time to the first
// token and between tokens in milliseconds, and the fraction of requests that must
// meet them. A zero value selects the default of the burn rate report.
type Objectives struct {
	FirstTokenMillis   int     `json:",omitempty"`
	BetweenTokenMillis int     `json:",omitempty"`
	Target             float64 `json:",omitempty"`
}

// Plans is the list of all plans. Operators maintain it.
type Plans struct {
	Plans []Plan
}

// AdapterGrant permits the use of some versions of one adapter.
type AdapterGrant struct {
	Adapter AdapterID
	Model   ModelID
	// Versions are the permitted versions, oldest first. A request that names no
	// version gets the last one.
	Versions []Version
}

// ServiceGrant permits calls to one plain service.
type ServiceGrant struct {
	Service ServiceID
	// Repeatable lists the calls, as "METHOD /path", that may run more than once.
	// Any other call requires an idempotency key.
	Repeatable []string `json:",omitempty"`
}

// Grant lists the adapters and services that one plan may use.
type Grant struct {
	Plan     PlanID
	Priority Priority
	// DeadlineMillis limits the time to the first byte of an answer, in
	// milliseconds; zero selects the default of the VM.
	DeadlineMillis int            `json:",omitempty"`
	Adapters       []AdapterGrant `json:",omitempty"`
	Services       []ServiceGrant `json:",omitempty"`
}

// Deadline returns the time limit for the first byte of an answer, or fallback if
// the grant sets none.
func (grant Grant) Deadline(fallback time.Duration) time.Duration {
	if grant.DeadlineMillis == 0 {
		return fallback
	}
	return time.Duration(grant.DeadlineMillis) * time.Millisecond
}

// Grants is the list of all grants. Operators maintain it.
type Grants struct {
	Grants []Grant
}

// ListKind identifies one of the two lists of a configuration.
type ListKind uint8

// Kinds of lists.
const (
	PlansList ListKind = iota + 1
	GrantsList
)

// String returns "plans" or "grants", and "unknown" for any other value.
func (kind ListKind) String() string {
	switch kind {
	case PlansList:
		return "plans"
	case GrantsList:
		return "grants"
	default:
		return "unknown"
	}
}

// Config is an accepted configuration: both lists and the number of the change
// that led to them.
type Config struct {
	Number ConfigNumber
	// Hash is the hexadecimal SHA-256 of the canonical JSON encoding of both lists.
	Hash   string
	Plans  Plans
	Grants Grants
}
