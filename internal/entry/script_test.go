package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// world stands for everything around an entry: lists, owners of two groups, the
// replicated state, the audit log and the caller.
type world struct {
	entry *Entry
	// script holds what the next attempts do, one a line.
	script []string
	// mutex guards seen, since reports are on goroutines of their own.
	mutex sync.Mutex
	seen  strings.Builder
	// refused holds the record of a refusal. It is shown after everything else, since
	// an outcome that is recorded on a goroutine of its own may come before or after it.
	refused string
	state   *ledger.State
	index   uint64
	crashes map[core.Fingerprint]int
	cancel  context.CancelFunc
	gone    bool
	text    strings.Builder
	replies int
}

// TestScripts guards against an entry that does not carry out what the life of a
// request decides: attempts at the wrong group or offset, answers that are passed on
// twice, claims without an outcome, and crashes that are not reported.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		world := newWorld()
		datadriven.RunTest(t, path, func(t *testing.T, line *datadriven.TestData) string {
			var shown string
			synctest.Test(t, func(t *testing.T) { shown = world.request(t, line) })
			return shown
		})
	})
}

func newWorld() *world {
	world := &world{state: ledger.New(ledger.Limits{}), crashes: make(map[core.Fingerprint]int)}
	world.entry = New(Parts{
		VM: "vm-1", Zone: "a", Incarnation: "run-1", DefaultDeadline: 5 * time.Second, ClaimHold: time.Minute,
		Books: world, Directory: world, Dispatchers: world, Claims: world, Suspects: world, Crashes: world,
		Recorder: world, Logger: log.New(io.Discard),
	})
	return world
}

func (world *world) request(t *testing.T, line *datadriven.TestData) string {
	world.script = strings.Split(line.Input, "\n")
	world.take()
	world.refused = ""
	world.text.Reset()
	world.gone, world.replies = false, 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	world.cancel = cancel
	request := Request{Key: "key", Wanted: core.AdapterVersion{Adapter: "x"}, Method: "POST", Path: "/v1/completions", Body: []byte(`{"prompt":"p"}`)}
	if line.Cmd == "call" {
		var key string
		line.ScanArgs(t, "key", &key)
		request = Request{Key: "key", Service: "billing", Method: "POST", Path: "/charge", Body: []byte("body"), IdempotencyKey: core.IdempotencyKey(key)}
	}
	end := world.entry.Serve(ctx, request, responder{world})
	synctest.Wait()
	world.note("%s", world.refused)
	world.note("caller: whole=%t %s %s heads=%d %q\n", end.Whole, end.Outcome, end.Code, world.replies, world.text.String())
	return world.take()
}

func (world *world) note(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintf(&world.seen, format, values...)
}

// take returns what was noted since the last call.
func (world *world) take() string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	defer world.seen.Reset()
	return world.seen.String()
}

// Serve does what the next line of the script says: "head" with the version that ran,
// "tokens" that are passed on, and how the attempt ends.
func (world *world) Serve(_ context.Context, call core.Call, send func(core.Chunk) error) core.End {
	world.note("attempt at %s offset=%d suspect=%t\n", call.Group, call.ResumeOffset, call.Suspect)
	if len(world.script) == 0 {
		return core.EndRefused(call.Attempt, core.Refuse(core.CodeNoUpstream, "the script has ended"))
	}
	words := strings.Fields(world.script[0])
	world.script = world.script[1:]
	end := core.End{Attempt: call.Attempt, Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Upstream: "engine-1"}
	offset := call.ResumeOffset
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "head":
			ran, _ := core.ParseAdapterVersion(value)
			if err := send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{Status: 200, Ran: ran}, Offset: offset}); err != nil {
				end.Outcome, end.Code = core.Ran, core.CodeStreamBroken
				return end
			}
		case "token":
			offset++
			if err := send(core.Chunk{Attempt: call.Attempt, Data: []byte(value + "\n\n"), Offset: offset}); err != nil {
				end.Outcome = core.Ran
				return end
			}
		case "late":
			_ = send(core.Chunk{Attempt: "another", Data: []byte(value + "\n\n"), Offset: offset + 1})
		case "data":
			_ = send(core.Chunk{Attempt: call.Attempt, Data: []byte(value)})
		case "crashed":
			end.Crashed, end.Incarnation = true, core.Incarnation(value)
		case "refused":
			end.Outcome, end.Code, end.Upstream = core.NotRun, core.RefusalCode(value), ""
		case "whole":
			end.Whole, end.Outcome, end.Code, end.Tokens = true, core.Ran, "", offset
		case "leave":
			world.gone = true
			world.cancel()
		}
	}
	return end
}

