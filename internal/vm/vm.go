package vm

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"
	"golang.org/x/sys/unix"

	"github.com/dandelionring/dandelionring/internal/caller"
	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/session"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/intake"
)

// claimTimeout is the time after which a claim without a recorded outcome counts as
// unknown. It is longer than the longest permitted call.
const claimTimeout = 10 * time.Minute

// minWorkers is the minimum number of workers. A command to an engine occupies a worker
// until the engine answers, for up to 5 s in the case of an unanswered load, and timer
// jobs must not be delayed by these commands.
const minWorkers = 32

// vm is one running entry VM.
type vm struct {
	settings  settings.Settings
	loggers   *logging.LoggerSet
	logger    *log.Logger
	self      peer.Identity
	listeners listeners
	guard     *guard.Guard
	closers   cleanUp

	client   *peer.Client
	workers  *pool.Pool
	storage  storage
	session  *session.Session
	owner    *dispatch.Owner
	entry    *entry.Entry
	registry registry
	// forwarding runs the calls that other entry VMs forward to this VM.
	forwarding *forwardServer

	// ready is false until the VM can serve requests, and again while it drains.
	ready atomic.Bool
}

// Ready reports whether the VM accepts new requests.
func (vm *vm) Ready() bool { return vm.ready.Load() }

// Run runs a VM until the context ends, and then drains it. It writes the listen
// addresses as one line of JSON to standard output. It returns an error if the VM cannot
// be built or its servers cannot be started.
func Run(ctx context.Context, settings settings.Settings) error {
	limits, err := clientLimits(settings)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(settings.MemoryBytes)))
	}
	vm := &vm{settings: settings, guard: &guard.Guard{Limits: limits}}
	defer vm.closers.run()
	if err := vm.build(); err != nil {
		return err
	}
	return vm.serve(ctx)
}

const (
	// upstreamBodies bounds the announcements and cache events that are held at the same time,
	// apart from the bodies of callers: upstreams must be heard while callers fill theirs.
	upstreamBodies core.Bytes = 8 << 20
	// upstreamBodyTime is the time after which an announcement is too late: it is sent every
	// second.
	upstreamBodyTime = 3 * time.Second
)

const (
	// softMemoryShare is the part of the memory of the process above which the garbage collector
	// runs more often. The rest is for data in socket buffers.
	softMemoryShare = 0.6
	// mostConnections is the largest number of connections without a setting. They take up to
	// 96 MB.
	mostConnections = 4096
	// descriptorEighths is the part of the descriptors of the process, in eighths, for
	// connections without a setting; upstreams may need as many.
	descriptorEighths = 3
)

// clientLimits returns the limits of what clients hold. Without a setting for connections they
// may use three eighths of the descriptors of the process.
func clientLimits(settings settings.Settings) (intake.Limits, error) {
	limits := intake.Limits{
		Connections: settings.MaxConnections, HeadFields: settings.MaxHeadFields, Heads: settings.MaxHeadsBytes,
		Bodies: settings.MaxBodiesBytes, Stall: settings.ClientStallSeconds.Duration(),
	}
	if limits.Connections == 0 {
		var descriptors unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err != nil {
			return limits, errors.Wrap(err, "read the limit of descriptors")
		}
		limits.Connections = int(min(descriptors.Cur/8*descriptorEighths, mostConnections))
	}
	return limits, nil
}

func (vm *vm) build() error {
	loggers, err := logging.New(os.Stderr, vm.settings.LogLevel, vm.settings.SharedSecret, vm.settings.UpstreamToken)
	if err != nil {
		return err
	}
	vm.loggers, vm.logger = loggers, loggers.Logger("vm")
	vm.closers.add(vm.guard.Watch(vm.logger))
	vm.guard.Register()
	opened, closeListeners, err := listen(vm.settings)
	if err != nil {
		return err
	}
	vm.listeners = opened
	vm.closers.add(closeListeners)
	peerTLS, err := vm.settings.PeerTLS.Peer()
	if err != nil {
		return err
	}
	vm.self = peer.Identity{
		VM:          vm.settings.VM,
		Zone:        vm.settings.Zone,
		Incarnation: core.Incarnation(ulid.Make().String()),
		Secret:      []byte(vm.settings.SharedSecret),
		TLS:         peerTLS,
	}
	client, closeClient := peer.NewClient(vm.self, peerAddresses(vm.settings), loggers.Logger("peer"))
	vm.client = client
	vm.closers.add(closeClient)
	storage, closeStorage, err := openStorage(vm.settings, vm.self, client, loggers)
	if err != nil {
		return err
	}
	vm.storage = storage
	vm.closers.add(closeStorage)
	vm.buildServing()
	return nil
}

