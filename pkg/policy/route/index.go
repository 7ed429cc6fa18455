package route

import (
	"hash/fnv"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Index finds routes by host and path. The zero value has no routes. An Index does not
// change and may be used by any number of goroutines.
type Index struct {
	table core.RouteTable
	hosts map[string]map[string]*core.Route
}

// NewIndex returns an index of a checked table.
func NewIndex(table core.RouteTable) *Index {
	index := &Index{table: table, hosts: make(map[string]map[string]*core.Route)}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		if index.hosts[host] == nil {
			index.hosts[host] = make(map[string]*core.Route)
		}
		index.hosts[host][route.Prefix] = route
	}
	return index
}

// Table returns the table of the index.
func (index *Index) Table() *core.RouteTable { return &index.table }

// Match returns the route with the longest prefix of the path among those of the host,
// and nil if there is none. A port in the host does not count.
func (index *Index) Match(host, path string) *core.Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	prefixes := index.hosts[strings.ToLower(host)]
	for end := len(path); end > 0 && len(prefixes) > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			return nil
		}
		if route := prefixes[path[:cut+1]]; route != nil {
			return route
		}
		end = cut
	}
	return nil
}

// Target returns the service of one request. The shares of the services follow the
// weights over many keys; the same key gives the same service.
func Target(route *core.Route, key string) core.ServiceID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	var sum core.Weight
	for _, target := range route.Targets {
		sum += target.Weight
	}
	hash := fnv.New64a()
	hash.Write([]byte(key))
	const fraction = 1 << 53
	at := core.Weight(float64(hash.Sum64()%fraction)/fraction) * sum
	for _, target := range route.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
