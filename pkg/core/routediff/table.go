package routediff

import (
	"fmt"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Table is a route table with the digest of its entries. It is immutable. The zero value is a table
// without a number and entries.
type Table struct {
	routes core.RouteTable
	digest Digest
}

// NewTable returns a valid route table with its digest. The caller must not modify its lists
// afterwards.
func NewTable(routes core.RouteTable) Table {
	table := Table{routes: routes}
	for i := range routes.Routes {
		routeList.add(&table.digest, &routes.Routes[i])
	}
	for i := range routes.Services {
		serviceList.add(&table.digest, &routes.Services[i])
	}
	for i := range routes.Workspaces {
		workspaceList.add(&table.digest, &routes.Workspaces[i])
	}
	addLimits(&table.digest, routes.Limits)
	return table
}

// addLimits adds the hash of the limits. Those of a table without any have none.
func addLimits(digest *Digest, limits core.CallerLimits) {
	if limits != (core.CallerLimits{}) {
		digest.add(hashEntry("limits", limits))
	}
}

func removeLimits(digest *Digest, limits core.CallerLimits) {
	if limits != (core.CallerLimits{}) {
		digest.remove(hashEntry("limits", limits))
	}
}

// Routes returns the route table. Callers must not modify its lists.
func (table Table) Routes() core.RouteTable { return table.routes }

// Number returns the number of the route table.
func (table Table) Number() core.ConfigNumber { return table.routes.Number }

// Digest returns the digest of the entries.
func (table Table) Digest() Digest { return table.digest }

// Replace returns the table with other content and what changed. The caller must not modify the
// lists of next afterwards.
func (table Table) Replace(next core.RouteTable) (Table, Change) {
	before := &table.routes
	replaced := Table{routes: next, digest: table.digest}
	change := Change{From: before.Number, To: next.Number}
	change.Routes, change.RemovedRoutes = routeList.compare(before.Routes, next.Routes, &replaced.digest)
	change.Services, change.RemovedServices = serviceList.compare(before.Services, next.Services, &replaced.digest)
	change.Workspaces, change.RemovedWorkspaces = workspaceList.compare(before.Workspaces, next.Workspaces, &replaced.digest)
	if before.Limits != next.Limits {
		removeLimits(&replaced.digest, before.Limits)
		addLimits(&replaced.digest, next.Limits)
		change.Limits = &next.Limits
	}
	change.Digest = replaced.digest
	return replaced, change
}

// MismatchError is returned if a change leads to another table than the one that it was computed
// for.
type MismatchError struct {
	// Held is the number of the table to which the change was applied.
	Held, From, To core.ConfigNumber
}

// Error returns the three numbers.
func (err *MismatchError) Error() string {
	return fmt.Sprintf("the change of the route table from %d to %d does not fit the table %d", err.From, err.To, err.Held)
}

// Apply returns the table with a change applied. It returns a *MismatchError if the number of the
// table is not one of those that the change begins with, or if the result has another digest than
// the change states.
func (table Table) Apply(change Change) (Table, error) {
	held := &table.routes
	if held.Number < change.From || held.Number >= change.To {
		return Table{}, &MismatchError{held.Number, change.From, change.To}
	}
	next := Table{routes: *held, digest: table.digest}
	next.routes.Number = change.To
	next.routes.Routes = routeList.apply(held.Routes, change.Routes, change.RemovedRoutes, &next.digest)
	next.routes.Services = serviceList.apply(held.Services, change.Services, change.RemovedServices, &next.digest)
	next.routes.Workspaces = workspaceList.apply(held.Workspaces, change.Workspaces, change.RemovedWorkspaces, &next.digest)
	if change.Limits != nil {
		removeLimits(&next.digest, held.Limits)
		addLimits(&next.digest, *change.Limits)
		next.routes.Limits = *change.Limits
	}
	if next.digest != change.Digest {
		return Table{}, &MismatchError{held.Number, change.From, change.To}
	}
	return next, nil
}
