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

// TestOwner plays the files of testdata on a virtual clock. Each file names the
// failure that it guards against in its first lines.
func TestOwner(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stage := newStage()
				defer stage.close()
				datadriven.RunTest(t, path, stage.run)
			})
		})
	}
}

// stage is an owner with a fake lease and fake upstreams whose answers the script
// gives.
type stage struct {
	owner *Owner
	stop  func()

	mutex   sync.Mutex
	events  []string
	token   core.FencingToken
	held    bool
	ejected map[string]bool
	// open are the orders and runs that wait for an answer of the script.
	open    map[string]chan error
	cancels map[core.AttemptID]context.CancelFunc
}

func newStage() *stage {
	stage := &stage{token: 1, held: true, ejected: make(map[string]bool), open: make(map[string]chan error), cancels: make(map[core.AttemptID]context.CancelFunc)}
	jobs, stop := pool.New(8, 0)
	stage.stop = stop
	config := scheduler.Config{
		Batching: batching.Setting{StallWeight: 1},
		Budget:   budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25},
	}
	stage.owner = New(stage, stage, jobs, config, log.New(io.Discard))
	return stage
}

// close ends everything that still waits, so that no goroutine stays behind.
func (stage *stage) close() {
	stage.mutex.Lock()
	stage.held = false
	for key, answer := range stage.open {
		answer <- errors.New("the test is over")
		delete(stage.open, key)
	}
	stage.mutex.Unlock()
	for _, cancel := range stage.cancels {
		cancel()
	}
	synctest.Wait()
	stage.stop()
}

func (stage *stage) run(t *testing.T, data *datadriven.TestData) string {
	lines := strings.Split(data.Input, "\n")
	for _, line := range append([]string{data.Cmd + " " + strings.Join(arguments(data), " ")}, lines...) {
		if fields := strings.Fields(line); len(fields) > 0 {
			stage.step(t, fields)
			synctest.Wait()
		}
	}
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	// Orders are jobs of the pool and answers come from the goroutine of the request,
	// so the order between the two kinds is not fixed; the order within each kind is.
	slices.SortStableFunc(stage.events, func(a, b string) int { return cmp.Compare(kindOf(a), kindOf(b)) })
	events := strings.Join(stage.events, "\n")
	stage.events = nil
	return events
}

// kindOf is 0 for orders and runs, and 1 for answers.
func kindOf(event string) int {
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

func (stage *stage) step(t *testing.T, fields []string) {
	name := strings.Join(fields[1:], " ")
	switch fields[0] {
	case "after":
		passed, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		<-time.After(passed)
	case "announce":
		stage.announce(fields[1:])
	case "serve":
		stage.serve(core.AttemptID(fields[1]), fields[2:])
	case "leave":
		stage.cancels[core.AttemptID(fields[1])]()
	case "bar":
		stage.note("sent before: %v", stage.owner.Bar(core.AttemptID(fields[1])))
	case "lease":
		stage.mutex.Lock()
		_, _ = fmt.Sscanf(name, "%t %d", &stage.held, &stage.token)
		stage.mutex.Unlock()
	case "eject":
		stage.mutex.Lock()
		stage.ejected[fields[1]] = true
		stage.mutex.Unlock()
	case "release":
		stage.owner.Release(groupOf(nil))
	case "ok", "fail", "full", "broken", "crashed", "refused", "missing":
		stage.answer(t, name, answers[fields[0]])
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

func (stage *stage) answer(t *testing.T, name string, err error) {
	stage.mutex.Lock()
	answer, waits := stage.open[name]
	delete(stage.open, name)
	stage.mutex.Unlock()
	if !waits {
		t.Fatalf("nothing waits for an answer to %q", name)
	}
	answer <- err
}

func groupOf(words []string) core.GroupID {
	if slices.Contains(words, "service") {
		return core.GroupID{Zone: "a", Kind: core.ServiceGroup, Name: "billing"}
	}
	return core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "base-model"}
}

func (stage *stage) announce(words []string) {
	announcement := core.Announcement{
		Upstream: core.UpstreamID(words[0]), Incarnation: core.Incarnation(words[1]), Address: words[0], Group: groupOf(words),
		Leaving: slices.Contains(words, "leaving"), Slots: 1, BatchSize: 4,
	}
	for _, word := range words {
		if name, found := strings.CutPrefix(word, "resident="); found {
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapter(name)})
		}
	}
	stage.owner.Announce(announcement)
}

func adapter(name string) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(name), Version: "1"}
}

func (stage *stage) serve(attempt core.AttemptID, words []string) {
	ctx, cancel := context.WithCancel(context.Background())
	stage.cancels[attempt] = cancel
	call := core.Call{Attempt: attempt, Group: groupOf(words), Deadline: 10 * time.Second}
	if call.Group.Kind == core.EngineGroup {
		call.Pin.AdapterVersion = adapter(words[0])
	}
	go func() {
		end := stage.owner.Serve(ctx, call, func(chunk core.Chunk) error {
			stage.note("%s head queued=%v stalled=%v", attempt, chunk.Head.Queued, chunk.Head.Stalled)
			return nil
		})
		stage.note("%s ended whole=%v %v %s", attempt, end.Whole, end.Outcome, end.Code)
	}()
}

func (stage *stage) note(format string, values ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.events = append(stage.events, fmt.Sprintf(format, values...))
}

// wait notes an order or a run and waits for the script's answer to it.
func (stage *stage) wait(ctx context.Context, key string, token core.FencingToken) error {
	stage.note("%s token=%d", key, token)
	answer := make(chan error, 1)
	stage.mutex.Lock()
	stage.open[key] = answer
	stage.mutex.Unlock()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (stage *stage) Lease(core.GroupID) (core.FencingToken, time.Time, bool) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	return stage.token, time.Now().Add(time.Second), stage.held
}

func (stage *stage) Ejected(address string) bool {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	return stage.ejected[address]
}

func (stage *stage) Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error) {
	return "1", stage.wait(ctx, fmt.Sprintf("load %s %s", address, adapter.Adapter), token)
}

func (stage *stage) Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error {
	return stage.wait(ctx, fmt.Sprintf("evict %s %s", address, adapter.Adapter), token)
}

func (stage *stage) Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error) {
	err := stage.wait(ctx, fmt.Sprintf("run %s %s", address, call.Attempt), token)
	if err != nil {
		return 0, err
	}
	return 1, send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{}})
}

func (stage *stage) Cancel(ctx context.Context, address string, attempt core.AttemptID) error {
	return stage.wait(ctx, fmt.Sprintf("cancel %s %s", address, attempt), 0)
}

func (stage *stage) Call(ctx context.Context, address string, _ core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	err := stage.wait(ctx, fmt.Sprintf("call %s %s", address, call.Attempt), 0)
	if err != nil {
		return err
	}
	return send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{}})
}
