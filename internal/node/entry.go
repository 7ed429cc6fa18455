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
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// EntrySettings describe an entry VM.
type EntrySettings struct {
	VM   core.VMID
	Zone core.ZoneID
	// CallerAddress and ReadyAddress are what it listens on.
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress serves counts; empty for none.
	MetricsAddress string
	// Seeds are the control VMs to begin with.
	Seeds   []core.VMID
	Secret  string
	Repeats retry.Limits
	// Grace is the time from the order to stop until the process is killed.
	Grace time.Duration
	// Reload returns the seeds of the present settings.
	Reload func() ([]core.VMID, error)
}

const (
	// rotationTime is the time for which a stopping VM still takes new connections: a
	// balancer that asks every second takes it out after two misses.
	rotationTime = 2500 * time.Millisecond
	// killMargin is left of the grace time for the end of the process.
	killMargin = 500 * time.Millisecond
	// trimInterval is the time between two looks at idle connections.
	trimInterval = time.Second
	// maxHeaderBytes bounds the head of a caller's request. It is wider than the
	// operators' limit, which is not known before the first route table.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the head of a call of the platform or an operator.
	headerTimeout = 5 * time.Second
)

// entry is a running entry VM.
type entry struct {
	settings EntrySettings
	logs     *logging.Logs
	logger   *log.Logger
	table    *fleet.Table
	gateway  *gateway.Gateway
	follower *fleet.Follower
	callers  callers
	stopping atomic.Bool
}

// RunEntry runs an entry VM until stop is closed, and then drains it. Each value of reload
// makes it read its settings again.
func RunEntry(settings EntrySettings, dialect gateway.Dialect, logs *logging.Logs, stop <-chan struct{}, reload <-chan struct{}) error {
	entry := &entry{settings: settings, logs: logs, logger: logs.Part("entry"), table: fleet.NewTable(settings.Zone)}
	telemetry.Gauge("dandelionring_routes_number", func() float64 { return float64(entry.table.Number()) })
	defer telemetry.Serve(settings.MetricsAddress, entry.logger)()
	identity := peer.Identity{VM: settings.VM, Zone: settings.Zone, Incarnation: core.Incarnation(ulid.Make().String()), Secret: []byte(settings.Secret)}
	calls, closeCalls := peer.NewClient(identity, nil, logs.Part("peer"))
	defer closeCalls()
	records, closeRecords := entryRecords(settings, identity, calls, logs.Part("audit"))
	defer closeRecords()
	follower, closeFollower := fleet.Follow(fleet.Parts{
		VM: settings.VM, Zone: settings.Zone, Seeds: settings.Seeds, Table: entry.table, Calls: calls,
		Changed: entry.setLimits, Controls: func(controls []fleet.ControlVM) { records.SetMembers(recordMembers(controls)) }, Logger: logs.Part("fleet"),
	})
	defer closeFollower()
	entry.follower = follower
	gateway, closeGateway := gateway.New(gateway.Parts{
		Table: entry.table, Placer: follower, Dialect: dialect, Repeats: settings.Repeats,
		Recorder: records, Logger: logs.Part("gateway"),
	})
	defer closeGateway()
	entry.gateway = gateway
	return entry.serve(stop, reload)
}

func (entry *entry) setLimits(routes core.RouteTable) {
	entry.callers.setLimits(routes.Limits)
}

func (entry *entry) serve(stop, reload <-chan struct{}) error {
	callers, err := listen(entry.settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := listen(entry.settings.ReadyAddress)
	if err != nil {
		callers.Close()
		return err
	}
	server := &http.Server{
		Handler: entry.callers.closing(entry.gateway), ReadHeaderTimeout: longestLimit, IdleTimeout: longestLimit, MaxHeaderBytes: maxHeaderBytes,
		ConnState: followPhase, ErrorLog: entry.logs.Standard("callers"),
	}
	probes := &http.Server{Handler: http.HandlerFunc(entry.answerReady), ReadHeaderTimeout: headerTimeout, ErrorLog: entry.logs.Standard("ready")}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(callerListener{callers, &entry.callers}) }()
	go func() { failed <- probes.Serve(ready) }()
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
			entry.gateway.Trim(now)
		case <-stop:
			return entry.drain(server)
		}
	}
}

func (entry *entry) reload() {
	seeds, err := entry.settings.Reload()
	if err != nil {
		entry.logger.Error("The settings were not read again.", "error", err)
		return
	}
	entry.logger.Info("The settings were read again.", "seeds", len(seeds))
	entry.follower.AddSeeds(seeds)
}

// answerReady tells the balancer whether to send callers here.
func (entry *entry) answerReady(writer http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if entry.stopping.Load() || entry.table.Number() == 0 {
		status = http.StatusServiceUnavailable
	}
	writer.WriteHeader(status)
}

// drain ends the VM: not ready at once, new connections for as long as the balancer may
// send them, and then every answer to its end.
func (entry *entry) drain(server *http.Server) error {
	began := time.Now()
	entry.stopping.Store(true)
	entry.logger.Info("Stopping.", "grace", entry.settings.Grace)
	entry.callers.stop()
	rotation := time.NewTimer(min(rotationTime, entry.settings.Grace/2))
	defer rotation.Stop()
	<-rotation.C
	entry.callers.end()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(entry.settings.Grace-killMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		entry.logger.Warn("Answers were cut off at the end of the grace time.", "error", err)
		return nil
	}
	entry.logger.Info("Stopped.", "took", time.Since(began))
	return nil
}

// listen opens a listener whose connections find a silent peer.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control:         h1.Harden,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return listener, nil
}
