package path

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/caller"
	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	ownerVM core.VMID = "vm-1"
	entryVM core.VMID = "vm-2"
	zone              = core.ZoneID("a")
	model             = "base-model"
	apiKey            = "key"
	// adapterName is resident on the engine, so that no adapter load is measured.
	adapterName = "adapter"
)

// cluster holds two VMs of one zone, their engine and a plain reverse proxy. ownerVM owns
// the engine group.
type cluster struct {
	closers []func()
	// owner, forwarded and proxy are the addresses of the three routes to the engine: the
	// VM that owns the group, the VM that forwards to the owner, and the plain proxy.
	owner, forwarded, proxy string
}

// close calls the registered functions in reverse order.
func (cluster *cluster) close() {
	for i := len(cluster.closers) - 1; i >= 0; i-- {
		cluster.closers[i]()
	}
}

// onClose registers a function that close calls.
func (cluster *cluster) onClose(closer func()) {
	cluster.closers = append(cluster.closers, closer)
}

func newCluster() (*cluster, error) {
	cluster := &cluster{}
	if err := cluster.open(); err != nil {
		cluster.close()
		return nil, err
	}
	return cluster, nil
}

func (cluster *cluster) open() error {
	engine, err := cluster.serve(newEngine())
	if err != nil {
		return err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engine})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: throughputCallers}
	if cluster.proxy, err = cluster.serve(proxy); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "dandelionring-path")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	cluster.onClose(func() { os.RemoveAll(folder) })
	listeners := make(map[core.VMID]net.Listener)
	addresses := make(map[core.VMID]string)
	for _, name := range []core.VMID{ownerVM, entryVM} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listeners[name], addresses[name] = listener, listener.Addr().String()
	}
	if cluster.owner, err = cluster.startVM(ownerVM, folder, engine, listeners[ownerVM], addresses); err != nil {
		return err
	}
	cluster.forwarded, err = cluster.startVM(entryVM, folder, engine, listeners[entryVM], addresses)
	return err
}

// serve starts an HTTP server on a free port and returns its address.
func (cluster *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	cluster.onClose(func() { server.Close() })
	return listener.Addr().String(), nil
}

// startVM starts the request path of one VM and returns the address for callers.
func (cluster *cluster) startVM(name core.VMID, folder, engine string, listener net.Listener, addresses map[core.VMID]string) (string, error) {
	logger := log.New(io.Discard)
	self := peer.Identity{VM: name, Zone: zone, Incarnation: "run-1", Secret: []byte("secret")}
	client, closeClient := peer.NewClient(self, addresses, logger)
	cluster.onClose(closeClient)
	store, closeStore, err := audit.Open(filepath.Join(folder, string(name)), audit.Options{VM: name})
	if err != nil {
		return "", errors.Wrap(err, "open audit log")
	}
	cluster.onClose(closeStore)
	members := []auditor.Member{{VM: ownerVM, Zone: zone, Disk: true}, {VM: entryVM, Zone: zone, Disk: true}}
	recorder, closeRecorder := auditor.New(auditor.Options{
		Self: auditor.Member{VM: name, Zone: zone, Disk: true}, Incarnation: "run-1", Members: members,
		Store: store, Caller: client, Logger: logger,
	})
	cluster.onClose(closeRecorder)
	upstreams, closeUpstreams := upstream.NewClient()
	cluster.onClose(closeUpstreams)
	state := fixedState{self: name, index: newIndex()}
	jobs, closeJobs := pool.New(0, 0)
	cluster.onClose(closeJobs)
	owner := dispatch.New(state, upstreams, jobs, scheduler.Config{}, logger)
	owner.Announce(announcement(engine))
	cluster.onClose(renewAnnouncement(owner, engine))
	cluster.onClose(peer.Serve(listener, self, peerHandler{owner: owner, recorder: recorder}, logger))
	requests := entry.New(entry.Options{
		VM: name, Zone: zone, Incarnation: "run-1", DefaultDeadline: 10 * time.Second, ClaimHold: time.Minute,
		Books: state, Directory: state, Dispatchers: dispatcherSet{self: name, owner: owner, client: client},
		Claims: state, Suspects: state, Recorder: recorder, Logger: logger,
	})
	return cluster.serve(caller.New(requests, state, 1<<20, &guard.Bodies{}).Router())
}

