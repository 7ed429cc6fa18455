package audit

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// lateFile is a file of which a sync finds that the disk is full.
type lateFile struct {
	*os.File
	truncateErr error
}

func (lateFile) Sync() error { return syscall.ENOSPC }

func (file lateFile) Truncate(size int64) error {
	if file.truncateErr != nil {
		return file.truncateErr
	}
	return file.File.Truncate(size)
}

// TestFullDiskFoundBySync guards against an audit folder that stays closed for good because a
// sync found the full disk, and against a record that is read back though it was not synced.
func TestFullDiskFoundBySync(t *testing.T) {
	for _, truncateErr := range []error{nil, syscall.EIO} {
		is := is.New(t)
		folder := t.TempDir()
		writer, closeWriter, err := Open(folder, Options{VM: "vm-1"})
		is.NoErr(err)
		is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(1))))
		file, ok := writer.log.file.(*os.File)
		is.True(ok)
		writer.log.file = lateFile{file, truncateErr}
		err = writer.Append(context.Background(), mustEncode(t, testRecord(2)))
		is.True(errors.Is(err, syscall.ENOSPC))
		is.Equal(errors.Is(err, ErrSync), truncateErr != nil)
		closeWriter()
		if truncateErr != nil {
			continue
		}
		writer, closeWriter, err = Open(folder, Options{VM: "vm-1"})
		is.NoErr(err)
		is.Equal(writer.Stats().Cut, core.Bytes(0))
		is.NoErr(writer.Append(context.Background(), mustEncode(t, testRecord(3))))
		closeWriter()
		report, err := Verify([]string{folder}, Scope{Partial: true})
		is.NoErr(err)
		is.True(report.Valid())
		is.Equal(report.Records, 2)
	}
}
