package core

import "slices"

// Feature names a part of a route table that VMs of older builds ignore. Such a VM must not get a
// table that has it.
type Feature string

// WorkspaceFeature is the workspaces of a route table. A VM that ignores them would serve
// requests without a key.
const WorkspaceFeature Feature = "workspaces"

// SupportedFeatures returns the features that this build applies.
func SupportedFeatures() []Feature { return []Feature{WorkspaceFeature} }

// Unsupported returns the features of the table that are not among the supported ones.
func (table *RouteTable) Unsupported(supported []Feature) []Feature {
	if len(table.Workspaces) > 0 && !slices.Contains(supported, WorkspaceFeature) {
		return []Feature{WorkspaceFeature}
	}
	return nil
}
