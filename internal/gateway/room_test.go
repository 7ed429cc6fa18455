package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
	"github.com/dandelionring/dandelionring/pkg/policy/room"
)

// statedLoad is an owner that states requests of other VMs at an upstream, and the time of an
// answer.
type statedLoad struct {
	lock   sync.Mutex // no other lock is acquired while it is held
	others uint32
	answer time.Duration
}

func (owner *statedLoad) set(others uint32) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	owner.others = others
}

func (owner *statedLoad) Call(context.Context, core.VMID, *wire.Request) (*wire.Response, error) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	return &wire.Response{Body: &wire.Response_UsageResult{UsageResult: &wire.UsageResult{
		Paced: true, Times: true,
		Upstreams: []*wire.UpstreamUse{{Upstream: "u0", Running: owner.others, AnswerMicros: uint32(owner.answer.Microseconds())}},
	}}}, nil
}

func (owner *statedLoad) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	for end := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// TestRoom guards against a request that is sent to an upstream with a long queue although it cannot
// be answered there in time, one that waits although there is room or its caller or the VM has
// left, one that is sent although its caller has left, one that waits although the path to the upstreams was lost or
// it is the only one that may show that the path has returned, one that is refused although it could be answered, and a refusal without what it was
// decided on in the log.
func TestRoom(t *testing.T) {
	datadriven.RunTest(t, "testdata/room", func(t *testing.T, data *datadriven.TestData) string {
		others, then, patience, full, unknown := uint32(0), -1, 2000, false, false
		data.MaybeScanArgs(t, "others", &others)
		data.MaybeScanArgs(t, "then", &then)
		data.MaybeScanArgs(t, "patience", &patience)
		data.MaybeScanArgs(t, "full", &full)
		data.MaybeScanArgs(t, "unknown", &unknown)
		upstreams := &scriptedUpstreams{answers: []string{"HTTP/1.1 200 OK\nId: r1\nSigned: x\nContent-Length: 2\n\nok"}}
		table := upstreams.start(t, 1)
		table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
			Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.NonIdempotent, Timeout: 5 * time.Second, Objective: 150 * time.Millisecond, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		}}, Services: []core.ServiceSpec{{Service: "s"}}})
		table.SetOwner("z", fleet.Owner{VM: "owner", Token: 1})
		owner := &statedLoad{others: others, answer: 30 * time.Millisecond}
		if unknown {
			owner.answer = 0
		}
		_, stop := fleet.Follow(fleet.Options{VM: "entry", Zone: "z", Table: table, Calls: owner, Logger: log.New(io.Discard)})
		defer stop()
		var lines bytes.Buffer
		loggers, err := logging.NewStructured(&lines, "info")
		if err != nil {
			t.Fatal(err)
		}
		gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: loggers.Logger("gateway")})
		defer closeGateway()
		server := httptest.NewServer(gateway)
		defer server.Close()
		eventually(t, "a report", func() bool {
			outlook, ok := table.Look(clock.Now(), fleet.Query{Service: "s"})
			return ok && outlook.Requests == int(others) && outlook.Age < time.Second && (unknown || outlook.Best.Service > 0)
		})
		gateway.waiting.lock.Lock()
		if full {
			gateway.waiting.waiting = maxWaiting
		}
		gateway.waiting.lock.Unlock()
		if data.Cmd == "return" {
			cutPath(gateway)
			gateway.paths.answered("s")
		}
		before := roomWaiting.Load()
		waits := func() bool { return roomWaiting.Load() > before }
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		answered := make(chan string, 1)
		began := time.Now()
		go func() { answered <- sendWithin(ctx, server, patience) }()
		text := ""
		switch data.Cmd {
		case "stop":
			eventually(t, "the request waits", waits)
			defer gateway.Stop(time.Now().Add(time.Second), time.Now().Add(2*time.Second))()
		case "cut":
			eventually(t, "the request waits", waits)
			cutPath(gateway)
		case "leave":
			eventually(t, "the request waits", waits)
			leave()
			eventually(t, "the request has left", func() bool { return !waits() })
		default:
			if then >= 0 {
				eventually(t, "the request waits", waits)
				owner.set(uint32(then))
			}
		}
		text += <-answered
		if took := time.Since(began); took < time.Duration(patience)*time.Millisecond/2 {
			text += "early\n"
		}
		text += upstreams.sends()
		eventually(t, "none waits", func() bool { return !waits() })
		server.Close()
		if strings.Contains(lines.String(), "A request finds no room.") {
			text += "logged: no room\n"
		}
		if strings.Contains(lines.String(), "A send failed.") {
			text += "logged: a send failed\n"
		}
		return text
	})
}

