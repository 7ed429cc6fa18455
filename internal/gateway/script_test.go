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
	"slices"
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
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// testDialect uses one header for each field.
type testDialect struct{}

func (testDialect) Parse(request *http.Request) Request {
	patience, _ := strconv.Atoi(request.Header.Get("Patience"))
	model, adapter, _ := strings.Cut(request.Header.Get("Weights"), "/")
	key := request.Header.Get("Key")
	if len(request.Header["Key"]) != 1 {
		key = ""
	}
	return Request{
		Key: key, KeyHeaders: len(request.Header["Key"]),
		ID: core.RequestID(request.Header.Get("Id")), Patience: time.Duration(patience) * time.Millisecond,
		LastEvent: request.Header.Get("Last"), Origin: core.RequestID(request.Header.Get("Origin")), Weights: core.WeightKey{Model: core.ModelID(model), Adapter: core.AdapterID(adapter)},
	}
}

func (testDialect) Headers(caller http.Header, send Send) http.Header {
	header := EndToEnd(caller)
	header.Set("To", string(send.Upstream))
	header.Set("Left", send.Left.String())
	header.Del("Last")
	header.Del("Key")
	header.Del("Workspace")
	if send.Workspace != "" {
		header.Set("Workspace", string(send.Workspace))
	}
	header.Set("Rank", strconv.Itoa(send.Rank))
	if send.LastEvent != "" {
		header.Set("Last", send.LastEvent)
	}
	return header
}

func (testDialect) HandoverHeaders(caller http.Header, left time.Duration, resume Resumption) http.Header {
	header := EndToEnd(caller)
	header.Del("Key")
	header.Del("Workspace")
	header.Set("Patience", strconv.FormatInt(left.Milliseconds(), 10))
	if resume.LastEvent != "" {
		header.Set("Last", resume.LastEvent)
		header.Set("Origin", string(resume.Origin))
	}
	return header
}

func (testDialect) Classify(response *http.Response, request Request) ResponseInfo {
	id := response.Header.Get("Id")
	rate, err := strconv.ParseFloat(response.Header.Get("Limit"), 64)
	return ResponseInfo{
		Limit: core.RequestLimit{Stated: err == nil, Rate: core.RequestsPerSecond(rate)}, LimitUnreadable: err != nil && response.Header.Get("Limit") != "",
		Identified: id != "",
		Foreign:    id != "" && id != string(request.ID), Signed: response.Header.Get("Signed") != "",
		NotRun: response.Header.Get("Not-Run") != "", Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (testDialect) SetRefusalHeaders(header http.Header, _ Request, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("Retry-After", fmt.Sprint(retryAfter))
	}
}

// pauseTime is the length of a pause in a response. An earlier version of the gateway
// aborted streams after 1.8 s without an event.
const pauseTime = 2 * time.Second

// scriptedUpstreams are test upstreams that send scripted responses in order.
type scriptedUpstreams struct {
	// software holds the versions of the upstreams in order. If it is empty, they all have the
	// same one, and the sends do not name the upstream.
	software []string
	// headers holds the names of headers that the sends name if they have them.
	headers []string

	lock     sync.Mutex // no other lock is acquired while it is held
	answers  []string
	received []string
	// ends holds, for each request, the time until which its first send may take.
	ends map[string]time.Time
}

// endMargin is the time by which the end that a repeat states may be late.
const endMargin = 500 * time.Millisecond

func (upstreams *scriptedUpstreams) next(request *http.Request, body []byte) string {
	upstreams.lock.Lock()
	defer upstreams.lock.Unlock()
	line := fmt.Sprintf("%s %s %q", request.Method, request.RequestURI, body)
	if last := request.Header.Get("Last"); last != "" {
		line += " last=" + last
	}
	id := request.Header.Get("Id")
	left, err := time.ParseDuration(request.Header.Get("Left"))
	end, first := time.Now().Add(left), upstreams.ends[id]
	switch {
	case err != nil || !first.IsZero() && end.After(first.Add(endMargin)):
		line += " late-end"
	case first.IsZero():
		if upstreams.ends == nil {
			upstreams.ends = make(map[string]time.Time)
		}
		upstreams.ends[id] = end
	}
	for _, name := range upstreams.headers {
		if values, ok := request.Header[name]; ok {
			line += fmt.Sprintf(" %s=%q", name, values)
		}
	}
	if len(upstreams.software) > 0 {
		line += " to=" + request.Header.Get("To")
	}
	upstreams.received = append(upstreams.received, line)
	if len(upstreams.answers) == 0 {
		return "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n"
	}
	answer := upstreams.answers[0]
	upstreams.answers = upstreams.answers[1:]
	return answer
}

func (upstreams *scriptedUpstreams) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		answer := upstreams.next(request, body)
		_, _ = io.WriteString(conn, late)
		answer, late, _ = strings.Cut(answer, "LATE")
		late = strings.ReplaceAll(late, "\n", "\r\n")
		answer, cut := strings.CutSuffix(answer, "CUT")
		answer, reset := strings.CutSuffix(answer, "RESET")
		head, content, _ := strings.Cut(answer, "\n\n")
		before, after, paused := strings.Cut(content, "PAUSE")
		if answer != "" {
			_, _ = io.WriteString(conn, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+before)
		}
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

// knownOrigins is an originFinder that knows one stream.
type knownOrigins struct {
	request core.RequestID
	origin  origin.Origin
}

func (known knownOrigins) FindOrigin(_ context.Context, _ core.ServiceID, request core.RequestID, _ time.Duration) (origin.Origin, bool) {
	return known.origin, known.request == request
}

// failingPlacer is a placer that finds no engine.
type failingPlacer struct{ reason string }

func (placer failingPlacer) Place(context.Context, fleet.Query, bool, time.Duration) (core.UpstreamID, string) {
	return "", placer.reason
}

// offeringPlacer is a placer that offers engines in turn, except those that are excluded.
type offeringPlacer []core.UpstreamID

func (placer offeringPlacer) Place(_ context.Context, query fleet.Query, _ bool, _ time.Duration) (core.UpstreamID, string) {
	for _, id := range placer {
		if !slices.Contains(query.Exclude, id) {
			return id, ""
		}
	}
	return "", "no engine is left"
}

// latePlacer is a placer that finds an engine only after the request has ended.
type latePlacer struct{}

func (latePlacer) Place(ctx context.Context, _ fleet.Query, _ bool, _ time.Duration) (core.UpstreamID, string) {
	<-ctx.Done()
	return "u0", ""
}

// memoryRecorder is a recorder that keeps its records in memory. StartWithin fails while
// full is set, and StartOnMajority while noMajority is.
type memoryRecorder struct {
	lock       sync.Mutex // no other lock is acquired while it is held
	full       bool
	noMajority bool
	lines      []string
}

func (recorder *memoryRecorder) StartWithin(_ context.Context, record audit.Record, limit time.Duration) error {
	if recorder.full {
		return errors.New("too many audit records wait for a disk")
	}
	recorder.add(record, limit.String())
	return nil
}

func (recorder *memoryRecorder) StartOnMajority(_ context.Context, record audit.Record, _ time.Duration) error {
	if recorder.noMajority {
		return errors.New("no majority")
	}
	recorder.add(record, "majority")
	return nil
}

// add keeps the record of a start with what the gateway waits for.
func (recorder *memoryRecorder) add(record audit.Record, wait string) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	line := fmt.Sprintf("record: %s %s routes=%d %s/%s %s wait=%v", record.Event, record.Attempt, record.Config, record.Route, record.Service, record.Upstream, wait)
	if record.Software != "" {
		line += " software=" + string(record.Software)
	}
	if record.Workspace != "" {
		line += " workspace=" + string(record.Workspace)
	}
	recorder.lines = append(recorder.lines, line)
}

