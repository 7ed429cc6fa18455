package vm

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/internal/caller"
	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// readyState tells the platform's balancer whether this VM takes requests.
type readyState struct {
	open atomic.Bool
}

// Ready reports whether the VM takes new requests.
func (state *readyState) Ready() bool { return state.open.Load() }

type handler struct {
	forwarding forwarding
	registry   registry
	first      *first
}

// Handle answers a request of another VM.
func (handler handler) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	switch body := request.Body.(type) {
	case *wire.Request_Forward:
		handler.forwarding.forward(ctx, body.Forward, send)
	case *wire.Request_AttemptQuery:
		_ = send(&wire.Response{Body: &wire.Response_AttemptState{AttemptState: handler.forwarding.query(body.AttemptQuery)}})
	case *wire.Request_Announce:
		_ = send(&wire.Response{Body: &wire.Response_AnnounceResult{AnnounceResult: handler.registry.accept(body.Announce)}})
	case *wire.Request_ConfigFetch:
		_ = send(&wire.Response{Body: &wire.Response_ConfigDelta{ConfigDelta: &wire.ConfigDelta{Plans: [][]byte{handler.first.config()}}}})
	case *wire.Request_Propose:
		var command ledger.Command
		_ = json.Unmarshal(body.Propose.Command, &command)
		result, _ := json.Marshal(handler.first.apply(command))
		_ = send(&wire.Response{Body: &wire.Response_ProposeResult{ProposeResult: &wire.ProposeResult{Committed: true, Result: result}}})
	default:
		_ = peer.Fail(send, errors.New("unknown request"))
	}
}

// Run runs a VM until the context ends.
func Run(ctx context.Context, settings settings.Settings) error {
	logger := log.New(os.Stderr)
	opened, closeListeners, err := listen(settings)
	if err != nil {
		return err
	}
	defer closeListeners()
	self := peer.Identity{VM: settings.VM, Zone: settings.Zone, Incarnation: core.Incarnation(ulid.Make().String()), Secret: []byte(settings.SharedSecret)}
	peers := make(map[core.VMID]string)
	for _, member := range settings.Others() {
		peers[member.VM] = member.Address
	}
	client, closeClient := peer.NewClient(self, peers, logger)
	defer closeClient()
	upstreams, closeUpstreams := upstream.NewClient()
	defer closeUpstreams()
	state := newFirst(settings, client)
	owner := dispatch.New(state, upstreams, logger)
	registry := registry{self: settings.VM, owners: state, owner: owner, client: client}
	defer peer.Serve(opened.peer, self, handler{forwarding: forwarding{owner: owner, incarnation: self.Incarnation}, registry: registry, first: state}, logger)()
	go state.run(ctx)
	requests := entry.New(entry.Parts{
		VM: settings.VM, Zone: settings.Zone, Incarnation: self.Incarnation,
		DefaultDeadline: time.Duration(settings.DefaultDeadlineMillis) * time.Millisecond, ClaimHold: time.Minute,
		Books: state, Directory: state, Claims: state, Suspects: state, Recorder: state, Logger: logger,
		Dispatchers: dispatchers{self: settings.VM, owner: owner, client: client},
	})
	ready := &readyState{}
	ready.open.Store(true)
	stopCallers := serveHTTP(opened.caller, nil, caller.New(requests, ready, settings.MaxBodyBytes).Router())
	stopUpstreams := serveHTTP(opened.upstream, nil, upstream.NewHandler(settings.UpstreamToken, registry))
	stopOperators := serveHTTP(opened.operator, nil, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var command ledger.Command
		_ = json.NewDecoder(request.Body).Decode(&command)
		result, _ := state.propose(request.Context(), command)
		_ = json.NewEncoder(writer).Encode(result)
	}))
	if err := opened.addresses(settings.VM).print(os.Stdout); err != nil {
		return err
	}
	<-ctx.Done()
	ready.open.Store(false)
	for _, stop := range []func(context.Context) error{stopCallers, stopUpstreams, stopOperators} {
		_ = stop(context.Background())
	}
	return nil
}
