package gateway

import (
	"net/http"

	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/workspace"
)

// handoverWorkspaceHeader holds the name of the workspace of a request that is handed over to
// another entry VM, which does not get the key.
const handoverWorkspaceHeader = "Handover-Workspace"

// refusedKeys counts the requests that were refused for their key.
var refusedKeys = telemetry.NewCounterFamily("dandelionring_refused_keys_total", "kind", "reason")

// identify finds the workspace of the caller in the table in force. It returns false if it has
// refused the request for its key. The VM that has handed a request over has checked it already,
// and a public route also serves callers without a workspace.
func (call *call) identify(workspaces *workspace.Index) bool {
	key := call.request.Key
	call.request.Key = "" // so that no later code can log it
	if call.takenOver {
		call.adoptWorkspace(workspaces)
		return true
	}
	if !workspaces.Required() {
		return true
	}
	reason := ""
	switch found, ok := workspaces.Identify(key); {
	case ok:
		call.workspace = found
		return true
	case call.route.Public:
		return true
	case call.request.KeyHeaders == 0:
		reason = "missing"
	case call.request.KeyHeaders > 1:
		reason = "repeated"
	case key == "":
		reason = "empty"
	default:
		reason = "unknown"
	}
	refusedKeys.Inc(call.kind().String(), reason)
	if call.incoming.ContentLength != 0 { // the body of a caller without a key is not read
		call.refuseBody(http.StatusUnauthorized, "the API key is "+reason)
	} else {
		call.refuse(http.StatusUnauthorized, "the API key is "+reason)
	}
	return false
}

// adoptWorkspace sets the workspace of a request that was handed over, as the first VM has named
// it. If a newer table has removed that workspace, the request keeps its name and has the rank of
// the route.
func (call *call) adoptWorkspace(workspaces *workspace.Index) {
	if call.handedWorkspace == "" {
		return
	}
	found, ok := workspaces.Find(call.handedWorkspace)
	if !ok {
		found = &core.Workspace{Workspace: call.handedWorkspace}
	}
	call.workspace = found
}

// workspaceID returns the name of the caller's workspace, empty if it has none.
func (call *call) workspaceID() core.WorkspaceID {
	if call.workspace == nil {
		return ""
	}
	return call.workspace.Workspace
}

// rank returns the urgency of the request: that of the workspace, or else of the route.
func (call *call) rank() int {
	if call.workspace != nil && call.workspace.Rank != nil {
		return *call.workspace.Rank
	}
	return call.route.Rank
}
