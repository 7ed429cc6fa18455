package wal

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// Errors of a Log, to be tested with errors.Is.
var (
	// ErrLocked means that another process has locked the directory.
	ErrLocked = errors.New("another process uses the data directory")
	// ErrFailed means that an earlier write or sync failed. The log must be closed and
	// opened again before it can be used.
	ErrFailed = errors.New("the log stopped after a failed write")
	// ErrSync means that the sync of a file or of the directory failed. Data that is read back afterwards
	// may come from the page cache only, so the log must not be opened again before the
	// machine restarts. A sync that found a full disk is ErrDiskFull instead if what it did
	// not make durable cannot be read back.
	ErrSync = errors.New("a sync failed")
	// ErrTooLarge means that a batch or a snapshot is larger than the reader accepts.
	// Nothing was written.
	ErrTooLarge = errors.New("the payload is larger than a frame may be")
	// ErrDiskFull means that the disk is full or a disk quota is exceeded.
	ErrDiskFull = errors.New("the disk is full")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("the log is closed")
)

// DamageError reports data that was durable and is missing or cannot be read. Offset is
// in bytes from the start of File.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (err *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", err.File, err.Offset, err.Reason)
}

// wrapSync wraps the error of a failed sync of a path and adds ErrSync.
func wrapSync(err error, path string) error {
	return errors.Join(ErrSync, errors.Wrapf(err, "sync %s", path))
}

// joinDiskFull adds ErrDiskFull to an error that a full disk or an exceeded quota caused.
func joinDiskFull(err error) error {
	if isDiskFull(err) {
		return errors.Join(ErrDiskFull, err)
	}
	return err
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
