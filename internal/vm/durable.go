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

// Subfolders of the data folder of a VM.
const (
	shardsFolder = "shards"
	// auditFolder holds the audit log.
	auditFolder = "audit"
)

// storage gives access to the persistent state: this VM's replicas and audit log if it
// has a disk, and clients for the state on other VMs.
type storage struct {
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

// diskVMs returns the VMs with a disk in sorted order, which is the same on every VM.
func diskVMs(settings settings.Settings) []core.VMID {
	var vms []core.VMID
	for _, member := range settings.Members() {
		if member.Disk {
			vms = append(vms, member.VM)
		}
	}
	return sortedVMs(vms)
}

func openStorage(settings settings.Settings, self peer.Identity, client *peer.Client, loggers *logging.LoggerSet) (storage, func(), error) {
	var closers cleanUp
	config := hostConfig(settings, loggers)
	caller := replication.Caller{Client: client}
	opened := storage{archive: archive{diskVMs: config.DiskVMs, client: client}}
	if settings.DataFolder != "" {
		closeHost, err := opened.openHost(config, client, caller)
		if err != nil {
			return storage{}, nil, err
		}
		closers.add(closeHost)
	}
	opened.commands = host.NewClient(config, opened.host, caller)
	closeAuditor, err := opened.openAuditor(settings, self, client, loggers)
	if err != nil {
		closers.run()
		return storage{}, nil, err
	}
	closers.add(closeAuditor)
	return opened, closers.run, nil
}

func hostConfig(settings settings.Settings, loggers *logging.LoggerSet) host.Config {
	return host.Config{
		VM:              settings.VM,
		DiskVMs:         diskVMs(settings),
		ClaimShards:     core.ShardID(settings.ClaimShards),
		Directory:       filepath.Join(settings.DataFolder, shardsFolder),
		Limits:          ledger.Limits{Retention: time.Duration(settings.ClaimRetentionSeconds) * time.Second},
		SnapshotEntries: settings.SnapshotEntries,
		Logger:          loggers.Logger("replica"),
	}
}

func (storage *storage) openHost(config host.Config, client *peer.Client, caller replication.Caller) (func(), error) {
	transport, closeTransport := replication.NewTransport(client)
	opened, closeHost, err := host.New(config, transport, caller)
	if err != nil {
		closeTransport()
		return nil, errors.Wrap(err, "open replicated state")
	}
	storage.host = opened
	storage.archive.replica, _ = opened.Replica(0)
	return func() {
		if err := closeHost(); err != nil {
			config.Logger.Error("Closing the replicated state failed.", "error", err)
		}
		closeTransport()
	}, nil
}

func (storage *storage) openAuditor(settings settings.Settings, self peer.Identity, client *peer.Client, loggers *logging.LoggerSet) (func(), error) {
	options := auditor.Options{
		Self:        auditor.Member{VM: settings.VM, Zone: settings.Zone, Disk: settings.DataFolder != ""},
		Incarnation: self.Incarnation,
		Caller:      client,
		Logger:      loggers.Logger("audit"),
	}
	for _, member := range settings.Members() {
		options.Members = append(options.Members, auditor.Member{VM: member.VM, Zone: member.Zone, Disk: member.Disk})
	}
	closeWriter := func() {}
	if settings.DataFolder != "" {
		storage.auditFolder = filepath.Join(settings.DataFolder, auditFolder)
		disk, closeDisk := auditor.OpenDisk(storage.auditFolder, auditOptions(settings), options.Logger)
		if err := disk.Err(); err != nil {
			closeDisk()
			return nil, errors.Wrap(err, "open audit log")
		}
		options.Store, closeWriter = disk, closeDisk
		others := withoutVM(diskVMs(settings), settings.VM)
		storage.restorer = auditor.NewRestorer(storage.auditFolder, disk, others, client, options.Logger)
	}
	opened, closeAuditor := auditor.New(options)
	storage.auditor = opened
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
