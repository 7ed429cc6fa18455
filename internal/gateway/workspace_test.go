package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// TestWorkspaces guards against a request without a valid key that reaches an upstream, a key
// that is sent to an upstream or another VM or is logged, and a request that runs for a workspace
// other than that of its key.
func TestWorkspaces(t *testing.T) {
	datadriven.Walk(t, "testdata/workspaces", func(t *testing.T, path string) {
		vms := startWorkspaceVMs(t)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "table":
				vms.setTable(data)
				return ""
			case "cut":
				cutPath(vms.first)
				return ""
			case "request":
				return vms.send(t, data)
			default:
				return "unknown command\n"
			}
		})
	})
}

// workspaceVMs are two entry VMs: callers call the first one, which hands requests over to the
// second one if it reaches no upstream.
type workspaceVMs struct {
	upstreams     *scriptedUpstreams
	first         *Gateway
	tables        map[string]*fleet.Table
	records       *memoryRecorder
	server        *httptest.Server
	lines         bytes.Buffer // the log of both VMs
	lock          sync.Mutex   // no other lock is acquired while it is held; guards link
	link          []string     // the headers of the requests that were handed over
	requestNumber int
}

func startWorkspaceVMs(t *testing.T) *workspaceVMs {
	vms := &workspaceVMs{upstreams: &scriptedUpstreams{headers: []string{"Workspace", "Rank", "Key", handoverWorkspaceHeader}}, records: &memoryRecorder{}}
	vms.tables = map[string]*fleet.Table{"first": vms.upstreams.start(t, 1), "second": vms.upstreams.start(t, 1)}
	loggers, err := logging.NewStructured(&vms.lines, "debug")
	if err != nil {
		t.Fatal(err)
	}
	start := func(vm string) *Gateway {
		gateway, closeGateway := New(Options{
			Table: vms.tables[vm], Dialect: testDialect{}, Recorder: vms.records, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: loggers.Logger(vm),
		})
		t.Cleanup(closeGateway)
		return gateway
	}
	vms.first = start("first")
	takeover := start("second").Takeover()
	second := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		vms.lock.Lock()
		vms.link = append(vms.link, fmt.Sprintf("link: workspace=%q key=%q", request.Header[handoverWorkspaceHeader], request.Header["Key"]))
		vms.lock.Unlock()
		takeover.ServeHTTP(writer, request)
	}))
	t.Cleanup(second.Close)
	vms.tables["first"].SetHandoverTargets("control", []handover.Target{{VM: "second", Zone: "z", Address: second.Listener.Addr().String()}})
	vms.server = httptest.NewServer(vms.first)
	t.Cleanup(vms.server.Close)
	return vms
}

// setTable puts a route table in force on the VMs that the argument vm names, or on both. Its
// input holds lines of a workspace, its keys and rank=NUMBER.
func (vms *workspaceVMs) setTable(data *datadriven.TestData) {
	number, _ := strconv.Atoi(data.CmdArgs[0].Vals[0])
	routes := core.RouteTable{Number: core.ConfigNumber(number), Services: []core.ServiceSpec{{Service: "s"}}}
	for _, prefix := range []string{"/p/", "/public/"} {
		routes.Routes = append(routes.Routes, core.Route{
			Name: core.RouteName(prefix), Host: "h.example", Prefix: prefix, Kind: core.Idempotent, Timeout: 3 * time.Second, Rank: 5, Public: prefix == "/public/",
			Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		})
	}
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		workspace := core.Workspace{Workspace: core.WorkspaceID(fields[0])}
		for _, field := range fields[1:] {
			if text, ok := strings.CutPrefix(field, "rank="); ok {
				rank, _ := strconv.Atoi(text)
				workspace.Rank = &rank
				continue
			}
			workspace.Keys = append(workspace.Keys, core.DigestKey(field))
		}
		routes.Workspaces = append(routes.Workspaces, workspace)
	}
	if arg, ok := data.Arg("vm"); ok {
		vms.tables[arg.Vals[0]].SetRoutes(routes)
		return
	}
	for _, table := range vms.tables {
		table.SetRoutes(routes)
	}
}

