package routediff

import (
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// RouteKey identifies a route of a table.
type RouteKey struct {
	// Host is in lower case.
	Host   string
	Prefix string
}

// Change is what changed between the route tables with the numbers From and To. It can be applied
// to each table of the same history from From to the one before To, since its entries do not
// depend on what they replace. It refers to entries of the tables; callers must not modify them.
type Change struct {
	From, To core.ConfigNumber
	// Digest is that of the table To.
	Digest            Digest
	Routes            []core.Route       `json:",omitempty"`
	RemovedRoutes     []RouteKey         `json:",omitempty"`
	Services          []core.ServiceSpec `json:",omitempty"`
	RemovedServices   []core.ServiceID   `json:",omitempty"`
	Workspaces        []core.Workspace   `json:",omitempty"`
	RemovedWorkspaces []core.WorkspaceID `json:",omitempty"`
	Limits            *core.CallerLimits `json:",omitempty"`
}

// Entries returns the number of entries that the change replaces, adds or removes.
func (change *Change) Entries() int {
	entries := len(change.Routes) + len(change.RemovedRoutes) + len(change.Services) + len(change.RemovedServices) +
		len(change.Workspaces) + len(change.RemovedWorkspaces)
	if change.Limits != nil {
		entries++
	}
	return entries
}

// Join returns one change for successive ones, in their order: each begins with the number at which
// the one before ends. It returns the zero value for none.
func Join(changes []Change) Change {
	var joined Change
	for i := range changes {
		next := &changes[i]
		if i == 0 {
			joined = *next
			continue
		}
		joined.To, joined.Digest = next.To, next.Digest
		joined.Routes, joined.RemovedRoutes = routeList.merge(joined.Routes, next.Routes, joined.RemovedRoutes, next.RemovedRoutes)
		joined.Services, joined.RemovedServices = serviceList.merge(joined.Services, next.Services, joined.RemovedServices, next.RemovedServices)
		joined.Workspaces, joined.RemovedWorkspaces = workspaceList.merge(joined.Workspaces, next.Workspaces, joined.RemovedWorkspaces, next.RemovedWorkspaces)
		if next.Limits != nil {
			joined.Limits = next.Limits
		}
	}
	return joined
}

var (
	routeList = list[core.Route, RouteKey]{"route", func(route *core.Route) RouteKey {
		return RouteKey{Host: strings.ToLower(route.Host), Prefix: route.Prefix}
	}}
	serviceList   = list[core.ServiceSpec, core.ServiceID]{"service", func(service *core.ServiceSpec) core.ServiceID { return service.Service }}
	workspaceList = list[core.Workspace, core.WorkspaceID]{"workspace", func(workspace *core.Workspace) core.WorkspaceID { return workspace.Workspace }}
)
