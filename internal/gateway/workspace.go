package gateway

import "github.com/dandelionring/dandelionring/pkg/core"

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
