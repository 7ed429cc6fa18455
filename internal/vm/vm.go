package vm

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/internal/caller"
	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/session"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// claimHold is the time after which a claim without an outcome counts as unknown. It is
// longer than any call may run.
const claimHold = 10 * time.Minute

// minWorkers is the least number of workers. Orders to engines occupy a worker while
// they wait, up to the 5 s of a load that is not answered, and ticks must not wait for
// them.
const minWorkers = 32

// vm is one running entry VM.
type vm struct {
	settings settings.Settings
	logs     *logging.Logs
	logger   *log.Logger
	self     peer.Identity
	open     listeners
	closers  cleanUp

	client   *peer.Client
	jobs     *pool.Pool
	durable  durable
	session  *session.Session
	owner    *dispatch.Owner
	entry    *entry.Entry
	registry registry
	// forwarding serves the calls of other entry VMs.
	forwarding *forwarding

	// ready is false before the VM can serve and while it drains.
	ready atomic.Bool
}

// Ready reports whether the VM takes new requests.
func (vm *vm) Ready() bool { return vm.ready.Load() }

// Run runs a VM until the context ends, and then drains it. It prints the addresses on
// which the VM listens as one JSON line on standard output.
func Run(ctx context.Context, settings settings.Settings) error {
	vm := &vm{settings: settings}
	defer vm.closers.run()
	if err := vm.build(); err != nil {
		return err
	}
	return vm.serve(ctx)
}

func (vm *vm) build() error {
	logs, err := logging.New(os.Stderr, vm.settings.LogLevel, vm.settings.SharedSecret, vm.settings.UpstreamToken)
	if err != nil {
		return err
	}
	vm.logs, vm.logger = logs, logs.Part("vm")
	open, closeListeners, err := listen(vm.settings)
	if err != nil {
		return err
	}
	vm.open = open
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
	client, closeClient := peer.NewClient(vm.self, peerAddresses(vm.settings), logs.Part("peer"))
	vm.client = client
	vm.closers.add(closeClient)
	durable, closeDurable, err := openDurable(vm.settings, vm.self, client, logs)
	if err != nil {
		return err
	}
	vm.durable = durable
	vm.closers.add(closeDurable)
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
	jobs, closeJobs := pool.New(max(vm.settings.Workers, minWorkers), 0)
	vm.jobs = jobs
	vm.closers.add(closeJobs)
	vm.session = vm.newSession()
	vm.owner = dispatch.New(vm.session, upstreams, vm.jobs, vm.schedulerConfig(), vm.logs.Part("dispatch"))
	vm.registry = registry{self: vm.settings.VM, owners: vm.session, owner: vm.owner, client: vm.client}
	vm.forwarding = &forwarding{owner: vm.owner, incarnation: vm.self.Incarnation}
	vm.entry = entry.New(entry.Parts{
		VM:              vm.settings.VM,
		Zone:            vm.settings.Zone,
		Incarnation:     vm.self.Incarnation,
		DefaultDeadline: vm.settings.DefaultDeadlineMillis.Duration(),
		ClaimHold:       claimHold,
		Books:           vm.session,
		Directory:       vm.session,
		Dispatchers:     dispatchers{self: vm.settings.VM, owner: vm.owner, client: vm.client},
		Claims:          vm.durable.commands,
		Suspects:        vm.session,
		Crashes:         vm.session,
		Conviction:      vm.settings.ConvictionSeconds.Duration(),
		Recorder:        vm.durable.auditor,
		Logger:          vm.logs.Part("entry"),
	})
}

// serve answers until the context ends, and then drains.
func (vm *vm) serve(ctx context.Context) error {
	handler := handler{
		forwarding: vm.forwarding,
		registry:   vm.registry,
		session:    vm.session,
		auditor:    vm.durable.auditor,
		archive:    vm.durable.archive,
		info:       info{vm: vm},
		host:       vm.durable.host,
	}
	closePeers := peer.Serve(vm.open.peer, vm.self, handler, vm.logs.Part("peer"))
	vm.closers.add(closePeers)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	vm.background(background)
	servers, err := vm.serveHTTP()
	if err != nil {
		return err
	}
	vm.ready.Store(true)
	if err := vm.open.addresses(vm.settings.VM).print(os.Stdout); err != nil {
		return err
	}
	vm.logger.Info("Serving.", "vm", vm.settings.VM, "zone", vm.settings.Zone)
	<-ctx.Done()
	return vm.drain(servers)
}

// servers are the functions that shut the HTTP servers down.
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
	operators := operator.New(operator.Parts{
		TokenHashes:    vm.settings.OperatorTokenHashes,
		Lists:          vm.durable.commands,
		NotAccepted:    []error{host.ErrNotCommitted, host.ErrNoQuorum},
		Configurations: vm.durable.archive,
		Statuses:       status{vm: vm},
		Levels:         vm.logs,
		Logger:         vm.logs.Part("operator"),
	})
	return servers{
		callers:   serveHTTP(vm.open.caller, callerTLS, caller.New(vm.entry, vm, vm.settings.MaxBodyBytes).Router()),
		operators: serveHTTP(vm.open.operator, operatorTLS, operators),
		upstreams: serveHTTP(vm.open.upstream, nil, upstream.NewHandler(vm.settings.UpstreamToken, vm.registry)),
	}, nil
}