func (recorder *memoryRecorder) End(record audit.Record) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.lines = append(recorder.lines, fmt.Sprintf("record: %s %s %s whole=%t", record.Event, record.Attempt, record.Outcome, record.Whole))
}

// start runs count upstreams of the service and returns a table that contains them.
func (upstreams *scriptedUpstreams) start(t *testing.T, count int) *fleet.Table {
	table := fleet.NewTable("z")
	for i := range count {
		software := core.SoftwareVersion("v1")
		if i < len(upstreams.software) {
			software = core.SoftwareVersion(upstreams.software[i])
		}
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
			Upstream: core.UpstreamID(fmt.Sprintf("u%d", i)), Born: 1, Sequence: 1, Service: "s", Software: software, Address: listener.Addr().String(), Zone: "z", Slots: 4,
		})
	}
	return table
}

// TestScripts guards against a second run of a request that may run only once, a refusal
// of a request that may have run, a response that belongs to another request or is
// incomplete, a stream with missing events, and repeats that the budget does not count or that
// may take longer than the first send.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runCase(t, data)
		})
	})
}

func parseSpan(t *testing.T, text string) time.Duration {
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

// runCase sends one request, as many as the argument requests states, or one with each ID of
// the argument ids. The input holds
// the responses of the upstreams, separated by lines of two dashes. A line feed becomes
// CR LF in the head of a response and stays as it is in the body. What follows LATE is sent
// on the same connection after the next request has arrived there, with CR LF everywhere.
func runCase(t *testing.T, data *datadriven.TestData) string {
	upstreams := &scriptedUpstreams{}
	for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
		if part = strings.TrimSuffix(part, "\n"); part != "" {
			upstreams.answers = append(upstreams.answers, strings.ReplaceAll(part, `\n`, "\n"))
		}
	}
	count, kind, attempts, vms, age := 3, "idempotent", 2, 1, time.Duration(0)
	ids := []string{"r1"}
	records := &memoryRecorder{}
	header := make(map[string]string)
	// stop holds the times with which the gateway is stopped before the first request.
	var stop [2]time.Time
	// takeUp holds the last event and the origin of one more request that continues a stream.
	var takeUp []string
	var lines bytes.Buffer
	options := Options{Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)}
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "upstreams":
			count, _ = strconv.Atoi(arg.Vals[0])
		case "requests":
			requests, _ := strconv.Atoi(arg.Vals[0])
			for i := 1; i < requests; i++ {
				ids = append(ids, fmt.Sprintf("r%d", i+1))
			}
		case "ids":
			ids = arg.Vals
		case "software":
			upstreams.software, count = arg.Vals, len(arg.Vals)
		case "kind":
			kind = arg.Vals[0]
		case "weights":
			header["Weights"] = arg.Vals[0]
		case "patience":
			header["Patience"] = arg.Vals[0]
		case "last":
			header["Last"] = arg.Vals[0]
		case "then":
			takeUp = arg.Vals
		case "origin":
			header["Origin"] = arg.Vals[0]
		case "known":
			options.Origins = knownOrigins{core.RequestID(arg.Vals[0]), origin.Origin{Service: core.ServiceID(arg.Vals[1]), Software: core.SoftwareVersion(arg.Vals[2]), Send: 1}}
		case "offers":
			var offered offeringPlacer
			for _, id := range arg.Vals {
				offered = append(offered, core.UpstreamID(id))
			}
			options.Placer = offered
		case "late":
			options.Placer = latePlacer{}
		case "place":
			options.Placer = failingPlacer{strings.Join(arg.Vals, " ")}
		case "log":
			loggers, err := logging.NewStructured(&lines, "info")
			if err != nil {
				t.Fatal(err)
			}
			options.Logger = loggers.Logger("gateway")
		case "records":
			options.Recorder = records
			records.full = slices.Contains(arg.Vals, "full")
			records.noMajority = slices.Contains(arg.Vals, "no-majority")
		case "ratio":
			options.Repeats.Ratio, _ = strconv.ParseFloat(arg.Vals[0], 64)
		case "extra":
			options.Repeats.Extra, _ = strconv.ParseFloat(arg.Vals[0], 64)
		case "window":
			options.Repeats.Window = parseSpan(t, arg.Vals[0])
		case "vms":
			vms, _ = strconv.Atoi(arg.Vals[0])
		case "age": // the time between the start of the gateway and the first request
			age = parseSpan(t, arg.Vals[0])
		case "attempts":
			attempts, _ = strconv.Atoi(arg.Vals[0])
		case "stop": // the time until late requests are refused, and that until the end
			for i, value := range arg.Vals {
				stop[i] = time.Now().Add(parseSpan(t, value))
			}
		}
	}
	kinds := map[string]core.RouteKind{"idempotent": core.Idempotent, "non-idempotent": core.NonIdempotent, "stream": core.Stream, "resumable": core.Stream}
	table := upstreams.start(t, count)
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kinds[kind], Resumable: kind == "resumable", Timeout: 2 * pauseTime, MaxAttempts: attempts,
		Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	table.SetEntryVMs(vms)
	options.Table = table
	gateway, closeGateway := New(options)
	defer closeGateway()
	<-time.After(age)
	if !stop[1].IsZero() {
		defer gateway.Stop(stop[0], stop[1])()
	}
	server := httptest.NewServer(gateway)
	defer server.Close()
	text := ""
	for _, id := range ids {
		text += sendRequest(server, id, header)
	}
	if len(takeUp) > 0 {
		header["Last"], header["Origin"] = takeUp[0], takeUp[1]
		text += sendRequest(server, "again", header)
	}
	text += upstreams.sends()
	server.Close() // the end of a send is recorded after its response was sent
	records.lock.Lock()
	defer records.lock.Unlock()
	for _, line := range records.lines {
		text += line + "\n"
	}
	return text + maskVaryingFields(t, lines.String())
}

