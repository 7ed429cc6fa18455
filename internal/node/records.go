package node

import (
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/auditor"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// recordGather is the pause between two batches of records that nobody waits for, and
	// the most that the loss of an entry VM takes of them.
	recordGather = 250 * time.Millisecond
	// recordCopyDelay gathers second copies: each batch costs a sync on a disk that the
	// replicated state uses too.
	recordCopyDelay = time.Second
	// recordFlush is the time for the last records of a VM that stops. It fits into what is
	// left of the grace time after the last answer.
	recordFlush = killMargin - 100*time.Millisecond
	// recordFileBytes is the size of one audit file. A restart reads one.
	recordFileBytes core.Bytes = 4 << 20
)

// openRecords returns the audit log of a control VM.
func openRecords(settings ControlSettings, identity peer.Identity, calls *peer.Client, logger *log.Logger) (*auditor.Auditor, func()) {
	disk, closeDisk := auditor.OpenDisk(filepath.Join(settings.DataFolder, "audit"), audit.Options{
		VM: settings.VM, RotateBytes: recordFileBytes, MaxBytes: settings.AuditBytes,
	}, logger)
	self := auditor.Member{VM: settings.VM, Zone: settings.Zone, Disk: true}
	records, closeRecords := auditor.New(auditor.Options{
		Self: self, Incarnation: identity.Incarnation, Members: []auditor.Member{self}, Store: disk, Caller: calls, Logger: logger,
		Gather: recordGather, CopyDelay: recordCopyDelay, Flush: recordFlush,
	})
	return records, func() {
		closeRecords()
		closeDisk()
	}
}

// entryRecords returns the audit log of an entry VM, which has no disk.
func entryRecords(settings EntrySettings, identity peer.Identity, calls *peer.Client, logger *log.Logger) (*auditor.Auditor, func()) {
	return auditor.New(auditor.Options{
		Self: auditor.Member{VM: settings.VM, Zone: settings.Zone}, Incarnation: identity.Incarnation, Caller: calls, Logger: logger,
		Gather: recordGather, CopyDelay: recordCopyDelay, Flush: recordFlush,
	})
}

// recordMembers returns the control VMs as the VMs with a disk.
func recordMembers(controls []fleet.ControlVM) []auditor.Member {
	members := make([]auditor.Member, 0, len(controls))
	for _, control := range controls {
		members = append(members, auditor.Member{VM: control.VM, Zone: control.Zone, Disk: true})
	}
	return members
}
