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
	// recordBatchInterval is the time between two batches of records that no request waits
	// for. The failure of an entry VM loses at most the records of one interval.
	recordBatchInterval = 250 * time.Millisecond
	// recordCopyDelay is how long second copies are collected into a batch. Each batch
	// costs a sync on a disk that the replicated state also uses.
	recordCopyDelay = time.Second
	// recordFlushTimeout bounds the flush of the last records when a VM stops. It is
	// shorter than exitMargin, the part of the grace time after the last response.
	recordFlushTimeout = exitMargin - 100*time.Millisecond
	// recordFileBytes is the size of one audit file. A restart reads one file.
	recordFileBytes core.Bytes = 4 << 20
)

// recordFolder returns the folder of the audit records of a control VM.
func recordFolder(settings ControlSettings) string {
	return filepath.Join(settings.DataFolder, "audit")
}

// newControlAuditor returns the auditor of a control VM, which stores records on its disk,
// and a function that closes it.
func newControlAuditor(settings ControlSettings, identity peer.Identity, peerClient *peer.Client, logger *log.Logger) (*auditor.Auditor, func()) {
	disk, closeDisk := auditor.OpenDisk(recordFolder(settings), audit.Options{
		VM: settings.VM, RotateBytes: recordFileBytes, MaxBytes: settings.AuditBytes,
	}, logger)
	self := auditor.Member{VM: settings.VM, Zone: settings.Zone, Disk: true}
	records, closeRecords := auditor.New(auditor.Options{
		Self: self, Incarnation: identity.Incarnation, Members: []auditor.Member{self}, Store: disk, Caller: peerClient, Logger: logger,
		Gather: recordBatchInterval, CopyDelay: recordCopyDelay, Flush: recordFlushTimeout,
	})
	return records, func() {
		closeRecords()
		closeDisk()
	}
}

// newEntryAuditor returns the auditor of an entry VM, which has no disk, and a function that
// closes it.
func newEntryAuditor(settings EntrySettings, identity peer.Identity, peerClient *peer.Client, logger *log.Logger) (*auditor.Auditor, func()) {
	return auditor.New(auditor.Options{
		Self: auditor.Member{VM: settings.VM, Zone: settings.Zone}, Incarnation: identity.Incarnation, Caller: peerClient, Logger: logger,
		Gather: recordBatchInterval, CopyDelay: recordCopyDelay, Flush: recordFlushTimeout,
	})
}

// auditMembers returns the control VMs as members that have a disk.
func auditMembers(controls []fleet.ControlVM) []auditor.Member {
	members := make([]auditor.Member, 0, len(controls))
	for _, control := range controls {
		members = append(members, auditor.Member{VM: control.VM, Zone: control.Zone, Disk: true})
	}
	return members
}
