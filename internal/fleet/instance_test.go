package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestInstanceOfUnknownService guards against an upstream that an entry VM does not know, because
// another writer announced its ID first, for a service that the route table does not name.
func TestInstanceOfUnknownService(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	is.True(table.SetRoutes(core.RouteTable{Number: 1, Services: []core.ServiceSpec{{Service: "s"}}}))
	other := core.Instance{Upstream: "a", Born: 900, Sequence: 9, Service: "unknown", Address: "10.0.0.1:1", Zone: "z", Slots: 1}
	own := core.Instance{Upstream: "a", Born: 100, Sequence: 1, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 1}
	table.SetInstance(0, other)
	is.Equal(len(table.UsableUpstreams("s")), 0)
	is.True(table.SetInstance(0, own))
	is.Equal(table.UsableUpstreams("s"), []core.UpstreamID{"a"})
	is.True(!table.SetInstance(0, other))
	is.Equal(table.UsableUpstreams("s"), []core.UpstreamID{"a"})
}