func peerAddresses(settings settings.Settings) map[core.VMID]string {
	addresses := make(map[core.VMID]string)
	for _, member := range settings.Others() {
		addresses[member.VM] = member.Address
	}
	return addresses
}

func (vm *vm) buildServing() {
	upstreams, closeUpstreams := upstream.NewClient()
	vm.closers.add(closeUpstreams)
	workers, closeWorkers := pool.New(max(vm.settings.Workers, minWorkers), 0)
	vm.workers = workers
	vm.closers.add(closeWorkers)
	vm.session = vm.newSession()
	vm.owner = dispatch.New(vm.session, upstreams, vm.workers, vm.schedulerConfig(), vm.loggers.Logger("dispatch"))
	vm.registry = registry{self: vm.settings.VM, directory: vm.session, owner: vm.owner, client: vm.client}
	vm.forwarding = &forwardServer{owner: vm.owner, incarnation: vm.self.Incarnation}
	vm.entry = entry.New(entry.Options{
		VM:              vm.settings.VM,
		Zone:            vm.settings.Zone,
		Incarnation:     vm.self.Incarnation,
		DefaultDeadline: vm.settings.DefaultDeadlineMillis.Duration(),
		ClaimHold:       claimTimeout,
		Books:           vm.session,
		Directory:       vm.session,
		Dispatchers:     dispatchers{self: vm.settings.VM, owner: vm.owner, client: vm.client},
		Claims:          vm.storage.commands,
		Suspects:        vm.session,
		Crashes:         vm.session,
		Conviction:      vm.settings.ConvictionSeconds.Duration(),
		Recorder:        vm.storage.auditor,
		Logger:          vm.loggers.Logger("entry"),
	})
}

// serve handles requests until the context ends, and then drains the VM.
func (vm *vm) serve(ctx context.Context) error {
	handler := handler{
		forwarding:  vm.forwarding,
		registry:    vm.registry,
		session:     vm.session,
		auditor:     vm.storage.auditor,
		archive:     vm.storage.archive,
		auditFolder: vm.storage.auditFolder,
		info:        infoHandler{vm: vm},
		host:        vm.storage.host,
	}
	closePeers := peer.Serve(vm.guard.Listen(vm.listeners.peer, intake.Peers, false), vm.self, handler, vm.loggers.Logger("peer"))
	vm.closers.add(closePeers)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	vm.startBackground(background)
	servers, err := vm.serveHTTP()
	if err != nil {
		return err
	}
	vm.ready.Store(true)
	if err := vm.listeners.addresses(vm.settings.VM).writeJSON(os.Stdout); err != nil {
		return err
	}
	vm.logger.Info("Serving.", "vm", vm.settings.VM, "zone", vm.settings.Zone)
	<-ctx.Done()
	return vm.drain(servers)
}

// servers holds the shutdown functions of the HTTP servers.
type servers struct {
	callers, operators, upstreams func(context.Context) error
}

func (vm *vm) serveHTTP() (servers, error) {
	callerTLS, err := vm.settings.CallerTLS.Server()
	if err != nil {
		return servers{}, err
	}
	operatorTLS, err := vm.settings.OperatorTLS.Server()
	if err != nil {
		return servers{}, err
	}
	operators := operator.New(operator.Options{
		Guard:          vm.guard,
		MaxList:        vm.settings.MaxListBytes,
		TokenHashes:    vm.settings.OperatorTokenHashes,
		Lists:          vm.storage.commands,
		NotAccepted:    []error{host.ErrNotCommitted, host.ErrNoQuorum},
		Configurations: vm.storage.archive,
		Statuses:       status{vm: vm},
		Levels:         vm.loggers,
		Logger:         vm.loggers.Logger("operator"),
	})
	callers := caller.New(vm.entry, vm, vm.settings.MaxBodyBytes, &guard.Bodies{Guard: vm.guard, Memory: h1.Memory{Limit: vm.settings.MaxBodiesBytes}})
	serve := func(listener net.Listener, class intake.Class, certificates *tls.Config, handler http.Handler) func(context.Context) error {
		port := port{vm.guard, class, vm.settings.HeadSeconds.Duration(), vm.settings.IdleSeconds.Duration(), certificates}
		return port.serve(listener, handler)
	}
	return servers{
		callers:   serve(vm.listeners.caller, intake.Callers, callerTLS, callers.Router()),
		operators: serve(vm.listeners.operator, intake.Operators, operatorTLS, operators),
		upstreams: serve(vm.listeners.upstream, intake.Upstreams, nil, upstream.NewHandler(vm.settings.UpstreamToken, vm.registry, &guard.Bodies{Guard: vm.guard, Memory: h1.Memory{Limit: upstreamBodies}, Time: upstreamBodyTime})),
	}, nil
}
