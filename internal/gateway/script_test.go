package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// plainDialect has one header for each field, for tests.
type plainDialect struct{}

func (plainDialect) Parse(request *http.Request) Request {
	patience, _ := strconv.Atoi(request.Header.Get("Patience"))
	model, adapter, _ := strings.Cut(request.Header.Get("Weights"), "/")
	return Request{
		ID: core.RequestID(request.Header.Get("Id")), Patience: time.Duration(patience) * time.Millisecond,
		LastEvent: request.Header.Get("Last"), Weights: core.WeightKey{Model: core.ModelID(model), Adapter: core.AdapterID(adapter)},
	}
}

func (plainDialect) Headers(caller http.Header, send Send) http.Header {
	header := EndToEnd(caller)
	header.Set("To", string(send.Upstream))
	header.Del("Last")
	if send.LastEvent != "" {
		header.Set("Last", send.LastEvent)
	}
	return header
}

func (plainDialect) Judge(response *http.Response, request Request) Verdict {
	id := response.Header.Get("Id")
	return Verdict{
		Foreign: id != "" && id != string(request.ID), Signed: response.Header.Get("Signed") != "",
		NotRun: response.Header.Get("Not-Run") != "", Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (plainDialect) Refuse(header http.Header, _ Request, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("Retry-After", fmt.Sprint(retryAfter))
	}
}

// pauseTime is the length of a pause in an answer. Streams were broken off after 1.8 s once.
const pauseTime = 2 * time.Second

// upstreams are stand-ins that answer the sends of a request in the order of a script.
type upstreams struct {
	lock    sync.Mutex // a leaf
	answers []string
	seen    []string
}

func (upstreams *upstreams) next(request *http.Request, body []byte) string {
	upstreams.lock.Lock()
	defer upstreams.lock.Unlock()
	line := fmt.Sprintf("%s %s %q", request.Method, request.RequestURI, body)
	if last := request.Header.Get("Last"); last != "" {
		line += " last=" + last
	}
	upstreams.seen = append(upstreams.seen, line)
	if len(upstreams.answers) == 0 {
		return "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n"
	}
	answer := upstreams.answers[0]
	upstreams.answers = upstreams.answers[1:]
	return answer
}

func (upstreams *upstreams) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		answer := upstreams.next(request, body)
		answer, cut := strings.CutSuffix(answer, "CUT")
		answer, reset := strings.CutSuffix(answer, "RESET")
		head, content, _ := strings.Cut(answer, "\n\n")
		before, after, paused := strings.Cut(content, "PAUSE")
		_, _ = io.WriteString(conn, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+before)
		if paused {
			<-time.After(pauseTime)
			_, _ = io.WriteString(conn, after)
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if cut || reset {
			return
		}
	}
}

// noPlace stands for owners that find no engine.
type noPlace struct{ reason string }

func (placer noPlace) Place(context.Context, fleet.Query, bool, time.Duration) (core.UpstreamID, string) {
	return "", placer.reason
}

// recordLog is a recorder in memory. It refuses starts while full is set.
type recordLog struct {
	lock  sync.Mutex // a leaf
	full  bool
	lines []string
}

func (log *recordLog) Begin(_ context.Context, record audit.Record, limit time.Duration) error {
	log.lock.Lock()
	defer log.lock.Unlock()
	if log.full {
		return errors.New("too many audit records wait for a disk")
	}
	log.lines = append(log.lines, fmt.Sprintf("record: %s %s routes=%d %s/%s %s wait=%v", record.Event, record.Attempt, record.Config, record.Route, record.Service, record.Upstream, limit))
	return nil
}

func (log *recordLog) End(record audit.Record) {
	log.lock.Lock()
	defer log.lock.Unlock()
	log.lines = append(log.lines, fmt.Sprintf("record: %s %s %s whole=%t", record.Event, record.Attempt, record.Outcome, record.Whole))
}

