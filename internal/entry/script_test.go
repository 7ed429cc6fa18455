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

// fixture implements the interfaces that an Entry uses: the configuration, the owners
// of two groups, the replicated state, the audit log and the caller.
type fixture struct {
	entry *Entry
	// script holds the steps of the next attempts, one attempt per line.
	script []string
	// mutex guards events, since crash reports and outcomes are recorded on goroutines
	// of their own.
	mutex  sync.Mutex
	events strings.Builder
	// refusalRecord is the audit record of a refusal. It is printed after all other
	// events, because an outcome that another goroutine records may come before or
	// after it.
	refusalRecord string
	state         *ledger.State
	index         uint64
	crashes       map[core.Fingerprint]int
	cancel        context.CancelFunc
	callerLeft    bool
	text          strings.Builder
	heads         int
}

// TestScripts guards against an Entry that does not carry out the decisions of the
// lifecycle: attempts at the wrong group or offset, answers that are passed on twice,
// claims without a recorded outcome, and crashes that are not reported.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		fixture := newFixture()
		datadriven.RunTest(t, path, func(t *testing.T, line *datadriven.TestData) string {
			var output string
			synctest.Test(t, func(t *testing.T) { output = fixture.request(t, line) })
			return output
		})
	})
}

func newFixture() *fixture {
	fixture := &fixture{state: ledger.New(ledger.Limits{}), crashes: make(map[core.Fingerprint]int)}
	fixture.entry = New(Options{
		VM: "vm-1", Zone: "a", Incarnation: "run-1", DefaultDeadline: 5 * time.Second, ClaimHold: time.Minute,
		Books: fixture, Directory: fixture, Dispatchers: fixture, Claims: fixture, Suspects: fixture, Crashes: fixture,
		Recorder: fixture, Logger: log.New(io.Discard),
	})
	return fixture
}

func (fixture *fixture) request(t *testing.T, line *datadriven.TestData) string {
	fixture.script = strings.Split(line.Input, "\n")
	fixture.takeEvents()
	fixture.refusalRecord = ""
	fixture.text.Reset()
	fixture.callerLeft, fixture.heads = false, 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fixture.cancel = cancel
	request := Request{Key: "key", Wanted: core.AdapterVersion{Adapter: "x"}, Method: "POST", Path: "/v1/completions", Body: []byte(`{"prompt":"p"}`)}
	if line.Cmd == "call" {
		var key string
		line.ScanArgs(t, "key", &key)
		request = Request{Key: "key", Service: "billing", Method: "POST", Path: "/charge", Body: []byte("body"), IdempotencyKey: core.IdempotencyKey(key)}
	}
	end := fixture.entry.Serve(ctx, request, responder{fixture})
	synctest.Wait()
	fixture.record("%s", fixture.refusalRecord)
	fixture.record("caller: whole=%t %s %s heads=%d %q\n", end.Whole, end.Outcome, end.Code, fixture.heads, fixture.text.String())
	return fixture.takeEvents()
}

func (fixture *fixture) record(format string, values ...any) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	fmt.Fprintf(&fixture.events, format, values...)
}

// takeEvents returns the events since the last call and clears them.
func (fixture *fixture) takeEvents() string {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	defer fixture.events.Reset()
	return fixture.events.String()
}

// Serve carries out the next line of the script: "head" with the version that ran,
// "token" for each token that is passed on, and how the attempt ends.
func (fixture *fixture) Serve(_ context.Context, call core.Call, send func(core.Chunk) error) core.End {
	software := ""
	if call.ResumeOffset > 0 {
		software = fmt.Sprintf(" software=%s", call.Software)
	}
	fixture.record("attempt at %s offset=%d%s suspect=%t\n", call.Group, call.ResumeOffset, software, call.Suspect)
	if len(fixture.script) == 0 {
		return core.RefusedEnd(call.Attempt, core.NewRefusal(core.CodeNoUpstream, "the script has ended"))
	}
	words := strings.Fields(fixture.script[0])
	fixture.script = fixture.script[1:]
	end := core.End{Attempt: call.Attempt, Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Upstream: "engine-1"}
	offset := call.ResumeOffset
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "head":
			ran, _ := core.ParseAdapterVersion(value)
			if err := send(core.Chunk{Attempt: call.Attempt, Head: &core.Head{Status: 200, Ran: ran, Software: "s1"}, Offset: offset}); err != nil {
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
		case "disconnect":
			fixture.callerLeft = true
			fixture.cancel()
		}
	}
	return end
}

