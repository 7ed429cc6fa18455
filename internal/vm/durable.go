package vm

import (
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/replication"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Folders below the data folder of a VM.
const (
	shardsFolder = "shards"
	// AuditFolder holds the audit log.
	AuditFolder = "audit"
)

// durable is the state of a VM that outlives it, and the ways to that of others.
type durable struct {
	// host is nil on a VM without a disk.
	host     *host.Host
	commands *host.Client
	archive  archive
	auditor  *auditor.Auditor
	// restorer is nil on a VM without a disk.
	restorer *auditor.Restorer
	// auditFolder is empty on a VM without a disk.
	auditFolder string
}

// diskVMs returns the VMs with a disk, in the order of the settings of every VM.
func diskVMs(settings settings.Settings) []core.VMID {
	var vms []core.VMID
	for _, member := range settings.Members() {
		if member.Disk {
			vms = append(vms, member.VM)
		}
	}
	return sortedVMs(vms)
}

func openDurable(settings settings.Settings, self peer.Identity, client *peer.Client, logs *logging.Logs) (durable, func(), error) {
	var closers cleanUp
	config := hostConfig(settings, logs)
	caller := replication.Caller{Client: client}
	state := durable{archive: archive{disks: config.DiskVMs, client: client}}
	if settings.DataFolder != "" {
		closeHost, err := state.openHost(config, client, caller)
		if err != nil {
			return durable{}, nil, err
		}
		closers.add(closeHost)
	}
	state.commands = host.NewClient(config, state.host, caller)
	closeAuditor, err := state.openAuditor(settings, self, client, logs)
	if err != nil {
		closers.run()
		return durable{}, nil, err
	}
	closers.add(closeAuditor)
	return state, closers.run, nil
}

func hostConfig(settings settings.Settings, logs *logging.Logs) host.Config {
	return host.Config{
		VM:              settings.VM,
		DiskVMs:         diskVMs(settings),
		ClaimShards:     core.ShardID(settings.ClaimShards),
		Directory:       filepath.Join(settings.DataFolder, shardsFolder),
		Limits:          ledger.Limits{Retention: time.Duration(settings.ClaimRetentionSeconds) * time.Second},
		SnapshotEntries: settings.SnapshotEntries,
		Logger:          logs.Part("replica"),
	}
}

func (state *durable) openHost(config host.Config, client *peer.Client, caller replication.Caller) (func(), error) {
	transport, closeTransport := replication.NewTransport(client)
	opened, closeHost, err := host.New(config, transport, caller)
	if err != nil {
		closeTransport()
		return nil, errors.Wrap(err, "open replicated state")
	}
	state.host = opened
	state.archive.replica, _ = opened.Replica(0)
	return func() {
		if err := closeHost(); err != nil {
			config.Logger.Error("Replicated state not closed.", "error", err)
		}
		closeTransport()
	}, nil
}

func (state *durable) openAuditor(settings settings.Settings, self peer.Identity, client *peer.Client, logs *logging.Logs) (func(), error) {
	options := auditor.Options{
		Self:        auditor.Member{VM: settings.VM, Zone: settings.Zone, Disk: settings.DataFolder != ""},
		Incarnation: self.Incarnation,
		Caller:      client,
		Logger:      logs.Part("audit"),
	}
	for _, member := range settings.Members() {
		options.Members = append(options.Members, auditor.Member{VM: member.VM, Zone: member.Zone, Disk: member.Disk})
	}
	closeWriter := func() {}
	if settings.DataFolder != "" {
		state.auditFolder = filepath.Join(settings.DataFolder, AuditFolder)
		writer, closeLog, err := audit.Open(state.auditFolder, auditOptions(settings))
		if err != nil {
			return nil, errors.Wrap(err, "open audit log")
		}
		options.Store, closeWriter = writer, closeLog
		others := without(diskVMs(settings), settings.VM)
		state.restorer = auditor.NewRestorer(state.auditFolder, writer, others, client, options.Logger)
	}
	opened, closeAuditor := auditor.New(options)
	state.auditor = opened
	return func() {
		closeAuditor()
		closeWriter()
	}, nil
}

func auditOptions(settings settings.Settings) audit.Options {
	return audit.Options{
		VM:          settings.VM,
		RotateBytes: settings.AuditRotateBytes,
		Retention:   time.Duration(settings.AuditRetentionDays) * 24 * time.Hour,
	}
}