// start runs count upstreams of the service and returns the table that knows them.
func (upstreams *upstreams) start(t *testing.T, count int) *fleet.Table {
	table := fleet.NewTable("z")
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go upstreams.serve(conn)
			}
		}()
		table.SetInstance(clock.Now(), core.Instance{
			Upstream: core.UpstreamID(fmt.Sprintf("u%d", i)), Born: 1, Sequence: 1, Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 4,
		})
	}
	return table
}

// TestScripts guards against a second run of what may run once, a refusal of what may have
// run, an answer that belongs to another request or is not whole, and a stream with a gap.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runCase(t, data)
		})
	})
}

// runCase sends one request. The input holds the answers of the upstreams, separated by
// lines of dashes. A line feed ends a line of a head; in a body it stands for itself.
func runCase(t *testing.T, data *datadriven.TestData) string {
	upstreams := &upstreams{}
	for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
		if part = strings.TrimSuffix(part, "\n"); part != "" {
			upstreams.answers = append(upstreams.answers, strings.ReplaceAll(part, `\n`, "\n"))
		}
	}
	count, kind, attempts := 3, "idempotent", 2
	records := &recordLog{}
	weights := ""
	var lines bytes.Buffer
	parts := Parts{Dialect: plainDialect{}, Repeats: retry.Limits{Ratio: 1, Extra: 50, Window: 10 * time.Second}, Logger: log.New(io.Discard)}
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "upstreams":
			count, _ = strconv.Atoi(arg.Vals[0])
		case "kind":
			kind = arg.Vals[0]
		case "weights":
			weights = arg.Vals[0]
		case "place":
			parts.Placer = noPlace{strings.Join(arg.Vals, " ")}
		case "log":
			logs, err := logging.NewStructured(&lines, "info")
			if err != nil {
				t.Fatal(err)
			}
			parts.Logger = logs.Part("gateway")
		case "records":
			parts.Recorder = records
			records.full = len(arg.Vals) > 0 && arg.Vals[0] == "full"
		case "attempts":
			attempts, _ = strconv.Atoi(arg.Vals[0])
		}
	}
	kinds := map[string]core.RouteKind{"idempotent": core.Idempotent, "non-idempotent": core.NonIdempotent, "stream": core.Stream, "resumable": core.Stream}
	table := upstreams.start(t, count)
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kinds[kind], Resumable: kind == "resumable", Timeout: 2 * pauseTime, MaxAttempts: attempts,
		Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	parts.Table = table
	gateway, closeGateway := New(parts)
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	text := ask(server, upstreams, weights)
	server.Close() // the end of a send is recorded after its answer
	records.lock.Lock()
	defer records.lock.Unlock()
	for _, line := range records.lines {
		text += line + "\n"
	}
	return text + masked(t, lines.String())
}

// masked returns the lines of a log without their times and what differs in each run.
func masked(t *testing.T, text string) string {
	var out strings.Builder
	for text := range strings.Lines(text) {
		line, ok := logging.ParseLine(text)
		if !ok {
			t.Fatalf("unread line %q", text)
		}
		fmt.Fprintf(&out, "log: %q", line.Message)
		for _, field := range line.Fields {
			switch field.Key {
			case "millis", "cost", "error":
				field.Value = "#"
			}
			fmt.Fprintf(&out, " %s=%q", field.Key, field.Value)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

func ask(server *httptest.Server, upstreams *upstreams, weights string) string {
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/p/a%2Fb?q=1", strings.NewReader("body"))
	request.Host = "h.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Weights", weights)
	var out strings.Builder
	response, err := server.Client().Do(request)
	if err != nil {
		out.WriteString("no answer\n")
	} else {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		fmt.Fprintf(&out, "%d %q whole=%t signed=%t retry-after=%q\n", response.StatusCode, body, err == nil,
			response.Header.Get("Signed") != "", response.Header.Get("Retry-After"))
	}
	upstreams.lock.Lock()
	defer upstreams.lock.Unlock()
	for _, line := range upstreams.seen {
		out.WriteString("send: " + line + "\n")
	}
	return out.String()
}
