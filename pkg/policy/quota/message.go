package quota

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Stamp identifies an answer of a grantor: the token of its ownership and the reading of its clock.
type Stamp struct {
	Token core.FencingToken
	At    time.Duration
}

// Request asks the grantor for tokens of some workspaces.
type Request struct {
	VM core.VMID
	// Share is the share of the rates that the VM has, and Answered the stamp of the last answer
	// that it received; zero if that is so old that the VM uses its share itself.
	Share    core.QuotaShare
	Answered Stamp
	Wants    []Want
}

// Want is the part of a Request for one workspace.
type Want struct {
	Workspace core.WorkspaceID
	// Min is the number of tokens of the request that has waited longest, and Waiting that of all
	// requests that wait. Ahead is the likely demand until the next Request. Reserve is what the
	// VM's own bucket lacks.
	Min, Waiting, Ahead, Reserve core.Tokens
	// Returned is the number of unused tokens, which the VM no longer holds, of an answer of the
	// time ReturnedFrom. The token of its stamp is that of Request.Answered.
	Returned     core.Tokens
	ReturnedFrom time.Duration
}

// Result is the answer to a Request.
type Result struct {
	Stamp Stamp
	// Share is the share of the rates that the VM has from now on.
	Share  core.QuotaShare
	Grants []Grant
}

// Grant is the part of a Result for one workspace. Its tokens are for the waiting requests, the
// likely demand and the reserve, in this order.
type Grant struct {
	Workspace core.WorkspaceID
	Tokens    core.Tokens
	// RetryAfter is the time until tokens are available for the first waiting request that gets
	// none, zero if all waiting requests got theirs.
	RetryAfter time.Duration
}
