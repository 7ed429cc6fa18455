package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// TestOwner runs the scripts in testdata with a virtual clock. The first lines of
// each script state the failure that it guards against.
func TestOwner(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture()
				defer fixture.close()
				datadriven.RunTest(t, path, fixture.runCase)
			})
		})
	}
}

// fixture is an Owner with a fake lease and fake upstreams. The script supplies the
// answers of the upstreams.
type fixture struct {
	owner *Owner
	stop  func()

	mutex   sync.Mutex
	events  []string
	token   core.FencingToken
	held    bool
	ejected map[string]bool
	// stopped holds the engines that answer no question.
	stopped map[string]bool
	// waiting holds the commands and calls that wait for an answer from the script,
	// by the text of their event.
	waiting map[string]chan error
	cancels map[core.AttemptID]context.CancelFunc
}

func newFixture() *fixture {
	fixture := &fixture{token: 1, held: true, ejected: make(map[string]bool), stopped: make(map[string]bool), waiting: make(map[string]chan error), cancels: make(map[core.AttemptID]context.CancelFunc)}
	jobs, stop := pool.New(8, 0)
	fixture.stop = stop
	config := scheduler.Config{
		Batching: batching.Setting{StallWeight: 1},
		Budget:   budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25},
	}
	fixture.owner = New(fixture, fixture, jobs, config, log.New(io.Discard))
	return fixture
}

// close ends all waiting commands and calls, so that no goroutine is left when the
// test ends.
func (fixture *fixture) close() {
	fixture.mutex.Lock()
	fixture.held = false
	for key, answer := range fixture.waiting {
		answer <- errors.New("the test has ended")
		delete(fixture.waiting, key)
	}
	fixture.mutex.Unlock()
	for _, cancel := range fixture.cancels {
		cancel()
	}
	synctest.Wait()
	fixture.stop()
}

func (fixture *fixture) runCase(t *testing.T, data *datadriven.TestData) string {
	lines := strings.Split(data.Input, "\n")
	for _, line := range append([]string{data.Cmd + " " + strings.Join(arguments(data), " ")}, lines...) {
		if fields := strings.Fields(line); len(fields) > 0 {
			fixture.runStep(t, fields)
			synctest.Wait()
		}
	}
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	// Commands run on the worker pool and answers on the goroutine of the request, so
	// the order between the two kinds varies; the order within each kind does not.
	slices.SortStableFunc(fixture.events, func(a, b string) int { return cmp.Compare(eventRank(a), eventRank(b)) })
	events := strings.Join(fixture.events, "\n")
	fixture.events = nil
	return events
}

// eventRank returns 0 for commands and calls to upstreams, and 1 for answers.
func eventRank(event string) int {
	if strings.Contains(event, " token=") {
		return 0
	}
	return 1
}

func arguments(data *datadriven.TestData) []string {
	var words []string
	for _, argument := range data.CmdArgs {
		words = append(words, argument.String())
	}
	return words
}

func (fixture *fixture) runStep(t *testing.T, fields []string) {
	name := strings.Join(fields[1:], " ")
	switch fields[0] {
	case "after":
		passed, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		<-time.After(passed)
	case "announce":
		fixture.announce(fields[1:])
	case "serve":
		fixture.serve(core.AttemptID(fields[1]), fields[2:])
	case "disconnect":
		fixture.cancels[core.AttemptID(fields[1])]()
	case "withdraw":
		fixture.record("sent before: %v", fixture.owner.Withdraw(core.AttemptID(fields[1])))
	case "lease":
		fixture.mutex.Lock()
		_, _ = fmt.Sscanf(name, "%t %d", &fixture.held, &fixture.token)
		fixture.mutex.Unlock()
	case "eject":
		fixture.mutex.Lock()
		fixture.ejected[fields[1]] = true
		fixture.mutex.Unlock()
	case "stop", "continue":
		fixture.mutex.Lock()
		fixture.stopped[fields[1]] = fields[0] == "stop"
		fixture.mutex.Unlock()
	case "release":
		fixture.owner.RemoveGroup(groupOf(nil))
	case "ok", "fail", "full", "broken", "crashed", "refused", "missing":
		fixture.answer(t, name, answers[fields[0]])
	default:
		t.Fatalf("unknown step %q", fields[0])
	}
}