// send sends a request to the first VM on the connection that is kept, with the headers of the
// input. It returns the response, what the upstreams and the second VM have received, the
// records, and the log.
func (vms *workspaceVMs) send(t *testing.T, data *datadriven.TestData) string {
	path := "/p/a"
	if arg, ok := data.Arg("path"); ok {
		path = arg.Vals[0]
	}
	vms.requestNumber++
	id := fmt.Sprint("r", vms.requestNumber)
	vms.upstreams.lock.Lock()
	vms.upstreams.received = nil
	vms.upstreams.answers = []string{"HTTP/1.1 200 OK\nId: " + id + "\nSigned: 1\nContent-Length: 2\n\nok"}
	vms.upstreams.lock.Unlock()
	var body io.Reader
	if arg, ok := data.Arg("body"); ok {
		body = strings.NewReader(arg.Vals[0])
	}
	request, _ := http.NewRequest(http.MethodPost, vms.server.URL+path, body)
	request.Host = "h.example"
	request.Header["Id"] = []string{id}
	request.Header["Patience"] = []string{"200"}
	for line := range strings.Lines(data.Input) {
		name, value, _ := strings.Cut(line, ":")
		request.Header[name] = append(request.Header[name], strings.TrimSpace(value))
	}
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	response, err := vms.server.Client().Do(request.WithContext(httptrace.WithClientTrace(t.Context(), trace)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %q kept=%t\n", response.StatusCode, content, kept) + vms.upstreams.sends() + vms.takeLines(t)
}

// takeLines returns the headers on the link, the records and the log since the last call.
func (vms *workspaceVMs) takeLines(t *testing.T) string {
	// The end of a send is recorded after its response was sent.
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); <-time.After(time.Millisecond) {
		vms.records.lock.Lock()
		open := len(vms.records.lines) % 2
		vms.records.lock.Unlock()
		if open == 0 {
			break
		}
	}
	vms.lock.Lock()
	defer vms.lock.Unlock()
	vms.records.lock.Lock()
	defer vms.records.lock.Unlock()
	var out strings.Builder
	for _, line := range append(vms.link, vms.records.lines...) {
		out.WriteString(line + "\n")
	}
	vms.link, vms.records.lines = nil, nil
	out.WriteString(maskVaryingFields(t, vms.lines.String()))
	vms.lines.Reset()
	return out.String()
}

// TestRevokedKeyKeepsStream guards against a stream that breaks off when the key of its caller is
// revoked, and against the key being accepted after that on the connection that is kept.
func TestRevokedKeyKeepsStream(t *testing.T) {
	is := is.New(t)
	upstreams := &scriptedUpstreams{answers: []string{"HTTP/1.1 200 OK\nId: r1\nSigned: 1\nContent-Length: 30\n\nid: 1\ndata: a\n\nPAUSEid: 2\ndata: b\n\n"}}
	table := upstreams.start(t, 1)
	routes := core.RouteTable{
		Number: 1, Services: []core.ServiceSpec{{Service: "s"}}, Workspaces: []core.Workspace{{Workspace: "north", Keys: []core.KeyDigest{core.DigestKey("k1")}}},
		Routes: []core.Route{{Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.Stream, Timeout: 3 * pauseTime, Targets: []core.RouteTarget{{Service: "s", Weight: 1}}}},
	}
	table.SetRoutes(routes)
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	send := func() *http.Response {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/p/a", nil)
		is.NoErr(err)
		request.Host = "h.example"
		request.Header.Set("Id", "r1")
		request.Header.Set("Key", "k1")
		response, err := server.Client().Do(request)
		is.NoErr(err)
		return response
	}
	response := send()
	defer response.Body.Close()
	event := make([]byte, len("id: 1\ndata: a\n\n"))
	_, err := io.ReadFull(response.Body, event)
	is.NoErr(err)
	routes.Number, routes.Workspaces = 2, []core.Workspace{{Workspace: "north"}}
	table.SetRoutes(routes)
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(rest), "id: 2\ndata: b\n\n")
	refused := send()
	defer refused.Body.Close()
	is.Equal(refused.StatusCode, http.StatusUnauthorized)
}
