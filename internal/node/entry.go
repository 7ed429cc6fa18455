package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/gateway"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/intake"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// EntrySettings configures an entry VM.
type EntrySettings struct {
	VM   core.VMID
	Zone core.ZoneID
	// CallerAddress and ReadyAddress are the addresses on which the VM listens.
	CallerAddress string
	ReadyAddress  string
	// HandoverAddress is the address on which the VM takes over requests of other entry VMs
	// that reach no upstream; empty if it does not.
	HandoverAddress string
	// MetricsAddress is the address that serves metrics; empty disables them.
	MetricsAddress string
	// Seeds are the initially known control VMs.
	Seeds  []core.VMID
	Secret string
	// Clients bounds what the clients of the process hold together.
	Clients intake.Limits
	// Repeats limits the sends after the first one of each request.
	Repeats retry.Limits
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Reload reads the settings again and returns their seeds.
	Reload func() ([]core.VMID, error)
}

const (
	// balancerRemovalTime is how long a stopping VM accepts new connections. A load
	// balancer that probes once per second removes the VM after two failed probes.
	balancerRemovalTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the exit of the
	// process.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the part of the grace time before exitMargin in which the last responses
	// are written.
	answerMargin = 500 * time.Millisecond
	// trimInterval is the time between two calls of CloseIdle, which closes idle connections.
	trimInterval = time.Second
	// maxHeaderBytes bounds the header of a caller's request. It is above the limit set
	// by the operators, which is not known before the first route table.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to receive the header of a request from the platform
	// or an operator.
	headerTimeout = 5 * time.Second
)

// entry is a running entry VM.
type entry struct {
	settings    EntrySettings
	loggers     *logging.LoggerSet
	logger      *log.Logger
	table       *fleet.Table
	gateway     *gateway.Gateway
	follower    *fleet.Follower
	guard       *guard.Guard
	callerConns callerConns
	// otherConns holds the connections of other entry VMs that hand requests over.
	otherConns callerConns
	stopping   atomic.Bool
}

// RunEntry runs an entry VM until stop is closed, and then drains it. Each value of reload
// makes it read its settings again. The error reports that a listener cannot be opened or
// that a server failed.
func RunEntry(settings EntrySettings, dialect gateway.Dialect, loggers *logging.LoggerSet, stop <-chan struct{}, reload <-chan struct{}) error {
	entry := &entry{settings: settings, loggers: loggers, logger: loggers.Logger("entry"), table: fleet.NewTable(settings.Zone), guard: &guard.Guard{Limits: settings.Clients}}
	defer entry.guard.Watch(entry.logger)()
	entry.guard.Register()
	telemetry.RegisterGauge("dandelionring_routes_number", func() float64 { return float64(entry.table.RoutesNumber()) })
	defer telemetry.Serve(settings.MetricsAddress, entry.guard.ServePlatform, entry.logger)()
	identity := peer.Identity{VM: settings.VM, Zone: settings.Zone, Incarnation: core.Incarnation(ulid.Make().String()), Secret: []byte(settings.Secret)}
	peerClient, closePeerClient := peer.NewClient(identity, nil, loggers.Logger("peer"))
	defer closePeerClient()
	records, closeRecords := newEntryAuditor(settings, identity, peerClient, loggers.Logger("audit"))
	defer closeRecords()
	follower, closeFollower := fleet.Follow(fleet.Options{
		VM: settings.VM, Zone: settings.Zone, Seeds: settings.Seeds, HandoverAddress: settings.HandoverAddress, Table: entry.table, Calls: peerClient,
		Changed: entry.setLimits, Controls: func(controls []fleet.ControlVM) { records.SetMembers(auditMembers(controls)) }, Logger: loggers.Logger("fleet"),
	})
	defer closeFollower()
	entry.follower = follower
	gateway, closeGateway := gateway.New(gateway.Options{
		Table: entry.table, Clients: entry.guard, Bodies: settings.Clients.WithDefaults().Bodies, Placer: follower, Dialect: dialect, Repeats: settings.Repeats,
		Recorder: records, Crashes: follower, Limits: follower, Quotas: follower, Origins: follower, Logger: loggers.Logger("gateway"),
	})
	defer closeGateway()
	entry.gateway = gateway
	return entry.serve(stop, reload)
}

