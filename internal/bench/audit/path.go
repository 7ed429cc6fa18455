package audit

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/caller"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/upstream"
	auditlog "github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	benchKey = "bench-key"
	// answerTokens is the length of each answer.
	answerTokens = 32
	// engines is the number of deployment 1. With one engine, more calls run at once
	// than the client keeps idle connections for (64), and the measured cost is that of
	// new connections.
	engines = 20
)

// recorder is what entry asks of an audit log.
type recorder interface {
	Start(ctx context.Context, record auditlog.Record) error
	End(record auditlog.Record)
}

// state answers for the replicated state: one plan, one adapter, one group.
type state struct{ book *admission.Book }

// Book returns the one configuration.
func (state state) Book() *admission.Book { return state.book }

// ConfigAge is zero.
func (state) ConfigAge() time.Duration { return 0 }

// Owner returns the one VM.
func (state) Owner(core.GroupID) (core.VMID, bool) { return "vm-1", true }

// Groups returns the one group.
func (state) Groups(kind core.GroupKind, name string) []core.GroupID {
	return []core.GroupID{{Zone: "a", Kind: kind, Name: name}}
}

// Claim is not used by model requests.
func (state) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{}, errors.New("no claims")
}

// Record is not used by model requests.
func (state) Record(context.Context, ledger.Record) error { return nil }

// Crashes returns zero.
func (state) Crashes(core.Fingerprint) int { return 0 }

// Ready returns true.
func (state) Ready() bool { return true }

// direct sends the calls to the engines in turn. It stands in for the owner's tables, so
// that the measured path is short and the share of the audit log large.
type direct struct {
	client    *upstream.Client
	addresses []string
	turn      *atomic.Uint64
}

// Dispatcher returns the one dispatcher.
func (direct direct) Dispatcher(core.VMID) entry.Dispatcher { return direct }

// Serve runs the call at the engine.
func (direct direct) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	address := direct.addresses[direct.turn.Add(1)%uint64(len(direct.addresses))]
	tokens, err := direct.client.Run(ctx, address, call, 1, send)
	if err != nil {
		return core.End{Attempt: call.Attempt, Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Message: err.Error()}
	}
	return core.End{Attempt: call.Attempt, Whole: true, Outcome: core.Ran, Tokens: tokens, Upstream: "engine"}
}

// serveEngine answers every request at once with a stream of tokens.
func serveEngine(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Engine", "engine")
	header.Set("X-Incarnation", "i1")
	header.Set("X-Adapter", request.Header.Get("X-Adapter"))
	header.Set("X-Version", request.Header.Get("X-Version"))
	_, _ = io.WriteString(writer, engineAnswer)
}

var engineAnswer = strings.Repeat(`data: {"choices":[{"index":0,"delta":{"content":"word "}}]}`+"\n\n", answerTokens) + "data: [DONE]\n\n"

// newPath starts the callers' interface, the entry and the engines, and returns the
// address for callers.
func newPath(recorder recorder) (string, func()) {
	client, closeClient := upstream.NewClient()
	addresses, closeEngines := startEngines()
	state := state{admission.NewBook(benchConfig())}
	requests := entry.New(entry.Parts{
		VM: "vm-1", Zone: "a", Incarnation: "i1", DefaultDeadline: 10 * time.Second, ClaimHold: time.Minute,
		Books: state, Directory: state, Claims: state, Suspects: state, Recorder: recorder, Logger: silent(),
		Dispatchers: direct{client, addresses, new(atomic.Uint64)},
	})
	server := httptest.NewServer(caller.New(requests, state, 1<<20).Router())
	return server.URL, func() {
		server.Close()
		closeClient()
		closeEngines()
	}
}

func startEngines() (addresses []string, closeAll func()) {
	servers := make([]*httptest.Server, engines)
	for i := range servers {
		servers[i] = httptest.NewServer(http.HandlerFunc(serveEngine))
		addresses = append(addresses, strings.TrimPrefix(servers[i].URL, "http://"))
	}
	return addresses, func() {
		for _, server := range servers {
			server.Close()
		}
	}
}

func benchConfig() core.Config {
	return core.Config{
		Number: 1, Hash: strings.Repeat("0", 64),
		Plans:  core.Plans{Plans: []core.Plan{{Plan: "gold", Customer: "customer", KeyHashes: []core.KeyHash{settings.HashToken(benchKey)}}}},
		Grants: core.Grants{Grants: []core.Grant{{Plan: "gold", Adapters: []core.AdapterGrant{{Adapter: "summary", Model: "base", Versions: []core.Version{"1"}}}}}},
	}
}