// sendWithin sends a request whose caller waits for the given number of milliseconds.
func sendWithin(ctx context.Context, server *httptest.Server, millis int) string {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/p/a", strings.NewReader("body"))
	request.Host = "h.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Patience", fmt.Sprint(millis))
	response, err := server.Client().Do(request)
	if err != nil {
		return "no answer\n"
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %q retry=%t\n", response.StatusCode, body, response.Header.Get("Retry-After") != "")
}

// TestNoWaitAfterRun guards against a refusal, as not run, of a request that may have run.
func TestNoWaitAfterRun(t *testing.T) {
	call := &call{route: &core.Route{Kind: core.Idempotent, Objective: time.Second}, counts: retry.SendCounts{Sends: 1, Runs: 1}}
	if reason, ok := call.awaitRoom(t.Context()); reason != "" || !ok {
		t.Fatalf("refused: %s", reason)
	}
}

// TestLargeRequest guards against large streams that are all refused as soon as a request has to wait:
// one of 8 times the mean size takes 0.21 s more to read at 34 tokens a millisecond, and not 8 times
// as long.
func TestLargeRequest(t *testing.T) {
	call := &call{start: time.Now(), deadline: time.Now().Add(4 * time.Second), route: &core.Route{Objective: 800 * time.Millisecond}, request: Request{Tokens: 8000}}
	service := &serviceRoom{tokens: 1000}
	state := room.State{Load: 1.05, Service: 200 * time.Millisecond, Hold: 600 * time.Millisecond, Slots: 1440, Requests: 1500, VMs: 63}
	if decision, _ := service.queue.Arrive(0, call.ticket(0, 1, service), state); decision.Action != room.Send {
		t.Fatalf("%s at a load of %.2f, with 4 s to the deadline", decision.Action, state.Load)
	}
}

// slowReader is a caller who reads slowly.
type slowReader struct{ *httptest.ResponseRecorder }

func (slowReader) Flush() { <-time.After(200 * time.Millisecond) }

// TestHoldOfSlowReader guards against upstreams that seem to keep each slot for long, so that requests are
// refused, since one caller has read a stream slowly.
func TestHoldOfSlowReader(t *testing.T) {
	upstreams := &scriptedUpstreams{answers: []string{"HTTP/1.1 200 OK\nId: r1\nSigned: x\nContent-Type: text/event-stream\nContent-Length: 18\n\ndata: a\n\ndata: b\n\n"}}
	table := upstreams.start(t, 1)
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.Stream, Timeout: 5 * time.Second, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)})
	defer closeGateway()
	request := httptest.NewRequest(http.MethodPost, "http://h.example/p/a", strings.NewReader("body"))
	request.Header.Set("Id", "r1")
	gateway.ServeHTTP(slowReader{httptest.NewRecorder()}, request)
	gateway.waiting.lock.Lock()
	defer gateway.waiting.lock.Unlock()
	if service := gateway.waiting.services["s"]; service == nil || service.afterFirst == 0 || time.Duration(service.afterFirst) >= 150*time.Millisecond {
		t.Fatalf("the time after the first event was learned as %+v", service)
	}
}
