package auditor

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestDiskOpensAgain guards against an audit folder that stays closed after it could not be
// opened for a while.
func TestDiskOpensAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "audit")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(folder, nil, 0o600)) // a file at the path of the folder prevents its creation
		disk, closeDisk := OpenDisk(folder, audit.Options{VM: "vm-1"}, log.New(io.Discard))
		payload, err := audit.Encode(audit.Record{VM: "vm-1", Incarnation: "i", Sequence: 1, Event: audit.EventRefused, Request: core.RequestID("r")})
		is.NoErr(err)
		is.True(disk.Append(context.Background(), payload) != nil)
		is.NoErr(os.Remove(folder))
		is.True(disk.Append(context.Background(), payload) != nil) // reopenDelay has not passed yet
		time.Sleep(reopenDelay)
		is.NoErr(disk.Append(context.Background(), payload))
		closeDisk()
		is.Equal(disk.Append(context.Background(), payload), ErrClosed)
	})
	report, err := audit.Verify([]string{folder}, audit.Scope{})
	is.New(t).NoErr(err)
	is.New(t).Equal(report.Records, 1)
}

// TestFailedSyncStaysClosed guards against an audit folder that is opened again after a
// failed sync, when its content on disk is unknown.
func TestFailedSyncStaysClosed(t *testing.T) {
	is := is.New(t)
	disk, closeDisk := OpenDisk(t.TempDir(), audit.Options{VM: "vm-1"}, log.New(io.Discard))
	defer closeDisk()
	writer, err := disk.currentWriter()
	is.NoErr(err)
	disk.closeFailed(writer, audit.ErrSync)
	disk.lastAttempt = time.Time{}
	_, err = disk.currentWriter()
	is.True(err != nil)
}
