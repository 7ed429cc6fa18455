package operator

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Change is an accepted change of a list.
type Change struct {
	Number   core.ConfigNumber
	List     string
	Hash     string
	Operator string
	Time     time.Time
}

func changeOf(change ledger.Change) Change {
	return Change{change.Number, change.Kind.String(), change.Hash, change.Operator, time.UnixMilli(change.At).UTC()}
}

// History is the answer to GET history.
type History struct {
	Changes []Change
}

// PlansAnswer is the answer to GET plans.
type PlansAnswer struct {
	Number core.ConfigNumber
	Hash   string
	Plans  []core.Plan
}

// GrantsAnswer is the answer to GET grants.
type GrantsAnswer struct {
	Number core.ConfigNumber
	Hash   string
	Grants []core.Grant
}

// PutPlans is the body of PUT plans.
type PutPlans struct {
	Replaces core.ConfigNumber
	Plans    []core.Plan
}

// PutGrants is the body of PUT grants.
type PutGrants struct {
	Replaces core.ConfigNumber
	Grants   []core.Grant
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	Number      core.ConfigNumber
	Hash        string
	Unconfirmed []core.ZoneID
}

// Conflict is the answer to a change whose number was taken.
type Conflict struct {
	Number core.ConfigNumber
	Hash   string
	Winner *Change `json:",omitempty"`
}

// Refused is the answer to a bad list.
type Refused struct {
	Faults []core.Fault
}

// Level is the body of PUT log-level and its answer.
type Level struct {
	Level string
}

// Status describes the deployment as one VM sees it.
type Status struct {
	VM     core.VMID
	Zone   core.ZoneID
	Leader core.VMID
	Number core.ConfigNumber
	Hash   string
	// AgeSeconds is the time since the VM last had contact to a majority.
	AgeSeconds float64
	VMs        []VMStatus
	Upstreams  []UpstreamStatus
	Owners     []OwnerStatus
}

// VMStatus is one VM of the deployment.
type VMStatus struct {
	VM        core.VMID
	Zone      core.ZoneID
	Disk      bool
	Reachable bool
	// Replica tells what the VM's replicas do: voter, learner, joining or stopped. It
	// is empty for a VM without a disk. Another disk may be lost only while all are
	// voters.
	Replica  string            `json:",omitempty"`
	Draining bool              `json:",omitempty"`
	Number   core.ConfigNumber `json:",omitempty"`
	// AgeSeconds is the time since the VM's last renewal at the leader.
	AgeSeconds float64
}

// UpstreamStatus is one upstream.
type UpstreamStatus struct {
	Upstream core.UpstreamID
	Group    string
	Address  string
	Leaving  bool `json:",omitempty"`
	Running  int
	Queued   int
	// Resident lists adapter versions as "adapter@version".
	Resident []string `json:",omitempty"`
	// LeaseMillis is the time until the announcement ends.
	LeaseMillis int64
}

// OwnerStatus is the owner of one upstream group.
type OwnerStatus struct {
	Group string
	VM    core.VMID
	Token core.FencingToken
	// LeaseMillis is the time until the lease ends; only the owner knows it.
	LeaseMillis int64 `json:",omitempty"`
}
