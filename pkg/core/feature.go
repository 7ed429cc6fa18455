package core

import "slices"

// Feature names a part of a route table, or of a command of the replicated log, that VMs of older
// builds ignore. Such a VM must not get a table or a command that has it.
type Feature string

// WorkspaceFeature is the workspaces of a route table. A VM that ignores them would serve
// requests without a key.
const WorkspaceFeature Feature = "workspaces"

// RouteChangeFeature is the commands that state what changes in a route table, or the table
// compressed. A control VM that ignores them would keep an older table.
const RouteChangeFeature Feature = "route-changes"

// SupportedFeatures returns the features that this build applies.
func SupportedFeatures() []Feature { return []Feature{WorkspaceFeature, RouteChangeFeature} }

// Unsupported returns the features of the table that are not among the supported ones.
func (table *RouteTable) Unsupported(supported []Feature) []Feature {
	if len(table.Workspaces) > 0 && !slices.Contains(supported, WorkspaceFeature) {
		return []Feature{WorkspaceFeature}
	}
	return nil
}
