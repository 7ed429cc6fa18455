package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// meter counts the bytes of the messages that a control VM sends to an entry VM.
type meter struct {
	direct
	bytes *atomic.Int64
}

func (meter meter) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	response, err := meter.direct.Call(ctx, vm, request)
	meter.bytes.Add(int64(proto.Size(response)))
	return response, err
}

func (meter meter) Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error {
	return meter.direct.Stream(ctx, vm, request, func(response *wire.Response) bool {
		meter.bytes.Add(int64(proto.Size(response)))
		return receive(response)
	})
}

// distribution is a control VM with entry VMs that follow it.
type distribution struct {
	t       *testing.T
	control *Control
	// number is that of the table in force.
	number core.ConfigNumber
	tables []*fleet.Table
	bytes  []*atomic.Int64
}

// follow starts entry VMs and waits until each one holds the table in force: the bytes of its first
// table are not those of the next change.
func (distribution *distribution) follow(vms int) string {
	for range vms {
		name := core.VMID(fmt.Sprintf("entry-%d", len(distribution.tables)))
		table, bytes := fleet.NewTable("z"), &atomic.Int64{}
		_, stop := fleet.Follow(fleet.Options{
			VM: name, Zone: "z", Seeds: []core.VMID{"c"}, Table: table, Calls: meter{direct{distribution.control}, bytes}, Changed: func(core.RouteTable) {}, Logger: log.New(io.Discard),
		})
		distribution.t.Cleanup(stop)
		distribution.tables, distribution.bytes = append(distribution.tables, table), append(distribution.bytes, bytes)
		if !await(15*time.Second, func() bool { return table.RoutesNumber() == distribution.number }) {
			distribution.t.Fatalf("%s has no table", name)
		}
	}
	return fmt.Sprintf("following: %d\n", len(distribution.tables))
}

// makeRoutes returns a table whose first routes differ from those of another number.
func makeRoutes(number core.ConfigNumber, routes, changed int) core.RouteTable {
	table := core.RouteTable{Number: number, Services: []core.ServiceSpec{{Service: "s"}}}
	for i := range routes {
		attempts := 1
		if i < changed {
			attempts = int(number)
		}
		table.Routes = append(table.Routes, core.Route{
			Name: core.RouteName(fmt.Sprintf("route-%d", i)), Host: fmt.Sprintf("host-%d.example", i%50), Prefix: fmt.Sprintf("/path-%d/", i), Kind: core.Idempotent,
			Timeout: time.Second, MaxAttempts: attempts, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		})
	}
	return table
}

// put commits a table and waits until it is in force at the entry VMs. The heartbeats of the watch
// are as small as a changed route, so the bytes are counted until then only.
func (distribution *distribution) put(table core.RouteTable, changed, routes int) string {
	size, err := json.Marshal(table)
	if err != nil {
		distribution.t.Fatal(err)
	}
	for _, bytes := range distribution.bytes {
		bytes.Store(0)
	}
	if _, faults, err := distribution.control.PutRoutes(distribution.t.Context(), ledger.PutRoutes{Table: table, Document: size}); err != nil || len(faults) > 0 {
		distribution.t.Fatal(err, faults)
	}
	distribution.number = table.Number
	inForce, most := 0, int64(0)
	for i, held := range distribution.tables {
		if await(15*time.Second, func() bool { return held.RoutesNumber() >= table.Number }) && len(held.Routes().Table().Routes) == routes {
			inForce++
		}
		most = max(most, distribution.bytes[i].Load())
	}
	text := fmt.Sprintf("in force at %d of %d", inForce, len(distribution.tables))
	if encodings := distribution.control.served.counts().encodings; encodings > 1 {
		text += fmt.Sprintf("; encoded %d times", encodings)
	}
	switch {
	case table.Number == 1:
	case changed > 1:
		text += fmt.Sprintf("; at most a tenth of the table: %t", most*10 <= int64(len(size)))
	default:
		text += fmt.Sprintf("; at most a hundredth of the table: %t", most*100 <= int64(len(size)))
	}
	distribution.t.Logf("number %d: %d bytes at most, table %d", table.Number, most, len(size))
	return text + "\n"
}

// awaitLeader waits until a control VM leads its replicas.
func awaitLeader(t *testing.T, control *Control) {
	t.Helper()
	if !await(15*time.Second, func() bool {
		replica, _ := control.options.Host.Replica(0)
		_, leads := replica.IsLeader()
		return leads
	}) {
		t.Fatal("no leader")
	}
}

// await returns true once the condition holds, and false if it does not within the limit.
func await(limit time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(limit); !condition(); <-ticker.C {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// TestDistributionOfChanges guards against a change of one route that costs each entry VM the whole
// table: with 70 VMs on links of 10 Mbit/s it was in force up to 3.4 s after its acknowledgement,
// and the control VMs lost their leader meanwhile.
func TestDistributionOfChanges(t *testing.T) {
	control, stop := startControl(t, t.TempDir())
	t.Cleanup(stop)
	distribution := &distribution{t: t, control: control}
	awaitLeader(t, control)
	datadriven.RunTest(t, "testdata/distribution/routes", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "follow" {
			var vms int
			data.ScanArgs(t, "vms", &vms)
			return distribution.follow(vms)
		}
		var number, routes, changed int
		data.ScanArgs(t, "number", &number)
		data.ScanArgs(t, "routes", &routes)
		data.MaybeScanArgs(t, "changed", &changed)
		return distribution.put(makeRoutes(core.ConfigNumber(number), routes, changed), changed, routes)
	})
}
