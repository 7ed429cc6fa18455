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

// ControlSettings describe a control VM.
type ControlSettings struct {
	VM   core.VMID
	Zone core.ZoneID
	// PeerAddress and OperatorAddress are what it listens on.
	PeerAddress     string
	OperatorAddress string
	// MetricsAddress serves counts; empty for none.
	MetricsAddress string
	// Seeds are the control VMs to begin with. On the first start of a deployment they
	// form the group of replicas.
	Seeds []core.VMID
	// FirstStart is set while the deployment starts for the first time.
	FirstStart bool
	DataFolder string
	Secret     string
	// AuditBytes bounds the audit log on this VM's disk.
	AuditBytes core.Bytes
	// Voters is the number of replicas that vote.
	Voters int
	// Zones is the number of availability zones of the deployment.
	Zones              int
	EnginesCheckTokens bool
	AnnounceInterval   time.Duration
	// Reload returns the seeds of the present settings.
	Reload func() ([]core.VMID, error)
}

const (
	// orderWorkers is the number of orders to engines that are on their way at once.
	orderWorkers = 24
	// stopTimeout bounds the end of the calls in progress when a control VM stops.
	stopTimeout = time.Second
)

// RunControl runs a control VM until stop is closed. The handler serves operators and
// upstreams.
func RunControl(settings ControlSettings, engines control.Engines, handler func(*control.Control) http.Handler, logs *logging.Logs, stop, reload <-chan struct{}) error {
	identity := peer.Identity{VM: settings.VM, Zone: settings.Zone, Incarnation: core.Incarnation(ulid.Make().String()), Secret: []byte(settings.Secret)}
	calls, closeCalls := peer.NewClient(identity, nil, logs.Part("peer"))
	defer closeCalls()
	peers := control.NewPeers(control.Peer{VM: settings.VM, Zone: settings.Zone, OperatorAddress: settings.OperatorAddress})
	transport, closeTransport := replication.NewTransport(calls)
	defer closeTransport()
	config := host.Config{
		VM: settings.VM, DiskVMs: settings.Seeds, Discover: peers.VMs, Zone: peers.Zone, Voters: settings.Voters,
		Restart: !settings.FirstStart, NoClaims: true, Directory: filepath.Join(settings.DataFolder, "shards"), Logger: logs.Part("replica"),
	}
	caller := replication.Caller{Client: calls}
	replicas, closeReplicas, err := host.New(config, transport, caller)
	if err != nil {
		return errors.Wrap(err, "open replicated state")
	}
	logger := logs.Part("control")
	records, closeRecords := openRecords(settings, identity, calls, logs.Part("audit"))
	defer closeRecords()
	defer func() {
		if err := closeReplicas(); err != nil {
			logger.Warn("The replicated state was not closed.", "error", err)
		}
	}()
	defer telemetry.Serve(settings.MetricsAddress, logger)()
	jobs, closeJobs := pool.New(orderWorkers, 0)
	defer closeJobs()
	node := control.New(control.Parts{
		VM: settings.VM, Zone: settings.Zone, OperatorAddress: settings.OperatorAddress, Zones: settings.Zones,
		EnginesCheckTokens: settings.EnginesCheckTokens, AnnounceInterval: settings.AnnounceInterval,
		RecallFile: filepath.Join(settings.DataFolder, "upstreams.json"), Host: replicas, Commands: host.NewClient(config, replicas, caller), Calls: calls, Engines: engines, Jobs: jobs, Records: records, Logger: logger,
	}, peers)
	peers.AddSeeds(settings.Seeds)
	return serveControl(settings, node, peers, identity, handler(node), logs, stop, reload)
}

func serveControl(settings ControlSettings, node *control.Control, peers *control.Peers, identity peer.Identity, handler http.Handler, logs *logging.Logs, stop, reload <-chan struct{}) error {
	peerListener, err := listen(settings.PeerAddress)
	if err != nil {
		return err
	}
	operators, err := listen(settings.OperatorAddress)
	if err != nil {
		peerListener.Close()
		return err
	}
	closePeers := peer.Serve(peerListener, identity, node, logs.Part("peer"))
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
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: logs.Standard("operators")}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(operators) }()
	logger := logs.Part("control")
	logger.Info("Serving operators and upstreams.", "vm", settings.VM, "zone", settings.Zone, "address", settings.OperatorAddress, "first_start", settings.FirstStart)
	for waiting := true; waiting; {
		select {
		case err := <-failed:
			return errors.Wrap(err, "serve operators")
		case <-reload:
			seeds, err := settings.Reload()
			logger.Info("The settings were read again.", "seeds", len(seeds), "error", err)
			peers.AddSeeds(seeds)
		case <-stop:
			waiting = false
		}
	}
	logger.Info("Stopping.")
	ending, cancelEnding := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelEnding()
	if err := server.Shutdown(ending); err != nil {
		logger.Warn("Calls were cut off.", "error", err)
	}
	return nil
}
