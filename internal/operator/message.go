package operator

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Change is an accepted change of the plans or the grants.
type Change struct {
	Number   core.ConfigNumber
	List     string
	Hash     string
	Operator string
	Time     time.Time
}

func newChange(change ledger.Change) Change {
	return Change{change.Number, change.Kind.String(), change.Hash, change.Operator, time.UnixMilli(change.At).UTC()}
}

// History is the response to GET history.
type History struct {
	Changes []Change
}

// PlansAnswer is the response to GET plans.
type PlansAnswer struct {
	Number core.ConfigNumber
	Hash   string
	Plans  []core.Plan
}

// GrantsAnswer is the response to GET grants.
type GrantsAnswer struct {
	Number core.ConfigNumber
	Hash   string
	Grants []core.Grant
}

// PutPlans is the body of PUT plans. Replaces is the number of the configuration that the
// list replaces.
type PutPlans struct {
	Replaces core.ConfigNumber
	Plans    []core.Plan
}

// PutGrants is the body of PUT grants. Replaces is the number of the configuration that
// the list replaces.
type PutGrants struct {
	Replaces core.ConfigNumber
	Grants   []core.Grant
}

// Accepted is the response to an accepted change. Unconfirmed lists the zones that have
// not confirmed it yet.
type Accepted struct {
	Number      core.ConfigNumber
	Hash        string
	Unconfirmed []core.ZoneID
}

// Conflict is the response to a change that does not replace the current configuration.
// Number and Hash are those of the current configuration.
type Conflict struct {
	Number core.ConfigNumber
	Hash   string
	Winner *Change `json:",omitempty"`
}

// Refused is the response to an invalid list or log level.
type Refused struct {
	Faults []core.ValidationError
}

// Level is the request and the response body of PUT log-level.
type Level struct {
	Level string
}

// Status describes the deployment as one VM knows it.
type Status struct {
	VM     core.VMID
	Zone   core.ZoneID
	Leader core.VMID
	Number core.ConfigNumber
	Hash   string
	// AgeSeconds is the time since the VM last had contact with the leader. It is zero
	// while the VM has a lease.
	AgeSeconds float64
	VMs        []VMStatus
	Upstreams  []UpstreamStatus
	Owners     []OwnerStatus
}

// VMStatus describes one VM of the deployment.
type VMStatus struct {
	VM        core.VMID
	Zone      core.ZoneID
	Disk      bool
	Reachable bool
	// Replica is the state of the VM's replicas: voter, learner, joining or stopped. It
	// is empty for a VM without a disk. The loss of another disk is tolerated only
	// while all replicas are voters.
	Replica  string            `json:",omitempty"`
	Draining bool              `json:",omitempty"`
	Number   core.ConfigNumber `json:",omitempty"`
	// AgeSeconds is the time since the VM last had contact with the leader. It is zero
	// while the VM has a lease.
	AgeSeconds float64
}

// UpstreamStatus describes one upstream.
type UpstreamStatus struct {
	Upstream core.UpstreamID
	Group    string
	Address  string
	Leaving  bool `json:",omitempty"`
	Running  int
	Queued   int
	// Resident lists adapter versions as "adapter@version".
	Resident []string `json:",omitempty"`
	// LeaseMillis is the time until the announcement of the upstream expires.
	LeaseMillis int64
}

// OwnerStatus describes the owner of one upstream group.
type OwnerStatus struct {
	Group string
	VM    core.VMID
	Token core.FencingToken
	// LeaseMillis is the time until the lease expires. Only the owner reports it.
	LeaseMillis int64 `json:",omitempty"`
}
