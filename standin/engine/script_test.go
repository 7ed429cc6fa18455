package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// bench is an engine on virtual time with requests in the background.
type bench struct {
	engine  *Engine
	running map[string]*answer
	group   sync.WaitGroup
	exited  bool
}

// answer collects what a request in the background got.
type answer struct {
	mutex  sync.Mutex
	header http.Header
	status int
	body   strings.Builder
}

// Header returns the header of the answer.
func (answer *answer) Header() http.Header { return answer.header }

// WriteHeader keeps the status.
func (answer *answer) WriteHeader(status int) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	answer.status = status
}

// Write collects the body.
func (answer *answer) Write(data []byte) (int, error) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	return answer.body.Write(data)
}

// Flush does nothing.
func (answer *answer) Flush() {}

func (answer *answer) get() (int, string) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	return answer.status, answer.body.String()
}

// TestScripts guards against a stand-in that hides a violation, or that generates
// something else than a check recomputes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		// A script runs in one bubble, so that the engine outlives its commands.
		synctest.Test(t, func(t *testing.T) {
			var current *bench
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			datadriven.RunTest(t, path, func(t *testing.T, line *datadriven.TestData) string {
				if line.Cmd == "engine" {
					current = newBench(ctx, line)
					return ""
				}
				return current.step(t, line)
			})
		})
	})
}

func newBench(ctx context.Context, line *datadriven.TestData) *bench {
	current := &bench{running: make(map[string]*answer)}
	settings := Settings{
		Upstream: "engine-1", Slots: 2, BatchSize: 2, TokenTime: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		ChecksFencing: line.HasArg("checks-fencing"), Resumes: !line.HasArg("no-resume"), PrefixBlocks: 4, PrefillBlocks: 1,
	}
	writer := func(core.Incarnation) *journal.Writer { return &journal.Writer{} }
	current.engine = New(settings, writer, func(int) { current.exited = true })
	go current.engine.Run(ctx)
	return current
}

func (bench *bench) step(t *testing.T, line *datadriven.TestData) string {
	var millis int
	if line.MaybeScanArgs(t, "ms", &millis); line.Cmd == "wait" {
		<-time.After(time.Duration(millis) * time.Millisecond)
		return ""
	}
	synctest.Wait()
	switch line.Cmd {
	case "load", "evict":
		return bench.order(t, line)
	case "run":
		return bench.run(t, line)
	case "answer":
		return bench.answer(t, line)
	case "cancel":
		return bench.call(http.MethodDelete, "/v1/attempts/"+argument(t, line, "attempt"), nil, "")
	case "fail":
		return bench.call(http.MethodPost, "/v1/standin/fail", nil, line.Input)
	case "counts":
		counts := bench.engine.Counts()
		return fmt.Sprintf("runs=%d resumed=%d whole=%d cancelled=%d loads=%d failed=%d evictions=%d fenced=%d exited=%t\n%+v\n",
			counts.Runs, counts.Resumed, counts.Whole, counts.Cancelled, counts.Loads, counts.LoadsFailed, counts.Evictions, counts.Fenced, bench.exited, counts.Violations)
	}
	t.Fatalf("unknown command %q", line.Cmd)
	return ""
}

func argument(t *testing.T, line *datadriven.TestData, name string) string {
	var value string
	line.MaybeScanArgs(t, name, &value)
	return value
}

func (bench *bench) call(method, path string, header http.Header, body string) string {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header = header
	recorder := httptest.NewRecorder()
	bench.engine.Handler().ServeHTTP(recorder, request)
	return fmt.Sprintf("%d %s\n", recorder.Code, strings.ReplaceAll(strings.TrimSpace(recorder.Body.String()), string(bench.engine.incarnation), "INCARNATION"))
}

func (bench *bench) order(t *testing.T, line *datadriven.TestData) string {
	body := fmt.Sprintf(`{"Adapter":%q,"Version":"1","Token":%s}`, argument(t, line, "adapter"), argument(t, line, "token"))
	return bench.call(http.MethodPost, "/v1/adapters/"+line.Cmd, nil, body)
}

// run starts a request in the background.
func (bench *bench) run(t *testing.T, line *datadriven.TestData) string {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":3}`, argument(t, line, "prompt"))
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	for name, key := range map[string]string{"X-Attempt": "attempt", "X-Adapter": "adapter", "X-Fencing-Token": "token", "X-Priority": "priority", "X-Resume-Offset": "offset"} {
		request.Header.Set(name, argument(t, line, key))
	}
	request.Header.Set("X-Version", "1")
	recorder := &answer{header: make(http.Header)}
	bench.running[argument(t, line, "attempt")] = recorder
	bench.group.Go(func() {
		defer func() {
			if recover() != nil {
				fmt.Fprint(recorder, "data: BROKEN\n")
			}
		}()
		bench.engine.Handler().ServeHTTP(recorder, request)
	})
	synctest.Wait()
	return ""
}

// answer compares what a request got until now with the recomputed answer.
func (bench *bench) answer(t *testing.T, line *datadriven.TestData) string {
	status, body := bench.running[argument(t, line, "attempt")].get()
	if status != http.StatusOK {
		return fmt.Sprintf("%d %s\n", status, strings.TrimSpace(body))
	}
	prompt := Prompt{Text: argument(t, line, "prompt"), Tokens: 3}
	whole := Answer(core.AdapterVersion{Adapter: core.AdapterID(argument(t, line, "adapter")), Version: "1"}, prompt)
	var text strings.Builder
	end := "open"
	for _, event := range strings.Split(body, "\n") {
		var parsed struct{ Choices []struct{ Text string } }
		content, _ := strings.CutPrefix(event, "data: ")
		if content == "[DONE]" || content == "BROKEN" {
			end = content
		}
		if json.Unmarshal([]byte(content), &parsed) == nil && len(parsed.Choices) == 1 {
			text.WriteString(parsed.Choices[0].Text)
		}
	}
	return fmt.Sprintf("%d tokens, at %d of %d, %s\n", len(text.String())/9, strings.Index(whole, text.String())/9, len(whole)/9, end)
}