var answers = map[string]error{
	"ok":      nil,
	"fail":    errors.New("failed"),
	"full":    upstream.ErrNoSlot,
	"broken":  &upstream.CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Lost: true, Err: errors.New("broken")},
	"crashed": &upstream.CallError{Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Lost: true, Crashed: true, Err: errors.New("crashed")},
	"refused": &upstream.CallError{Outcome: core.NotRun, Code: core.CodeUpstreamFailed, Lost: true, Err: errors.New("connection refused")},
	"missing": &upstream.CallError{Outcome: core.NotRun, Code: core.CodeAdapterUnavailable, Err: errors.New("not resident")},
}

func (fixture *fixture) answer(t *testing.T, name string, err error) {
	fixture.mutex.Lock()
	answer, isWaiting := fixture.waiting[name]
	delete(fixture.waiting, name)
	fixture.mutex.Unlock()
	if !isWaiting {
		t.Fatalf("no command or call waits for an answer: %q", name)
	}
	answer <- err
}

func groupOf(words []string) core.GroupID {
	if slices.Contains(words, "service") {
		return core.GroupID{Zone: "a", Kind: core.ServiceGroup, Name: "billing"}
	}
	return core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "base-model"}
}

func (fixture *fixture) announce(words []string) {
	announcement := core.Announcement{
		Upstream: core.UpstreamID(words[0]), Incarnation: core.Incarnation(words[1]), Address: words[0], Group: groupOf(words),
		Leaving: slices.Contains(words, "leaving"), Slots: 1, BatchSize: 4,
		ChecksFencing: !slices.Contains(words, "unchecked"),
	}
	for _, word := range words {
		if name, found := strings.CutPrefix(word, "resident="); found {
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapter(name)})
		}
	}
	fixture.owner.Announce(announcement)
}

func adapter(name string) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(name), Version: "1"}
}

func (fixture *fixture) serve(attempt core.AttemptID, words []string) {
	ctx, cancel := context.WithCancel(context.Background())
	fixture.cancels[attempt] = cancel
	call := core.Call{Attempt: attempt, Group: groupOf(words), Deadline: 10 * time.Second}
	if call.Group.Kind == core.EngineGroup {
		call.Pin.AdapterVersion = adapter(words[0])
	}
	go func() {
		end := fixture.owner.Serve(ctx, call, func(chunk core.Chunk) error {
			fixture.record("%s head queued=%v stalled=%v", attempt, chunk.Head.Queued, chunk.Head.Stalled)
			return nil
		})
		fixture.record("%s ended whole=%v %v %s", attempt, end.Whole, end.Outcome, end.Code)
	}()
}

func (fixture *fixture) record(format string, values ...any) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	fixture.events = append(fixture.events, fmt.Sprintf(format, values...))
}

// Ask answers with the incarnation that is the only one of the scripts, unless the engine is
// stopped.
func (fixture *fixture) Ask(_ context.Context, address string) (core.Incarnation, error) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	fixture.events = append(fixture.events, "asked "+address)
	if fixture.stopped[address] {
		return "", errors.New("no answer")
	}
	return "run-1", nil
}

// awaitAnswer records a command or a call and waits for the script's answer to it.
func (fixture *fixture) awaitAnswer(ctx context.Context, key string, token core.FencingToken) error {
	fixture.record("%s token=%d", key, token)
	answer := make(chan error, 1)
	fixture.mutex.Lock()
	fixture.waiting[key] = answer
	fixture.mutex.Unlock()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (fixture *fixture) Lease(core.GroupID) (core.FencingToken, time.Time, bool) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return fixture.token, time.Now().Add(time.Second), fixture.held
}

func (fixture *fixture) Ejected(address string) bool {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return fixture.ejected[address]
}

func (fixture *fixture) Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error) {
	return "1", fixture.awaitAnswer(ctx, fmt.Sprintf("load %s %s", address, adapter.Adapter), token)
}

func (fixture *fixture) Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error {
	return fixture.awaitAnswer(ctx, fmt.Sprintf("evict %s %s", address, adapter.Adapter), token)
}

func (fixture *fixture) Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error) {
	err := fixture.awaitAnswer(ctx, fmt.Sprintf("run %s %s", address, call.Attempt), token)
	if err != nil {
		return 0, err
	}
	return 1, send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{}})
}

func (fixture *fixture) Cancel(ctx context.Context, address string, attempt core.AttemptID) error {
	return fixture.awaitAnswer(ctx, fmt.Sprintf("cancel %s %s", address, attempt), 0)
}

func (fixture *fixture) Call(ctx context.Context, address string, _ core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	err := fixture.awaitAnswer(ctx, fmt.Sprintf("call %s %s", address, call.Attempt), 0)
	if err != nil {
		return err
	}
	return send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{}})
}
