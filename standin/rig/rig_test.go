package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestEventParser guards against a parser that loses, joins or repeats events where reads end
// inside an event or inside a line end. Each input is read whole and byte by byte.
func TestEventParser(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, script *datadriven.TestData) string {
		is := is.New(t)
		text, err := strconv.Unquote(`"` + script.Input + `"`)
		is.NoErr(err)
		var outputs []string
		for _, size := range []int{1, len(text)} {
			var output strings.Builder
			var parser eventParser
			for rest := []byte(text); len(rest) > 0; rest = rest[size:] {
				parser.feed(rest[:size], func(id, data string) { fmt.Fprintf(&output, "id=%s data=%s\n", id, data) })
			}
			fmt.Fprintf(&output, "unfinished=%t\n", parser.unfinished())
			outputs = append(outputs, output.String())
		}
		is.Equal(outputs[0], outputs[1])
		return outputs[0]
	})
}

// testMessages names the headers of an upstream that announces nothing.
type testMessages struct{ UpstreamMessages }

func (testMessages) Headers() Headers {
	return Headers{
		Request: "Test-Request", Deadline: "Test-Deadline", Model: "Test-Model", Target: "Test-Target", Prefix: "Test-Prefix", Usage: "Test-Usage",
		Signature: "Test-Signature", NotExecuted: "Test-Not-Executed", LastEvent: "Test-Last", Resumes: "Test-Resumes", RetryAfter: "Test-Retry",
	}
}

func (testMessages) Paths() Paths { return Paths{Order: "/order", Report: "/report"} }

// TestStreamFormats guards against an upstream whose format changes the events of a stream or
// makes a broken stream look complete, and against a caller that reads it so.
func TestStreamFormats(t *testing.T) {
	datadriven.RunTest(t, "testdata/formats", func(t *testing.T, script *datadriven.TestData) string {
		is := is.New(t)
		options := UpstreamOptions{Process: "u", Spec: UpstreamSpec{Slots: 1}, Software: "v1"}
		is.NoErr(json.Unmarshal([]byte(script.Input), &options.Format))
		messages := testMessages{}
		folder := t.TempDir()
		recorder, closeRecords, err := NewRecorder(filepath.Join(folder, "all.records"))
		is.NoErr(err)
		defer func() { is.NoErr(closeRecords()) }()
		upstream := &upstream{
			options: options, messages: messages, headers: messages.Headers(), paths: messages.Paths(), recorder: recorder,
			random: rand.New(rand.NewPCG(1, 1)), uses: make(map[core.AdapterID]int),
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		go upstream.accept(listener)
		conn, err := connect(t.Context(), listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		call := call{
			headers: messages.Headers(), recorder: recorder, record: Record{Request: "r1", Kind: Stream}, path: "/s", host: "h",
			extra: map[string]string{"Test-Request": "r1"}, deadline: time.Now().Add(10 * time.Second), gap: 10 * time.Second,
		}
		call.body, err = json.Marshal(content{Task: "t", Events: 9, Stream: true})
		is.NoErr(err)
		result := call.do(conn)
		records, err := ReadRecords(folder)
		is.NoErr(err)
		numbers := []string{}
		for _, record := range records {
			if record.Event == Received {
				numbers = append(numbers, fmt.Sprint(record.Number, "/", record.Of))
				is.Equal(record.Detail, "")
			}
		}
		return fmt.Sprintf("status=%d complete=%t kept=%t all=%t\n", result.status, result.complete, result.kept, strings.Join(numbers, " ") == "1/9 2/9 3/9 4/9 5/9 6/9 7/9 8/9 9/9")
	})
}

// TestPlan guards against a plan that depends on more than the seed, that disrupts a process
// twice at once, or that takes more control VMs than the deployment tolerates, except all.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, script *datadriven.TestData) string {
		is := is.New(t)
		play := &Play{Seconds: 60, FaultMillis: 400, Faults: make(map[FaultKind]int)}
		for _, kind := range strings.Fields(script.Input) {
			play.Faults[FaultKind(kind)] = 1
		}
		members := members{
			entries: []string{"e1", "e2", "e3"}, controls: []string{"c1", "c2", "c3"}, zones: [][]string{{"e1", "c1"}, {"e2", "c2"}, {"e3", "c3"}},
			upstreams: []string{"u1", "u2"}, engines: []string{"u1", "u2"}, relayed: []string{"u2"}, tolerate: 1, catchUp: 4 * time.Second,
		}
		kinds, count := make(map[FaultKind]bool), 0
		for seed := range uint64(200) {
			plan := planFaults(play, members, rand.New(rand.NewPCG(seed, 0)))
			is.Equal(plan, planFaults(play, members, rand.New(rand.NewPCG(seed, 0))))
			busy := make(map[string]time.Duration)
			for _, fault := range plan {
				kinds[fault.Kind] = true
				count++
				checkFault(is, fault, busy, members)
			}
		}
		return fmt.Sprintf("kinds=%d faults=%t\n", len(kinds), count > 0)
	})
}

// checkFault requires that the targets of a fault are undisturbed, and notes its end.
func checkFault(is *is.I, fault Fault, busy map[string]time.Duration, members members) {
	if fault.Kind == LoseAnswers {
		return // disrupts no process
	}
	for _, target := range fault.Targets {
		is.True(busy[target] <= fault.After)
		busy[target] = fault.After + fault.Length
	}
	lost, chosen := 0, false
	for _, name := range members.controls {
		chosen = chosen || slices.Contains(fault.Targets, name)
		if busy[name] > fault.After {
			lost++
		}
	}
	is.True(!chosen || lost <= members.tolerate || fault.Kind == KillControls)
}
