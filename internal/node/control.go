package node

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/dandelionring/dandelionring/internal/control"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/replication"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// ControlSettings configures a control VM.
type ControlSettings struct {
	VM   core.VMID
	Zone core.ZoneID
	// PeerAddress and OperatorAddress are the addresses on which the VM listens.
	PeerAddress     string
	OperatorAddress string
	// MetricsAddress is the address that serves metrics; empty disables them.
	MetricsAddress string
	// Seeds are the initially known control VMs. On the first start of a deployment they
	// form the initial replica group.
	Seeds []core.VMID
	// FirstStart is true when the deployment starts for the first time.
	FirstStart bool
	DataFolder string
	Secret     string
	// AuditBytes is the maximum size of the audit log on this VM's disk.
	AuditBytes core.Bytes
	// Voters is the number of voting replicas.
	Voters int
	// Zones is the number of availability zones of the deployment.
	Zones              int
	EnginesCheckTokens bool
	AnnounceInterval   time.Duration
	// Reload reads the settings again and returns their seeds.
	Reload func() ([]core.VMID, error)
}

const (
	// maxOrdersInFlight is the maximum number of concurrent orders to engines.
	maxOrdersInFlight = 24
	// stopTimeout bounds the wait for HTTP calls in progress when a control VM stops.
	stopTimeout = time.Second
	// maxCallHeaderBytes bounds the header of a call. The default of net/http is 1 MiB, which a
	// few hundred connections multiply to more than the memory of a VM.
	maxCallHeaderBytes = 16 << 10
	// operatorIdleTimeout is the time after which a connection without a call is closed.
	operatorIdleTimeout = time.Minute
)

// RunControl runs a control VM until stop is closed. Each value of reload makes it read its
// settings again. The handler that the function handler returns serves operators and
// upstreams. The error reports that the replicated state cannot be opened, that a listener
// cannot be opened, or that the server for operators failed.
func RunControl(settings ControlSettings, engines control.Engines, handler func(*control.Control) http.Handler, loggers *logging.LoggerSet, stop, reload <-chan struct{}) error {
	identity := peer.Identity{VM: settings.VM, Zone: settings.Zone, Incarnation: core.Incarnation(ulid.Make().String()), Secret: []byte(settings.Secret)}
	peerClient, closePeerClient := peer.NewClient(identity, nil, loggers.Logger("peer"))
	defer closePeerClient()
	peers := control.NewPeers(control.Peer{VM: settings.VM, Zone: settings.Zone, OperatorAddress: settings.OperatorAddress})
	transport, closeTransport := replication.NewTransport(peerClient)
	defer closeTransport()
	config := host.Config{
		VM: settings.VM, DiskVMs: settings.Seeds, Discover: peers.IDs, Zone: peers.Zone, Voters: settings.Voters,
		Restart: !settings.FirstStart, NoClaims: true, Refuse: peers.RefuseCommand, Directory: filepath.Join(settings.DataFolder, "shards"), Logger: loggers.Logger("replica"),
	}
	replicaCaller := replication.Caller{Client: peerClient}
	replicas, closeReplicas, err := host.New(config, transport, replicaCaller)
	if err != nil {
		return errors.Wrap(err, "open replicated state")
	}
	logger := loggers.Logger("control")
	records, closeRecords := newControlAuditor(settings, identity, peerClient, loggers.Logger("audit"))
	defer closeRecords()
	defer func() {
		if err := closeReplicas(); err != nil {
			logger.Warn("Failed to close the replicated state.", "error", err)
		}
	}()
	defer telemetry.Serve(settings.MetricsAddress, logger)()
	jobs, closeJobs := pool.New(maxOrdersInFlight, 0)
	defer closeJobs()
	node := control.New(control.Options{
		VM: settings.VM, Zone: settings.Zone, OperatorAddress: settings.OperatorAddress, Zones: settings.Zones,
		FirstStart: settings.FirstStart, EnginesCheckTokens: settings.EnginesCheckTokens, AnnounceInterval: settings.AnnounceInterval,
		RecallFile: filepath.Join(settings.DataFolder, "upstreams.json"), Host: replicas, Commands: host.NewClient(config, replicas, replicaCaller), Calls: peerClient, Engines: engines, Jobs: jobs, Records: records, RecordFolder: recordFolder(settings), Logger: logger,
	}, peers)
	peers.AddSeeds(settings.Seeds)
	return serveControl(settings, node, peers, identity, handler(node), loggers, stop, reload)
}

// serveControl serves peers, operators and upstreams until stop is closed.
func serveControl(settings ControlSettings, node *control.Control, peers *control.Peers, identity peer.Identity, handler http.Handler, loggers *logging.LoggerSet, stop, reload <-chan struct{}) error {
	peerListener, err := listen(settings.PeerAddress)
	if err != nil {
		return err
	}
	operatorListener, err := listen(settings.OperatorAddress)
	if err != nil {
		peerListener.Close()
		return err
	}
	closePeers := peer.Serve(peerListener, identity, node, loggers.Logger("peer"))
	defer closePeers()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: maxCallHeaderBytes,
		ErrorLog: loggers.StandardLogger("operators"),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(operatorListener) }()
	logger := loggers.Logger("control")
	logger.Info("Serving operators and upstreams.", "vm", settings.VM, "zone", settings.Zone, "address", settings.OperatorAddress, "first_start", settings.FirstStart)
	for running := true; running; {
		select {
		case err := <-failed:
			return errors.Wrap(err, "serve operators")
		case <-reload:
			seeds, err := settings.Reload()
			logger.Info("Settings reload finished.", "seeds", len(seeds), "error", err)
			peers.AddSeeds(seeds)
		case <-stop:
			running = false
		}
	}
	logger.Info("Stopping.")
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelShutdown()
	if err := server.Shutdown(shutdownCtx); err != nil {
		logger.Warn("HTTP calls in progress were aborted.", "error", err)
	}
	return nil
}
