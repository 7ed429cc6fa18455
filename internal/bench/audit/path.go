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
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/upstream"
	auditlog "github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	benchKey = "bench-key"
	// answerTokens is the number of tokens in each response.
	answerTokens = 32
	// engineCount is the number of engines in deployment 1. With a single engine, more
	// calls run concurrently than the client keeps idle connections for (64), and the
	// cost of opening connections dominates the measurement.
	engineCount = 20
)

// recorder is the audit log interface that package entry requires.
type recorder interface {
	Start(ctx context.Context, record auditlog.Record) error
	End(record auditlog.Record)
}

// fixedState replaces the replicated state with one plan, one adapter and one group per
// name, all owned by vm-1.
type fixedState struct{ index *admission.Index }

// Index returns the index of the fixed configuration.
func (state fixedState) Index() *admission.Index { return state.index }

// ConfigAge returns 0.
func (fixedState) ConfigAge() time.Duration { return 0 }

// Owner returns vm-1 for every group.
func (fixedState) Owner(core.GroupID) (core.VMID, bool) { return "vm-1", true }

// Groups returns the group of the given kind and name in zone a.
func (fixedState) Groups(kind core.GroupKind, name string) []core.GroupID {
	return []core.GroupID{{Zone: "a", Kind: kind, Name: name}}
}

// Claim returns an error; model requests make no claims.
func (fixedState) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{}, errors.New("no claims")
}

// Record does nothing; model requests make no claims.
func (fixedState) Record(context.Context, ledger.Record) error { return nil }

// Crashes returns 0.
func (fixedState) Crashes(core.Fingerprint) int { return 0 }

// Ready returns true.
func (fixedState) Ready() bool { return true }

// directDispatcher sends calls to the engines in round-robin order. It replaces the
// scheduling tables of the group owner, so that the rest of the path is cheap and the
// audit log makes up a large share of the measured cost.
type directDispatcher struct {
	client    *upstream.Client
	addresses []string
	calls     *atomic.Uint64
}

// Dispatcher returns the receiver for every VM.
func (dispatcher directDispatcher) Dispatcher(core.VMID) entry.Dispatcher { return dispatcher }

// Serve runs the call on the next engine.
func (dispatcher directDispatcher) Serve(ctx context.Context, call core.Call, send func(core.Chunk) error) core.End {
	address := dispatcher.addresses[dispatcher.calls.Add(1)%uint64(len(dispatcher.addresses))]
	tokens, err := dispatcher.client.Run(ctx, address, call, 1, send)
	if err != nil {
		return core.End{Attempt: call.Attempt, Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Message: err.Error()}
	}
	return core.End{Attempt: call.Attempt, Whole: true, Outcome: core.Ran, Tokens: tokens, Upstream: "engine"}
}

// serveEngine responds to every request immediately with a complete token stream.
func serveEngine(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Attempt", request.Header.Get("X-Attempt"))
	header.Set("X-Engine", "engine")
	header.Set("X-Incarnation", "i1")
	header.Set("X-Adapter", request.Header.Get("X-Adapter"))
	header.Set("X-Version", request.Header.Get("X-Version"))
	_, _ = io.WriteString(writer, engineAnswer)
}

var engineAnswer = strings.Repeat(`data: {"choices":[{"index":0,"delta":{"content":"word "}}]}`+"\n\n", answerTokens) + "data: [DONE]\n\n"

// startRequestPath starts the engines, the entry and the HTTP server for callers. It
// returns the URL of that server and a function that stops everything.
func startRequestPath(recorder recorder) (string, func()) {
	client, closeClient := upstream.NewClient()
	addresses, closeEngines := startEngines()
	state := fixedState{admission.NewIndex(benchConfig())}
	requests := entry.New(entry.Options{
		VM: "vm-1", Zone: "a", Incarnation: "i1", DefaultDeadline: 10 * time.Second, ClaimHold: time.Minute,
		Books: state, Directory: state, Claims: state, Suspects: state, Recorder: recorder, Logger: discardLogger(),
		Dispatchers: directDispatcher{client, addresses, new(atomic.Uint64)},
	})
	server := httptest.NewServer(caller.New(requests, state, 1<<20, &guard.Bodies{}).Router())
	return server.URL, func() {
		server.Close()
		closeClient()
		closeEngines()
	}
}

func startEngines() (addresses []string, closeAll func()) {
	servers := make([]*httptest.Server, engineCount)
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
