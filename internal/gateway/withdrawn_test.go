package gateway

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// leavingAtRecord lets the upstream of the second send leave while the record of the send is written.
type leavingAtRecord struct {
	table   *fleet.Table
	records atomic.Int32
}

func (leaving *leavingAtRecord) StartWithin(_ context.Context, record audit.Record, _ time.Duration) error {
	if leaving.records.Add(1) != 2 {
		return nil
	}
	selected, _ := leaving.table.Find(record.Upstream)
	leaving.table.SetInstance(clock.Now(), core.Instance{
		Upstream: record.Upstream, Born: selected.Born, Sequence: 9, Service: "s", Software: selected.Software, Address: selected.Address, Zone: "z", Slots: 4, Leaving: true,
	})
	return nil
}

func (leaving *leavingAtRecord) StartOnMajority(context.Context, audit.Record, time.Duration) error {
	return nil
}

func (leaving *leavingAtRecord) End(audit.Record) {}

// TestWithdrawnRepeat guards against a repeat that is withdrawn before its first byte, as its
// upstream has left, and that is paid from the retry budget once more at the next upstream: a
// request is refused while the budget has room for its one repeat.
func TestWithdrawnRepeat(t *testing.T) {
	upstreams := &scriptedUpstreams{headers: []string{"To"}, answers: []string{
		"HTTP/1.1 503 Service Unavailable\nId: r1\nSigned: 1\nNot-Run: 1\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nId: r1\nSigned: 1\nContent-Length: 2\n\nok",
	}}
	table := upstreams.start(t, 3)
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.Idempotent, Timeout: 6 * time.Second, MaxAttempts: 3, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	recorder := &leavingAtRecord{table: table}
	// Each request counts for half of the ratio: one repeat.
	gateway, closeGateway := New(Options{
		Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 2, Window: 10 * time.Second}, Recorder: recorder, Logger: log.New(io.Discard),
	})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	text := sendRequest(server, "r1", nil)
	if !strings.HasPrefix(text, `200 "ok"`) || recorder.records.Load() != 3 || strings.Count(upstreams.sends(), "send: ") != 2 {
		t.Errorf("%d records, %s%s", recorder.records.Load(), text, upstreams.sends())
	}
}
