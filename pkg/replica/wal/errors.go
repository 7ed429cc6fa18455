package wal

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// The errors of a log, to be found with errors.Is.
var (
	// ErrLocked means that another process uses the directory.
	ErrLocked = errors.New("another process uses the data directory")
	// ErrFailed means that an earlier write or sync failed; the log must be opened
	// again.
	ErrFailed = errors.New("the log stopped after a failed write")
	// ErrSync means that a sync failed. What is read back afterwards may not be on the
	// disk, so the log must not be used again in this life of the machine.
	ErrSync = errors.New("a sync failed")
	// ErrDiskFull means that there was no room for a write.
	ErrDiskFull = errors.New("the disk is full")
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("the log is closed")
)

// DamageError reports data that was durable once and cannot be read.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the file, the offset and the reason.
func (damage *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", damage.File, damage.Offset, damage.Reason)
}

// classify makes a full disk visible in the chain of errors.
func classify(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.Join(ErrDiskFull, err)
	}
	return err
}
