package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// changingUpstream changes the upstream u0 once, while a request waits.
type changingUpstream struct {
	table  *fleet.Table
	change string
	once   sync.Once
}

func (changing *changingUpstream) apply() {
	changing.once.Do(func() {
		selected, _ := changing.table.Find("u0")
		instance := core.Instance{Upstream: "u0", Born: selected.Born, Sequence: 9, Service: "s", Software: selected.Software, Address: selected.Address, Zone: "z", Slots: 4}
		switch changing.change {
		case "leaving":
			instance.Leaving = true
		case "gone":
			instance.Gone = true
		case "restarted":
			instance.Born++
		case "software":
			instance.Software = "v9"
		case "ended":
			changing.table.MarkEnded(selected)
			return
		case "nothing":
			return
		}
		changing.table.SetInstance(clock.Now(), instance)
	})
}

// StartWithin is the wait for the record of a send.
func (changing *changingUpstream) StartWithin(context.Context, audit.Record, time.Duration) error {
	changing.apply()
	return nil
}

func (changing *changingUpstream) StartOnMajority(context.Context, audit.Record, time.Duration) error {
	return nil
}

func (changing *changingUpstream) End(audit.Record) {}

// changingOwner grants turns at u0 after a second and at others at once. u0 changes while its turn is
// awaited.
type changingOwner struct{ *changingUpstream }

func (owner changingOwner) Call(_ context.Context, _ core.VMID, request *wire.Request) (*wire.Response, error) {
	result := &wire.AdmitResult{Admitted: true}
	if admit := request.GetAdmit(); admit != nil && admit.GetLimit().GetUpstream() == "u0" {
		result.WaitMillis = 1000
		result.Admitted = admit.GetWaitMillis() >= 1000
		if result.Admitted {
			time.AfterFunc(100*time.Millisecond, owner.apply)
		}
	}
	return &wire.Response{Body: &wire.Response_AdmitResult{AdmitResult: result}}, nil
}

func (owner changingOwner) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestDeparturesWhileWaiting guards against a request that is sent to an upstream which has left,
// has ended or is another process since it was selected, as the request waited for its turn or its
// record meanwhile; and against one that waits on at an upstream that has left, or is not sent
// though another one has room.
func TestDeparturesWhileWaiting(t *testing.T) {
	datadriven.RunTest(t, "testdata/departures", func(t *testing.T, data *datadriven.TestData) string {
		changing := &changingUpstream{}
		upstreams := &scriptedUpstreams{headers: []string{"To"}}
		for range 4 {
			upstreams.answers = append(upstreams.answers, "HTTP/1.1 200 OK\nId: r1\nSigned: 1\nContent-Length: 2\n\nok")
		}
		count, others := 1, 0
		kind := "idempotent"
		data.ScanArgs(t, "change", &changing.change)
		data.MaybeScanArgs(t, "others", &others)
		data.MaybeScanArgs(t, "kind", &kind)
		table := upstreams.start(t, count+others)
		changing.table = table
		kinds := map[string]core.RouteKind{"idempotent": core.Idempotent, "non-idempotent": core.NonIdempotent}
		table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
			Name: "r", Host: "h.example", Prefix: "/p/", Kind: kinds[kind], Timeout: 6 * time.Second, MaxAttempts: 1, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		}}, Services: []core.ServiceSpec{{Service: "s"}}})
		options := Options{Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)}
		for i := range others { // the others are chosen only once u0 has left
			selected, _ := table.Find(core.UpstreamID("u" + strconv.Itoa(i+1)))
			table.Observe(clock.Now(), selected, fleet.Failed)
		}
		if data.Cmd == "record" {
			options.Recorder = changing
		} else {
			selected, _ := table.Find("u0")
			table.ObserveLimit(clock.Now(), selected, core.RequestLimit{Stated: true, Rate: 1})
			table.SetOwner("z", fleet.Owner{VM: "c", Token: 1})
			follower, stop := fleet.Follow(fleet.Options{VM: "e", Zone: "z", Table: table, Calls: changingOwner{changing}, Logger: log.New(io.Discard)})
			defer stop()
			options.Limits = follower
			for i := range others {
				go func() { // they have room once u0 has changed
					<-time.After(50 * time.Millisecond)
					selected, _ := table.Find(core.UpstreamID("u" + strconv.Itoa(i+1)))
					table.Observe(clock.Now(), selected, fleet.Answered)
				}()
				selected, _ := table.Find(core.UpstreamID("u" + strconv.Itoa(i+1)))
				table.Observe(clock.Now(), selected, fleet.Unreachable)
			}
		}
		gateway, closeGateway := New(options)
		defer closeGateway()
		server := httptest.NewServer(gateway)
		defer server.Close()
		started := time.Now()
		text := sendRequest(server, "r1", nil)
		soon := time.Since(started) < 800*time.Millisecond
		return strings.Join([]string{text, upstreams.sends(), fmt.Sprintf("at once=%t\n", soon)}, "")
	})
}
