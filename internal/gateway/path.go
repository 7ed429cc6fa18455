package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/reach"
)

// pathChanges counts the changes of the path to the upstreams of a service.
var pathChanges = telemetry.NewCounterFamily("dandelionring_path_changes_total", "service", "state")

// path is the path of this VM to the upstreams of one service.
type path struct {
	reach.Service
	// probing is set while a goroutine probes the path.
	probing bool
	// reached ends when the path is lost, and is replaced then.
	reached context.Context
	lose    context.CancelFunc
}

// paths knows which services' upstreams this VM reaches, and probes those that it does not. The
// zero value probes nothing until start is called.
type paths struct {
	gateway *Gateway
	ctx     context.Context
	running sync.WaitGroup

	// lock has position 3 in the lock order. It guards services.
	lock     sync.Mutex
	services map[core.ServiceID]*path
}

// start enables the probes and returns a function that stops them.
func (paths *paths) start(gateway *Gateway) func() {
	ctx, cancel := context.WithCancel(context.Background())
	paths.gateway, paths.ctx, paths.services = gateway, ctx, make(map[core.ServiceID]*path)
	return func() {
		cancel()
		paths.running.Wait()
	}
}

// update applies a function to the path to a service, and starts to probe the path if it must be
// probed now.
func (paths *paths) update(service core.ServiceID, change func(*path)) {
	paths.lock.Lock()
	defer paths.lock.Unlock()
	current := paths.services[service]
	if current == nil {
		current = &path{}
		current.reached, current.lose = context.WithCancel(paths.ctx)
		paths.services[service] = current
	}
	before := current.State()
	change(current)
	if current.State() != before {
		paths.changed(service, current, before)
	}
	paths.startProbes(service, current)
}

// changed logs the change of a path. Connections that are being opened on one that is lost are
// given up, and the paths to other services come into doubt. The caller holds the lock.
func (paths *paths) changed(service core.ServiceID, current *path, before reach.State) {
	after := current.State()
	pathChanges.Inc(string(service), after.String())
	paths.gateway.options.Logger.Info("The path to the upstreams of a service changed.", "service", service, "before", before, "after", after)
	if after != reach.Cut {
		return
	}
	current.lose()
	current.reached, current.lose = context.WithCancel(paths.ctx)
	for name, other := range paths.services {
		if name != service {
			other.Doubt(clock.Now())
			paths.startProbes(name, other)
		}
	}
}

// startProbes starts to probe a path if it must be probed and is not yet. The caller holds the
// lock.
func (paths *paths) startProbes(service core.ServiceID, current *path) {
	if _, due := current.Probing(clock.Now()); due && !current.probing && paths.ctx.Err() == nil {
		current.probing = true
		paths.running.Go(func() { paths.probe(service) })
	}
}

// whileReached returns a context that ends with ctx and when the path to a service is lost, and a
// function that frees it.
func (paths *paths) whileReached(ctx context.Context, service core.ServiceID) (context.Context, func()) {
	var reached context.Context
	paths.update(service, func(path *path) { reached = path.reached })
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(reached, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// enter returns the state of the path for a request. leave must be called with the turn.
func (paths *paths) enter(service core.ServiceID) (state reach.State, turn reach.Turn) {
	paths.update(service, func(path *path) { state, turn = path.Enter() })
	return state, turn
}

// leave notes the end of a request.
func (paths *paths) leave(service core.ServiceID, turn reach.Turn) {
	paths.update(service, func(path *path) { path.Leave(turn) })
}

// answered notes that bytes of an upstream have arrived.
func (paths *paths) answered(service core.ServiceID) {
	paths.update(service, func(path *path) { path.Answered(clock.Now()) })
}

// opened notes that a connection was opened.
func (paths *paths) opened(service core.ServiceID) {
	paths.update(service, func(path *path) { path.Opened(clock.Now()) })
}

// failed notes that an upstream was not reached with a connection that was opened, or a request
// that was sent, at the time began.
func (paths *paths) failed(service core.ServiceID, upstream core.UpstreamID, kind reach.FailureKind, began time.Duration) {
	failure := reach.Failure{Upstream: upstream, Kind: kind, Began: began, Known: len(paths.gateway.options.Table.UsableUpstreams(service))}
	paths.update(service, func(path *path) { path.Failed(clock.Now(), failure) })
}

// failing reports whether this VM opens no connection to any upstream of a service. What it loses
// then shows nothing about one of them.
func (paths *paths) failing(service core.ServiceID) (failing bool) {
	paths.update(service, func(path *path) { failing = path.State() == reach.Cut || path.State() == reach.Kept })
	return failing
}

// dialFailure returns the kind of failure that an error of a new connection shows.
func dialFailure(err error) reach.FailureKind {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return reach.Refused
	}
	return reach.TimedOut
}

// showsLoss reports whether an error of an established connection shows that the upstream was
// not reached. One that sends a head too slowly is.
func showsLoss(err error) bool {
	return closedByUpstream(err) || errors.Is(err, syscall.ETIMEDOUT)
}

// probe opens connections to upstreams of a service, one after another, while the path to them
// is to be probed.
func (paths *paths) probe(service core.ServiceID) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait, due := paths.nextProbe(service)
		if !due {
			return
		}
		timer.Reset(wait)
		select {
		case <-paths.ctx.Done():
			return
		case <-timer.C:
		}
		paths.probeOnce(service)
	}
}

// nextProbe returns the time until the next probe. If there is none, it notes that the path is
// not probed any more and returns false.
func (paths *paths) nextProbe(service core.ServiceID) (wait time.Duration, due bool) {
	paths.lock.Lock()
	defer paths.lock.Unlock()
	current := paths.services[service]
	wait, due = current.Probing(clock.Now())
	if !due {
		current.probing = false
	}
	return wait, due
}

// probeOnce opens a connection to an upstream of a service and closes it.
func (paths *paths) probeOnce(service core.ServiceID) {
	table := paths.gateway.options.Table
	known := table.UsableUpstreams(service)
	var id core.UpstreamID
	paths.update(service, func(path *path) { id = path.Probe(clock.Now(), known) })
	selected, ok := table.Find(id)
	if !ok {
		return
	}
	began := clock.Now()
	key := h1.Key{Upstream: selected.Upstream, Born: selected.Born, Address: selected.Address}
	conn, err := paths.gateway.conns.Dial(paths.ctx, key)
	if err == nil {
		paths.gateway.conns.Drop(key, conn)
		paths.opened(service)
		return
	}
	if paths.ctx.Err() != nil {
		return
	}
	failure := reach.Failure{Upstream: id, Kind: dialFailure(err), Began: began, Known: len(known)}
	paths.update(service, func(path *path) { path.ProbeFailed(clock.Now(), failure) })
}