// Dispatcher returns the world for every VM.
func (world *world) Dispatcher(core.VMID) Dispatcher { return world }

// Owner returns an owner for every group.
func (world *world) Owner(core.GroupID) (core.VMID, bool) { return "vm-2", true }

// Groups returns one group in each of two zones.
func (world *world) Groups(kind core.GroupKind, name string) []core.GroupID {
	return []core.GroupID{{Zone: "a", Kind: kind, Name: name}, {Zone: "b", Kind: kind, Name: name}}
}

// Book returns a configuration with one plan.
func (world *world) Book() *admission.Book {
	return admission.NewBook(core.Config{
		Number: 1,
		Plans:  core.Plans{Plans: []core.Plan{{Plan: "p", Customer: "c", KeyHashes: []core.KeyHash{"key"}}}},
		Grants: core.Grants{Grants: []core.Grant{{
			Plan: "p", Adapters: []core.AdapterGrant{{Adapter: "x", Model: "m", Versions: []core.Version{"1"}}},
			Services: []core.ServiceGrant{{Service: "billing"}},
		}}},
	})
}

// ConfigAge is zero.
func (world *world) ConfigAge() time.Duration { return 0 }

// Claim applies the claim, or fails if the script says so.
func (world *world) Claim(_ context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	if world.script[0] == "no-quorum" {
		return ledger.ClaimResult{}, errors.New("no quorum")
	}
	result := *world.apply(ledger.Command{Claim: &claim}).Claim
	return result, nil
}

// Record applies the outcome.
func (world *world) Record(_ context.Context, record ledger.Record) error {
	world.apply(ledger.Command{Record: &record})
	world.note("recorded %s answer=%t\n", record.Outcome, record.Answer != nil)
	return nil
}

func (world *world) apply(command ledger.Command) ledger.Result {
	world.index++
	command.At = int64(world.index)
	return world.state.Apply(world.index, command)
}

// Crashes returns what was reported.
func (world *world) Crashes(fingerprint core.Fingerprint) int { return world.crashes[fingerprint] }

// Report takes a crash into the replicated state after a second.
func (world *world) Report(ctx context.Context, report ledger.CrashReport) error {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	world.note("reported crash of %s\n", report.Incarnation)
	return nil
}

// Start notes the start of an attempt.
func (world *world) Start(context.Context, audit.Record) error {
	world.note("audit start\n")
	return nil
}

// End notes the end of an attempt.
func (world *world) End(record audit.Record) {
	line := fmt.Sprintf("audit %s whole=%t %s tokens=%d\n", record.Event, record.Whole, record.Outcome, record.Tokens)
	if record.Event == audit.EventRefused {
		world.refused = line
		return
	}
	world.note("%s", line)
}

// responder is the caller.
type responder struct{ world *world }

// Head counts the heads.
func (responder responder) Head(Answer) error {
	responder.world.replies++
	return nil
}

// Data collects the answer until the caller leaves.
func (responder responder) Data(data []byte) error {
	if responder.world.gone {
		return errors.New("the caller left")
	}
	responder.world.text.WriteString(strings.ReplaceAll(string(data), "\n\n", "."))
	return nil
}
