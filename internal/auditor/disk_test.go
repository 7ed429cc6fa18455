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

// TestDiskOpensAgain guards against an audit folder that stays closed after its disk
// refused writes for a while.
func TestDiskOpensAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "audit")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(folder, nil, 0o600)) // a file in the way of the folder
		disk, closeDisk := OpenDisk(folder, audit.Options{VM: "vm-1"}, log.New(io.Discard))
		payload, err := audit.Encode(audit.Record{VM: "vm-1", Incarnation: "i", Sequence: 1, Event: audit.EventRefused, Request: core.RequestID("r")})
		is.NoErr(err)
		is.True(disk.Append(context.Background(), payload) != nil)
		is.NoErr(os.Remove(folder))
		is.True(disk.Append(context.Background(), payload) != nil) // not before the pause has ended
		time.Sleep(reopenPause)
		is.NoErr(disk.Append(context.Background(), payload))
		closeDisk()
		is.Equal(disk.Append(context.Background(), payload), ErrClosed)
	})
	report, err := audit.Verify([]string{folder}, audit.Scope{})
	is.New(t).NoErr(err)
	is.New(t).Equal(report.Records, 1)
}

// TestFailedSyncStaysClosed guards against an audit folder that is opened again after a
// failed sync, whose content is not known.
func TestFailedSyncStaysClosed(t *testing.T) {
	is := is.New(t)
	disk, closeDisk := OpenDisk(t.TempDir(), audit.Options{VM: "vm-1"}, log.New(io.Discard))
	defer closeDisk()
	writer, err := disk.current()
	is.NoErr(err)
	disk.fail(writer, audit.ErrSync)
	disk.tried = time.Time{}
	_, err = disk.current()
	is.True(err != nil)
}