// setLimits applies the limits for callers of a new route table.
func (entry *entry) setLimits(routes core.RouteTable) {
	entry.callerConns.setLimits(routes.Limits)
}

// serve serves callers and readiness probes until stop is closed, and then drains the VM.
func (entry *entry) serve(stop, reload <-chan struct{}) error {
	callersListener, err := listen(entry.settings.CallerAddress)
	if err != nil {
		return err
	}
	readyListener, err := listen(entry.settings.ReadyAddress)
	if err != nil {
		callersListener.Close()
		return err
	}
	handoverListener, err := entry.listenForOthers()
	if err != nil {
		callersListener.Close()
		readyListener.Close()
		return err
	}
	callersListener = entry.guard.Listen(callersListener, intake.Callers, true)
	if handoverListener != nil {
		handoverListener = entry.guard.Listen(handoverListener, intake.Peers, true)
	}
	callers := &accepting{listener: callersListener, conns: &entry.callerConns, server: entry.newServer(&entry.callerConns, entry.gateway, "callers")}
	others := &accepting{listener: handoverListener, conns: &entry.otherConns, server: entry.newServer(&entry.otherConns, entry.gateway.Takeover(), "handover")}
	probes := &http.Server{Handler: http.HandlerFunc(entry.serveReadiness), ErrorLog: entry.loggers.StandardLogger("ready")}
	failed := make(chan error, 3)
	go func() { failed <- callers.serve() }()
	go func() { failed <- entry.guard.ServePlatform(probes, readyListener) }()
	if handoverListener != nil {
		go func() { failed <- others.serve() }()
	}
	defer probes.Close()
	entry.logger.Info("Serving callers.", "vm", entry.settings.VM, "zone", entry.settings.Zone, "address", entry.settings.CallerAddress)
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return errors.Wrap(err, "serve")
		case <-reload:
			entry.reload()
		case now := <-ticker.C:
			entry.gateway.CloseIdle(now)
		case <-stop:
			return entry.drain(callers, others)
		}
	}
}

// reload reads the settings again and adds their seeds. On an error the seeds stay as they
// are.
func (entry *entry) reload() {
	seeds, err := entry.settings.Reload()
	if err != nil {
		entry.logger.Error("Failed to reload the settings.", "error", err)
		return
	}
	entry.logger.Info("Settings reloaded.", "seeds", len(seeds))
	entry.follower.AddSeeds(seeds)
}

// serveReadiness answers probes of the load balancer: 200 if the VM has routes and is not
// stopping, otherwise 503.
func (entry *entry) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if entry.stopping.Load() || entry.table.RoutesNumber() == 0 {
		status = http.StatusServiceUnavailable
	}
	writer.WriteHeader(status)
}

// drain stops the VM. It reports the VM as not ready immediately, accepts new connections
// while the load balancer may still send them, and then waits for all responses to end.
// Requests that are not answered shortly before the end of the grace time get a response that
// says whether they may have run. What is left at exitMargin before that end is cut off.
//
// The server is not shut down before that: net/http then closes connections on which it has
// just read the head of a request, without a response.
func (entry *entry) drain(callers, others *accepting) error {
	start := time.Now()
	entry.stopping.Store(true)
	entry.logger.Info("Stopping.", "grace", entry.settings.Grace)
	removed := min(balancerRemovalTime, entry.settings.Grace/2)
	defer entry.gateway.Stop(start.Add(removed), start.Add(max(removed, entry.settings.Grace-exitMargin-answerMargin)))()
	callers.conns.closeIdle()
	others.conns.closeIdle()
	timer := time.NewTimer(removed)
	defer timer.Stop()
	<-timer.C
	callers.close()
	others.close()
	cutOff := time.NewTimer(time.Until(start.Add(entry.settings.Grace - exitMargin)))
	defer cutOff.Stop()
	if callers.drained(cutOff.C) && others.drained(cutOff.C) {
		entry.logger.Info("Stopped.", "took", time.Since(start))
	} else {
		entry.logger.Warn("Responses were aborted at the end of the grace time.")
	}
	for _, accepting := range []*accepting{callers, others} {
		if err := accepting.server.Close(); err != nil {
			entry.logger.Debug("Failed to close a server.", "error", err)
		}
	}
	return nil
}

// listen returns a TCP listener whose connections detect an unreachable peer through
// keep-alive probes.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         h1.SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}
