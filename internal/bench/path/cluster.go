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
	key               = "key"
	// adapterName is resident, so that no load is measured.
	adapterName = "adapter"
)

// cluster holds two VMs of one zone, their engine and a bare proxy. The first VM owns
// the group.
type cluster struct {
	closers []func()
	// owner, forwarded and bare are the addresses of the three ways to the engine.
	owner, forwarded, bare string
}

func (cluster *cluster) close() {
	for i := len(cluster.closers) - 1; i >= 0; i-- {
		cluster.closers[i]()
	}
}

func (cluster *cluster) later(closer func()) {
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
	if cluster.bare, err = cluster.serve(proxy); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "dandelionring-path")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	cluster.later(func() { os.RemoveAll(folder) })
	listeners := make(map[core.VMID]net.Listener)
	addresses := make(map[core.VMID]string)
	for _, name := range []core.VMID{ownerVM, entryVM} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		listeners[name], addresses[name] = listener, listener.Addr().String()
	}
	if cluster.owner, err = cluster.vm(ownerVM, folder, engine, listeners[ownerVM], addresses); err != nil {
		return err
	}
	cluster.forwarded, err = cluster.vm(entryVM, folder, engine, listeners[entryVM], addresses)
	return err
}

// serve starts an HTTP server on a free port.
func (cluster *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	cluster.later(func() { server.Close() })
	return listener.Addr().String(), nil
}

// vm starts the request path of one VM and returns its address for callers.
func (cluster *cluster) vm(name core.VMID, folder, engine string, listener net.Listener, addresses map[core.VMID]string) (string, error) {
	logger := log.New(io.Discard)
	self := peer.Identity{VM: name, Zone: zone, Incarnation: "run-1", Secret: []byte("secret")}
	client, closeClient := peer.NewClient(self, addresses, logger)
	cluster.later(closeClient)
	store, closeStore, err := audit.Open(filepath.Join(folder, string(name)), audit.Options{VM: name})
	if err != nil {
		return "", errors.Wrap(err, "open audit log")
	}
	cluster.later(closeStore)
	members := []auditor.Member{{VM: ownerVM, Zone: zone, Disk: true}, {VM: entryVM, Zone: zone, Disk: true}}
	recorder, closeRecorder := auditor.New(auditor.Options{
		Self: auditor.Member{VM: name, Zone: zone, Disk: true}, Incarnation: "run-1", Members: members,
		Store: store, Caller: client, Logger: logger,
	})
	cluster.later(closeRecorder)
	upstreams, closeUpstreams := upstream.NewClient()
	cluster.later(closeUpstreams)
	state := fixed{self: name, book: newBook()}
	jobs, closeJobs := pool.New(0, 0)
	cluster.later(closeJobs)
	owner := dispatch.New(state, upstreams, jobs, scheduler.Config{}, logger)
	owner.Announce(announcement(engine))
	cluster.later(keepAnnouncing(owner, engine))
	cluster.later(peer.Serve(listener, self, handler{owner: owner, recorder: recorder}, logger))
	requests := entry.New(entry.Parts{
		VM: name, Zone: zone, Incarnation: "run-1", DefaultDeadline: 10 * time.Second, ClaimHold: time.Minute,
		Books: state, Directory: state, Dispatchers: dispatchers{self: name, owner: owner, client: client},
		Claims: state, Suspects: state, Recorder: recorder, Logger: logger,
	})
	return cluster.serve(caller.New(requests, state, 1<<20).Router())
}

func announcement(engine string) core.Announcement {
	return core.Announcement{
		Upstream: "engine-1", Incarnation: "run-1", Group: group(), Address: engine, Resumes: true, Slots: 4, BatchSize: 1024,
		Resident: []core.Resident{{AdapterVersion: core.AdapterVersion{Adapter: adapterName, Version: "1"}}},
	}
}

// keepAnnouncing renews the lease of the engine.
func keepAnnouncing(owner *dispatch.Owner, engine string) (stop func()) {
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

// handler answers forwarded calls and audit batches.
type handler struct {
	owner    *dispatch.Owner
	recorder *auditor.Auditor
}

// Handle answers a request of the other VM.
func (handler handler) Handle(ctx context.Context, _ core.VMID, request *wire.Request, send func(*wire.Response) error) {
	if batch := request.GetAudit(); batch != nil {
		_ = send(&wire.Response{Body: &wire.Response_AuditResult{AuditResult: handler.recorder.Receive(ctx, batch)}})
		return
	}
	end := handler.owner.Serve(ctx, peer.CallOf(request.GetForward()), func(chunk core.Chunk) error {
		return send(&wire.Response{Body: &wire.Response_Chunk{Chunk: peer.ChunkMessage(chunk)}})
	})
	_ = send(&wire.Response{Body: &wire.Response_End{End: peer.EndMessage(end)}})
}

// dispatchers leads to the owner in this process or over a peer link.
type dispatchers struct {
	self   core.VMID
	owner  *dispatch.Owner
	client *peer.Client
}

// Dispatcher returns the dispatcher of a VM.
func (dispatchers dispatchers) Dispatcher(vm core.VMID) entry.Dispatcher {
	if vm == dispatchers.self {
		return dispatchers.owner
	}
	return dispatchers.client.Dispatcher(vm)
}

// fixed is the replicated state of a cluster in which nothing changes.
type fixed struct {
	self core.VMID
	book *admission.Book
}

// Book returns the lists.
func (fixed fixed) Book() *admission.Book { return fixed.book }

// ConfigAge is zero.
func (fixed fixed) ConfigAge() time.Duration { return 0 }

// Owner returns the owner.
func (fixed fixed) Owner(core.GroupID) (core.VMID, bool) { return ownerVM, true }

// Groups returns the only group.
func (fixed fixed) Groups(core.GroupKind, string) []core.GroupID { return []core.GroupID{group()} }

// Lease is held by the owner.
func (fixed fixed) Lease(core.GroupID) (core.FencingToken, time.Time, bool) {
	return 1 << ledger.FencingShift, time.Now().Add(time.Second), fixed.self == ownerVM
}

// Crashes is zero.
func (fixed fixed) Crashes(core.Fingerprint) int { return 0 }

// Ready is true.
func (fixed fixed) Ready() bool { return true }

// Claim is not used by model requests.
func (fixed fixed) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{}, errors.New("no claims in this cluster")
}

// Record is not used by model requests.
func (fixed fixed) Record(context.Context, ledger.Record) error {
	return errors.New("no claims in this cluster")
}
