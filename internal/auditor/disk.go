package auditor

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/audit"
)

// reopenPause is the time between two tries to open an audit folder after a failure.
const reopenPause = time.Second

// Disk keeps records in an audit folder. It opens the folder again after a failed write,
// for instance on a full disk. After a failed sync it does not: what the system then reads
// back may not be on the disk. Use OpenDisk.
type Disk struct {
	folder  string
	options audit.Options
	logger  *log.Logger

	// lock is a leaf. It is held while the folder is opened.
	lock   sync.Mutex
	writer *audit.Writer
	close  func()
	// failure is why there is no writer, and tried the time of the last try to open one.
	failure error
	tried   time.Time
	closed  bool
}

// OpenDisk opens an audit folder and returns the function that closes it. A folder that
// cannot be opened yet is tried again when records arrive.
func OpenDisk(folder string, options audit.Options, logger *log.Logger) (*Disk, func()) {
	disk := &Disk{folder: folder, options: options, logger: logger}
	disk.lock.Lock()
	disk.open()
	disk.lock.Unlock()
	return disk, disk.end
}

// Append returns after the payloads are synced.
func (disk *Disk) Append(ctx context.Context, payloads ...audit.Payload) error {
	writer, err := disk.current()
	if err != nil {
		return err
	}
	if err := writer.Append(ctx, payloads...); err != nil {
		if ctx.Err() == nil {
			disk.fail(writer, err)
		}
		return errors.Wrap(err, "append audit records")
	}
	return nil
}

func (disk *Disk) current() (*audit.Writer, error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.closed {
		return nil, ErrClosed
	}
	if disk.writer == nil && disk.mayOpen() {
		disk.open()
	}
	if disk.writer == nil {
		return nil, errors.Wrap(disk.failure, "the audit folder is not open")
	}
	return disk.writer, nil
}

// mayOpen reports whether the folder may be opened again. The caller holds the lock.
func (disk *Disk) mayOpen() bool {
	var damage *audit.DamageError
	return time.Since(disk.tried) >= reopenPause && !errors.Is(disk.failure, audit.ErrSync) && !errors.As(disk.failure, &damage)
}

// open opens the folder. The caller holds the lock.
func (disk *Disk) open() {
	disk.tried = time.Now()
	writer, closeWriter, err := audit.Open(disk.folder, disk.options)
	if err != nil {
		disk.logger.Error("The audit folder was not opened.", "folder", disk.folder, "error", err)
		disk.failure = err
		return
	}
	disk.logger.Info("The audit folder is open.", "folder", disk.folder, "cut_bytes", writer.Stats().Cut)
	disk.writer, disk.close, disk.failure = writer, closeWriter, nil
}

// fail closes a writer that failed.
func (disk *Disk) fail(failed *audit.Writer, err error) {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	if disk.writer != failed || disk.closed {
		return
	}
	disk.logger.Error("The audit folder is closed after a failure.", "folder", disk.folder, "error", err)
	disk.close()
	disk.writer, disk.close, disk.failure, disk.tried = nil, nil, err, time.Now()
}

func (disk *Disk) end() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.closed = true
	if disk.close != nil {
		disk.close()
	}
}