// maskVaryingFields returns the messages and fields of a log without its timestamps, and
// with # as the value of fields that vary between runs.
func maskVaryingFields(t *testing.T, text string) string {
	var out strings.Builder
	for text := range strings.Lines(text) {
		line, ok := logging.ParseLine(text)
		if !ok {
			t.Fatalf("the gateway logged a line that cannot be parsed: %q", text)
		}
		fmt.Fprintf(&out, "log: %q", line.Message)
		for _, field := range line.Fields {
			switch field.Key {
			case "millis", "cost", "error", "lasted_millis":
				field.Value = "#"
			}
			fmt.Fprintf(&out, " %s=%q", field.Key, field.Value)
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// sendRequest sends a request to the gateway and returns the response.
func sendRequest(server *httptest.Server, id string, header map[string]string) string {
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/p/a%2Fb?q=1", strings.NewReader("body"))
	request.Host = "h.example"
	request.Header.Set("Id", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	if err != nil {
		return "no answer\n"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %q whole=%t signed=%t retry-after=%q\n", response.StatusCode, body, err == nil,
		response.Header.Get("Signed") != "", response.Header.Get("Retry-After"))
}

// sends returns the requests that the upstreams have received.
func (upstreams *scriptedUpstreams) sends() string {
	upstreams.lock.Lock()
	defer upstreams.lock.Unlock()
	var out strings.Builder
	for _, line := range upstreams.received {
		out.WriteString("send: " + line + "\n")
	}
	return out.String()
}
