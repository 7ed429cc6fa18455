package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestLook guards against a look that counts a request, one that hides a free slot in another zone,
// and against a VM that does not report on while all slots are taken.
func TestLook(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	table.SetRoutes(core.RouteTable{Number: 1, Services: []core.ServiceSpec{{Service: "s"}}})
	for i, zone := range []core.ZoneID{"z", "y"} {
		table.SetInstance(0, core.Instance{Upstream: core.UpstreamID([]string{"near", "far"}[i]), Born: 1, Sequence: 1, Service: "s", Zone: zone, Address: string(zone), Slots: 4})
	}
	query := Query{Service: "s"}
	now := time.Second
	for range 3 {
		outlook, ok := table.Look(now, query)
		is.True(ok)
		is.Equal(outlook.Requests, 0)
		is.Equal(outlook.Slots, 8)
		is.Equal(outlook.Load, 0.25)
	}
	is.True(table.collectUsage(now, "vm", "z") != nil) // the first report
	is.True(table.collectUsage(now, "vm", "y") == nil) // nothing has changed there

	table.setOtherRunning("z", &wire.UsageResult{Upstreams: []*wire.UpstreamUse{{Upstream: "near", Running: 4}}})
	outlook, _ := table.Look(now, query)
	is.Equal(outlook.Best.Upstream, core.UpstreamID("far")) // 1.25 near, 0.25 and the cost of the zone far
	is.Equal(outlook.Load, 0.25)
	is.True(table.collectUsage(now, "vm", "z") == nil) // half of the slots are free

	table.setOtherRunning("y", &wire.UsageResult{Upstreams: []*wire.UpstreamUse{{Upstream: "far", Running: 6}}})
	outlook, _ = table.Look(now, query)
	is.Equal(outlook.Requests, 10)
	is.True(outlook.Load > 1)
	is.True(table.collectUsage(now, "vm", "y") != nil) // none is free, so the next report is due
	select {
	case <-table.Reported():
	default:
		is.Fail() // the waiting requests were not told of the report
	}
}
