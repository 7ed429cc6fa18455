package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// countedQuotas notes what is taken and given back. It refuses if left is set.
type countedQuotas struct {
	left  time.Duration
	calls []string
}

func (quotas *countedQuotas) Take(_ context.Context, workspace *core.Workspace, tokens core.Tokens) (time.Duration, bool) {
	quotas.calls = append(quotas.calls, fmt.Sprint("take ", workspace.Workspace, " ", tokens))
	return quotas.left, quotas.left == 0
}

func (quotas *countedQuotas) Return(workspace *core.Workspace, tokens core.Tokens, taken time.Duration) {
	if since := clock.Now() - taken; since < 0 || since > time.Minute {
		quotas.calls = append(quotas.calls, fmt.Sprint("taken ", since, " ago"))
	}
	quotas.calls = append(quotas.calls, fmt.Sprint("return ", workspace.Workspace, " ", tokens))
}

// TestQuotas guards against a request that is counted twice or not at all, one that is refused with
// 429 and runs, and tokens that are lost with a request that no upstream was sent.
func TestQuotas(t *testing.T) {
	datadriven.RunTest(t, "testdata/quotas/requests", func(t *testing.T, data *datadriven.TestData) string {
		upstreams := &scriptedUpstreams{}
		for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
			if part = strings.TrimSuffix(part, "\n"); part != "" {
				upstreams.answers = append(upstreams.answers, part)
			}
		}
		count := 2
		if data.HasArg("none") {
			count = 0
		}
		table := upstreams.start(t, count)
		table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
			Name: "r", Host: "host", Prefix: "/", Kind: core.Idempotent, Public: data.HasArg("public"), MaxAttempts: 3, Timeout: 2 * time.Second,
			Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		}}, Services: []core.ServiceSpec{{Service: "s"}}, Workspaces: []core.Workspace{{
			Workspace: "w", Keys: []core.KeyDigest{core.DigestKey("k")}, Quota: core.Quota{Rate: 1, PlainTokens: 30},
		}}})
		table.SetEntryVMs(1)
		counted := &countedQuotas{}
		if data.HasArg("full") {
			counted.left = 1500 * time.Millisecond
		}
		gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Quotas: counted, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)})
		defer closeGateway()
		writer := httptest.NewRecorder()
		incoming := httptest.NewRequest(http.MethodGet, "http://host/", nil)
		incoming.Header.Set("Id", "r1")
		incoming.Header.Set("Patience", "500")
		call := &call{gateway: gateway, writer: writer, incoming: incoming, start: time.Now()}
		switch {
		case data.HasArg("taken-over"):
			call.takenOver, call.handedWorkspace = true, "w"
		case !data.HasArg("public"):
			incoming.Header.Set("Key", "k")
		}
		call.serve()
		out := fmt.Sprintf("status=%d retry-after=%s sends=%d\n", writer.Code, writer.Header().Get("Retry-After"), len(upstreams.received))
		return out + strings.Join(append(counted.calls, ""), "\n")
	})
}
