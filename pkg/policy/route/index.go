package route

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
	"github.com/dandelionring/dandelionring/pkg/policy/workspace"
)

// Index finds routes by host and path. It is immutable and safe for concurrent use. The
// zero value has no routes.
type Index struct {
	table      core.RouteTable
	hosts      map[string]map[string]*core.Route
	workspaces *workspace.Index
	// ported is set if the host of a route has a port or brackets. Then two routes may have the same
	// key, and the later one in the table counts.
	ported bool
}

// NewIndex returns an index of a table, which must be valid according to
// core.RouteTable.Check.
func NewIndex(table core.RouteTable) *Index {
	index := &Index{table: table, hosts: make(map[string]map[string]*core.Route), workspaces: workspace.NewIndex(table.Workspaces)}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := normalizeHost(route.Host)
		if index.hosts[host] == nil {
			index.hosts[host] = make(map[string]*core.Route)
		}
		index.hosts[host][route.Prefix] = route
		index.ported = index.ported || isPorted(route.Host)
	}
	return index
}

// isPorted reports whether a host has a port or brackets.
func isPorted(host string) bool { return strings.ContainsAny(host, ":[") }

// Change returns the index of a table to which a change of the indexed one leads. It takes time for
// the changed routes and for the hosts and prefixes beside them, not for all routes. The index may be
// nil.
func (index *Index) Change(table core.RouteTable, change routediff.Change) *Index {
	ported := func(route core.Route) bool { return isPorted(route.Host) }
	if index == nil || index.hosts == nil || index.ported || slices.ContainsFunc(change.Routes, ported) {
		return NewIndex(table)
	}
	next := &Index{table: table, hosts: maps.Clone(index.hosts), workspaces: index.workspaces}
	if len(change.Workspaces)+len(change.RemovedWorkspaces) > 0 {
		next.workspaces = workspace.NewIndex(table.Workspaces)
	}
	own := make(map[string]bool)
	prefixes := func(host string) map[string]*core.Route {
		if !own[host] {
			own[host] = true
			next.hosts[host] = maps.Clone(next.hosts[host])
		}
		if next.hosts[host] == nil {
			next.hosts[host] = make(map[string]*core.Route)
		}
		return next.hosts[host]
	}
	for _, removed := range change.RemovedRoutes {
		delete(prefixes(removed.Host), removed.Prefix)
	}
	for i := range change.Routes {
		changed := change.Routes[i] // a pointer to the element would keep all changed routes
		prefixes(normalizeHost(changed.Host))[changed.Prefix] = &changed
	}
	for host := range own {
		if len(next.hosts[host]) == 0 {
			delete(next.hosts, host)
		}
	}
	return next
}

// Table returns the indexed table.
func (index *Index) Table() *core.RouteTable { return &index.table }

// Workspaces returns the index of the table's workspaces.
func (index *Index) Workspaces() *workspace.Index { return index.workspaces }

// Match returns the route of the host with the longest prefix that matches the path, and
// nil if there is none. The case of the host and a port after it are ignored.
func (index *Index) Match(host, path string) *core.Route {
	prefixes := index.hosts[normalizeHost(host)]
	for end := len(path); end > 0 && len(prefixes) > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// normalizeHost returns a host in lower case without a port. An IPv6 address loses its
// brackets.
func normalizeHost(host string) string {
	if inner, found := strings.CutPrefix(host, "["); found {
		if address, _, closed := strings.Cut(inner, "]"); closed {
			host = address
		}
	} else if name, _, found := strings.Cut(host, ":"); found && strings.Count(host, ":") == 1 {
		host = name
	}
	return strings.ToLower(host)
}

// SelectTarget selects a service of the route by a hash of the key. Over many keys, the
// services are selected in proportion to their weights; the same key always selects the
// same service of a given route.
func SelectTarget(route *core.Route, key string) core.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	var sum core.Weight
	for _, target := range route.Targets {
		sum += target.Weight
	}
	hash := fnv.New64a()
	hash.Write([]byte(key))
	const hashRange = 1 << 53
	point := core.Weight(float64(hash.Sum64()%hashRange)/hashRange) * sum
	for _, target := range route.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
