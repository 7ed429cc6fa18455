package auditor

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/audit"
)

// reopenDelay is the minimum time between two attempts to open an audit folder.
const reopenDelay = time.Second

// Disk writes records to an audit folder. It opens the folder again after a failed write,
// for instance on a full disk, but not after audit.ErrSync, since data that is read back
// afterwards may not be on the disk, and not if the files are damaged. It must be created
// with OpenDisk.
type Disk struct {
	folder  string
	options audit.Options
	logger  *log.Logger

	// lock is held while the folder is opened or closed. No other lock of the lock order is
	// acquired while it is held.
	lock   sync.Mutex
	writer *audit.Writer
	close  func()
	// failure is the reason why there is no writer, and lastAttempt the time of the last
	// attempt to open one, or of the failure that closed it.
	failure     error
	lastAttempt time.Time
	closed      bool
}

// OpenDisk opens an audit folder and returns the function that closes it. If the folder
// cannot be opened, Append tries again, at most once every second.
func OpenDisk(folder string, options audit.Options, logger *log.Logger) (*Disk, func()) {
	disk := &Disk{folder: folder, options: options, logger: logger}
	disk.lock.Lock()
	disk.open()
	disk.lock.Unlock()
	return disk, disk.shutdown
}

// Err returns the reason why the folder is not open, or nil.
func (disk *Disk) Err() error {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	return disk.failure
}

// Append returns after the payloads are synced. It returns ErrClosed after the Disk was
// closed, and otherwise an error that wraps the reason why the folder is not open or the
// write failed.
func (disk *Disk) Append(ctx context.Context, payloads ...audit.Payload) error {
	writer, err := disk.currentWriter()
	if err != nil {
		return err
	}
	if err := writer.Append(ctx, payloads...); err != nil {
		if ctx.Err() == nil {
			disk.closeFailed(writer, err)
		}
		return errors.Wrap(err, "append audit records")
	}
	return nil
}

func (disk *Disk) currentWriter() (*audit.Writer, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.closed {
		return nil, ErrClosed
	}
	if disk.writer == nil && disk.canReopen() {
		disk.open()
	}
	if disk.writer == nil {
		return nil, errors.Wrap(disk.failure, "the audit folder is not open")
	}
	return disk.writer, nil
}

// canReopen reports whether the folder can be opened again now. The caller holds the lock.
func (disk *Disk) canReopen() bool {
	var damage *audit.DamageError
	return time.Since(disk.lastAttempt) >= reopenDelay && !errors.Is(disk.failure, audit.ErrSync) && !errors.As(disk.failure, &damage)
}

// open opens the folder and logs the result. The caller holds the lock.
func (disk *Disk) open() {
	disk.lastAttempt = time.Now()
	writer, closeWriter, err := audit.Open(disk.folder, disk.options)
	if err != nil {
		disk.logger.Error("Audit folder not opened.", "folder", disk.folder, "error", err)
		disk.failure = err
		return
	}
	disk.logger.Info("Audit folder opened.", "folder", disk.folder, "cut_bytes", writer.Stats().Cut)
	disk.writer, disk.close, disk.failure = writer, closeWriter, nil
}

// closeFailed closes a writer that returned an error, unless it was closed already.
func (disk *Disk) closeFailed(failed *audit.Writer, err error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.writer != failed || disk.closed {
		return
	}
	disk.logger.Error("The audit folder is closed after a failure.", "folder", disk.folder, "error", err)
	disk.close()
	disk.writer, disk.close, disk.failure, disk.lastAttempt = nil, nil, err, time.Now()
}

func (disk *Disk) shutdown() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.closed = true
	if disk.close != nil {
		disk.close()
	}
}
