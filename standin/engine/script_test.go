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

// fixture holds an engine with a virtual clock and the requests that run in the
// background.
type fixture struct {
	engine  *Engine
	running map[string]*responseRecorder
	group   sync.WaitGroup
	exited  bool
}

// responseRecorder records the response to a request in the background.
type responseRecorder struct {
	mu     sync.Mutex
	header http.Header
	status int
	body   strings.Builder
}

// Header returns the header of the response.
func (recorder *responseRecorder) Header() http.Header { return recorder.header }

// WriteHeader records the status.
func (recorder *responseRecorder) WriteHeader(status int) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.status = status
}

// Write appends to the recorded body.
func (recorder *responseRecorder) Write(data []byte) (int, error) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.body.Write(data)
}

// Flush does nothing.
func (recorder *responseRecorder) Flush() {}

func (recorder *responseRecorder) result() (int, string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.status, recorder.body.String()
}

// TestScripts guards against a simulated engine that does not count a violation, or
// that generates another text than the checks recompute.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		// All commands of a script run in one synctest bubble, so that the engine
		// keeps running between them.
		synctest.Test(t, func(t *testing.T) {
			var current *fixture
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			datadriven.RunTest(t, path, func(t *testing.T, line *datadriven.TestData) string {
				if line.Cmd == "engine" {
					current = newFixture(ctx, line)
					return ""
				}
				return current.step(t, line)
			})
		})
	})
}

func newFixture(ctx context.Context, line *datadriven.TestData) *fixture {
	current := &fixture{running: make(map[string]*responseRecorder)}
	settings := Settings{
		Upstream: "engine-1", Slots: 2, BatchSize: 2, TokenTime: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond,
		ChecksFencing: line.HasArg("checks-fencing"), Resumes: !line.HasArg("no-resume"), PrefixBlocks: 4, PrefillBlocks: 1,
	}
	writer := func(core.Incarnation) *journal.Writer { return &journal.Writer{} }
	current.engine = New(settings, writer, func(int) { current.exited = true })
	go current.engine.Run(ctx)
	return current
}

func (fixture *fixture) step(t *testing.T, line *datadriven.TestData) string {
	var millis int
	if line.MaybeScanArgs(t, "ms", &millis); line.Cmd == "wait" {
		<-time.After(time.Duration(millis) * time.Millisecond)
		return ""
	}
	synctest.Wait()
	switch line.Cmd {
	case "load", "evict":
		return fixture.order(t, line)
	case "run":
		return fixture.run(t, line)
	case "answer":
		return fixture.answer(t, line)
	case "cancel":
		return fixture.call(http.MethodDelete, "/v1/attempts/"+argument(t, line, "attempt"), nil, "")
	case "fail":
		return fixture.call(http.MethodPost, "/v1/standin/fail", nil, line.Input)
	case "counts":
		counts := fixture.engine.Counts()
		return fmt.Sprintf("runs=%d resumed=%d whole=%d cancelled=%d loads=%d failed=%d evictions=%d fenced=%d exited=%t\n%+v\n",
			counts.Runs, counts.Resumed, counts.Whole, counts.Cancelled, counts.Loads, counts.LoadsFailed, counts.Evictions, counts.Fenced, fixture.exited, counts.Violations)
	}
	t.Fatalf("unknown command %q", line.Cmd)
	return ""
}

func argument(t *testing.T, line *datadriven.TestData, name string) string {
	var value string
	line.MaybeScanArgs(t, name, &value)
	return value
}

func (fixture *fixture) call(method, path string, header http.Header, body string) string {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header = header
	recorder := httptest.NewRecorder()
	fixture.engine.Handler().ServeHTTP(recorder, request)
	return fmt.Sprintf("%d %s\n", recorder.Code, strings.ReplaceAll(strings.TrimSpace(recorder.Body.String()), string(fixture.engine.incarnation), "INCARNATION"))
}

func (fixture *fixture) order(t *testing.T, line *datadriven.TestData) string {
	body := fmt.Sprintf(`{"Adapter":%q,"Version":"1","Token":%s}`, argument(t, line, "adapter"), argument(t, line, "token"))
	return fixture.call(http.MethodPost, "/v1/adapters/"+line.Cmd, nil, body)
}

// run starts a request in the background.
func (fixture *fixture) run(t *testing.T, line *datadriven.TestData) string {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":3}`, argument(t, line, "prompt"))
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	for name, key := range map[string]string{"X-Attempt": "attempt", "X-Adapter": "adapter", "X-Fencing-Token": "token", "X-Priority": "priority", "X-Resume-Offset": "offset"} {
		request.Header.Set(name, argument(t, line, key))
	}
	request.Header.Set("X-Version", "1")
	recorder := &responseRecorder{header: make(http.Header)}
	fixture.running[argument(t, line, "attempt")] = recorder
	fixture.group.Go(func() {
		defer func() {
			if recover() != nil {
				fmt.Fprint(recorder, "data: BROKEN\n")
			}
		}()
		fixture.engine.Handler().ServeHTTP(recorder, request)
	})
	synctest.Wait()
	return ""
}

// answer compares the response received so far with the recomputed answer.
func (fixture *fixture) answer(t *testing.T, line *datadriven.TestData) string {
	status, body := fixture.running[argument(t, line, "attempt")].result()
	if status != http.StatusOK {
		return fmt.Sprintf("%d %s\n", status, strings.TrimSpace(body))
	}
	prompt := Prompt{Text: argument(t, line, "prompt"), Tokens: 3}
	whole := Answer(core.AdapterVersion{Adapter: core.AdapterID(argument(t, line, "adapter")), Version: "1"}, "", prompt)
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