func announcement(engine string) core.Announcement {
	return core.Announcement{
		Upstream: "engine-1", Incarnation: "run-1", Group: group(), Address: engine, ChecksFencing: true, Resumes: true, Slots: 4, BatchSize: 1024,
		Resident: []core.Resident{{AdapterVersion: core.AdapterVersion{Adapter: adapterName, Version: "1"}}},
	}
}

// renewAnnouncement announces the engine every second, so that its lease does not expire,
// until stop is called.
func renewAnnouncement(owner *dispatch.Owner, engine string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ticker := time.NewTicker(time.Second)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				owner.Announce(announcement(engine))
			}
		}
	}()
	return cancel
}

func group() core.GroupID {
	return core.GroupID{Zone: zone, Kind: core.EngineGroup, Name: model}
}

// peerHandler handles the forwarded calls and audit batches from the other VM.
type peerHandler struct {
	owner    *dispatch.Owner
	recorder *auditor.Auditor
}

// Handle stores an audit batch or runs a forwarded call and sends its chunks and end.
func (handler peerHandler) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	if batch := request.GetAudit(); batch != nil {
		_ = send(&wire.Response{Body: &wire.Response_AuditResult{AuditResult: handler.recorder.Receive(ctx, batch)}})
		return
	}
	end := handler.owner.Serve(ctx, peer.CallFromMessage(request.GetForward()), func(chunk core.Chunk) error {
		return send(&wire.Response{Body: &wire.Response_Chunk{Chunk: peer.ChunkMessage(chunk)}})
	})
	_ = send(&wire.Response{Body: &wire.Response_End{End: peer.EndMessage(end)}})
}

// dispatcherSet returns the local owner for its own VM and a peer link for the other.
type dispatcherSet struct {
	self   core.VMID
	owner  *dispatch.Owner
	client *peer.Client
}

// Dispatcher returns the dispatcher for a VM.
func (set dispatcherSet) Dispatcher(vm core.VMID) entry.Dispatcher {
	if vm == set.self {
		return set.owner
	}
	return set.client.Dispatcher(vm)
}

// fixedState replaces the replicated state with a constant one.
type fixedState struct {
	self  core.VMID
	index *admission.Index
}

// Index returns the index of the fixed configuration.
func (state fixedState) Index() *admission.Index { return state.index }

// ConfigAge returns 0.
func (state fixedState) ConfigAge() time.Duration { return 0 }

// Owner returns ownerVM for every group.
func (state fixedState) Owner(core.GroupID) (core.VMID, bool) { return ownerVM, true }

// Groups returns the engine group for every kind and name.
func (state fixedState) Groups(core.GroupKind, string) []core.GroupID { return []core.GroupID{group()} }

// Lease returns a fencing token and an expiry one second ahead. It reports true on the
// owner and false on the other VM.
func (state fixedState) Lease(core.GroupID) (core.FencingToken, time.Time, bool) {
	return 1 << ledger.FencingShift, time.Now().Add(time.Second), state.self == ownerVM
}

// Crashes returns 0.
func (state fixedState) Crashes(core.Fingerprint) int { return 0 }

// Ready returns true.
func (state fixedState) Ready() bool { return true }

// Claim returns an error; model requests make no claims.
func (state fixedState) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{}, errors.New("no claims in this cluster")
}

// Record returns an error; model requests make no claims.
func (state fixedState) Record(context.Context, ledger.Record) error {
	return errors.New("no claims in this cluster")
}