// Dispatcher returns the fixture for every VM.
func (fixture *fixture) Dispatcher(core.VMID) Dispatcher { return fixture }

// Owner returns the same owner for every group.
func (fixture *fixture) Owner(core.GroupID) (core.VMID, bool) { return "vm-2", true }

// Groups returns one group in each of two zones.
func (fixture *fixture) Groups(kind core.GroupKind, name string) []core.GroupID {
	return []core.GroupID{{Zone: "a", Kind: kind, Name: name}, {Zone: "b", Kind: kind, Name: name}}
}

// Index returns a configuration with one plan.
func (fixture *fixture) Index() *admission.Index {
	return admission.NewIndex(core.Config{
		Number: 1,
		Plans:  core.Plans{Plans: []core.Plan{{Plan: "p", Customer: "c", KeyHashes: []core.KeyHash{"key"}}}},
		Grants: core.Grants{Grants: []core.Grant{{
			Plan: "p", Adapters: []core.AdapterGrant{{Adapter: "x", Model: "m", Versions: []core.Version{"1"}}},
			Services: []core.ServiceGrant{{Service: "billing"}},
		}}},
	})
}

// ConfigAge returns zero.
func (fixture *fixture) ConfigAge() time.Duration { return 0 }

// Claim applies the claim to the state, or fails if the script says "no-quorum".
func (fixture *fixture) Claim(_ context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	if fixture.script[0] == "no-quorum" {
		return ledger.ClaimResult{}, errors.New("no quorum")
	}
	result := *fixture.apply(ledger.Command{Claim: &claim}).Claim
	return result, nil
}

// Record applies the outcome to the state and records the event.
func (fixture *fixture) Record(_ context.Context, record ledger.Record) error {
	fixture.apply(ledger.Command{Record: &record})
	fixture.record("recorded %s answer=%t\n", record.Outcome, record.Answer != nil)
	return nil
}

func (fixture *fixture) apply(command ledger.Command) ledger.Result {
	fixture.index++
	command.At = int64(fixture.index)
	return fixture.state.Apply(fixture.index, command)
}

// Crashes returns the number of crashes in the map crashes, which the scripts leave
// empty.
func (fixture *fixture) Crashes(fingerprint core.Fingerprint) int {
	return fixture.crashes[fingerprint]
}

// ReportCrash records the event one second later, or returns the error of the context.
func (fixture *fixture) ReportCrash(ctx context.Context, report ledger.CrashReport) error {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	fixture.record("reported crash of %s\n", report.Incarnation)
	return nil
}

// Start records the start of an attempt.
func (fixture *fixture) Start(context.Context, audit.Record) error {
	fixture.record("audit start\n")
	return nil
}

// End records the end of an attempt, and keeps the record of a refusal for later.
func (fixture *fixture) End(record audit.Record) {
	line := fmt.Sprintf("audit %s whole=%t %s tokens=%d\n", record.Event, record.Whole, record.Outcome, record.Tokens)
	if record.Event == audit.EventRefused {
		fixture.refusalRecord = line
		return
	}
	fixture.record("%s", line)
}

// responder is the caller.
type responder struct{ fixture *fixture }

// Head counts the heads.
func (responder responder) Head(Answer) error {
	responder.fixture.heads++
	return nil
}

// Data collects the answer until the caller leaves.
func (responder responder) Data(data []byte) error {
	if responder.fixture.callerLeft {
		return errors.New("the caller left")
	}
	responder.fixture.text.WriteString(strings.ReplaceAll(string(data), "\n\n", "."))
	return nil
}
