package core

import "time"

// Plan is one customer's plan: who may call and how much.
type Plan struct {
	Plan     PlanID
	Customer CustomerID
	// KeyHashes holds the hashes of all bearer keys in use. Two entries allow a
	// rotation without a gap.
	KeyHashes []KeyHash
	// MaxRequestsPerSecond bounds the customer's rate on one VM; zero means no bound.
	MaxRequestsPerSecond RequestsPerSecond `json:",omitempty"`
	// MaxConcurrent bounds the customer's requests in flight on one VM; zero means no bound.
	MaxConcurrent int `json:",omitempty"`
	// MaxConfigAgeSeconds bounds the age of the configuration in a cut-off zone;
	// zero means no bound.
	MaxConfigAgeSeconds int `json:",omitempty"`
	// Objectives are the service levels that the burn report measures.
	Objectives Objectives `json:",omitzero"`
}

// Objectives are the service levels of a plan. Zero values mean the defaults of
// the report.
type Objectives struct {
	FirstTokenMillis   int     `json:",omitempty"`
	BetweenTokenMillis int     `json:",omitempty"`
	Target             float64 `json:",omitempty"`
}

// Plans is the first of the operators' two lists.
type Plans struct {
	Plans []Plan
}

// AdapterGrant allows versions of one adapter.
type AdapterGrant struct {
	Adapter AdapterID
	Model   ModelID
	// Versions are the allowed versions, oldest first. The last one serves
	// requests that name no version.
	Versions []Version
}

// ServiceGrant allows calls of one plain service.
type ServiceGrant struct {
	Service ServiceID
	// Repeatable lists the calls, as "METHOD /path", that may be run more than
	// once. Any other call needs an idempotency key.
	Repeatable []string `json:",omitempty"`
}

// Grant states what one plan may use.
type Grant struct {
	Plan     PlanID
	Priority Priority
	// DeadlineMillis bounds the wait until the first byte of an answer; zero means
	// the VM's default.
	DeadlineMillis int            `json:",omitempty"`
	Adapters       []AdapterGrant `json:",omitempty"`
	Services       []ServiceGrant `json:",omitempty"`
}

// Deadline returns the wait until the first byte that the grant allows, or
// fallback if it sets none.
func (grant Grant) Deadline(fallback time.Duration) time.Duration {
	if grant.DeadlineMillis == 0 {
		return fallback
	}
	return time.Duration(grant.DeadlineMillis) * time.Millisecond
}

// Grants is the second of the operators' two lists.
type Grants struct {
	Grants []Grant
}

// ListKind names one of the two lists.
type ListKind uint8

// The two lists.
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

// Config is one accepted configuration: both lists under one number.
type Config struct {
	Number ConfigNumber
	// Hash is the hexadecimal SHA-256 of the canonical JSON of both lists.
	Hash   string
	Plans  Plans
	Grants Grants
}
