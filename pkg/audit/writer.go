package audit

import (
	"context"
	"crypto/rand"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/go-faster/errors"
)

const (
	defaultRotateBytes core.Bytes = 64 << 20
	// defaultPending is the default of Options.Pending.
	defaultPending = 4096
	// headInterval limits the age of the head, and thereby the records that a
	// truncation can remove without contradicting the head.
	headInterval = time.Second
	// maxFileAge is the age at which the next commit starts a new file, so that retention
	// also works for a writer with few records.
	maxFileAge = 24 * time.Hour
	// targetBlockSize is the size at which a group commit takes no further calls; the
	// last call may exceed it.
	targetBlockSize = 1 << 20
	// maxAppendSize keeps the size of a block below maxBlockSize.
	maxAppendSize = maxBlockSize - targetBlockSize - blockHeaderSize
)

// ErrClosed is returned by Append after the writer was closed.
var ErrClosed = errors.New("the audit writer is closed")

// ErrSync is wrapped by the errors that Append returns from the first failed sync of a
// block on. Data that is then read back from the file may not be on the disk. It is not wrapped
// if the sync found a full disk and the block was cut off: the folder can be opened again.
var ErrSync = errors.New("a sync of the audit log failed")

// Options configures a Writer. Zero values select the defaults.
type Options struct {
	VM core.VMID
	// RotateBytes is the file size in bytes at which a new file is started; 64 MiB by
	// default.
	RotateBytes core.Bytes
	// Retention is the time since their last modification after which files are removed;
	// zero means no limit. The newest file is never removed.
	Retention time.Duration
	// MaxBytes is the total size in bytes above which the oldest files are removed; zero
	// means no limit. The newest file is never removed.
	MaxBytes core.Bytes
	// Pending is the number of Append calls that can be queued for a commit; 4096 by
	// default. Further calls block.
	Pending int
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// Stats holds the counters of a Writer since it was opened.
type Stats struct {
	Records uint64
	Syncs   uint64
	// Cut is the size in bytes of the torn block that Open removed, or 0.
	Cut core.Bytes
}

// Writer appends records to the files of one folder. It must be created with Open. Its
// methods are safe for concurrent use.
type Writer struct {
	options  Options
	appends  chan *appendCall
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	records  atomic.Uint64
	syncs    atomic.Uint64
	log      *chainLog
}

type appendCall struct {
	payloads []Payload
	done     chan error
}

// Open opens the chain in folder, or starts one if the folder is empty or does not exist.
// It returns the Writer and a function that writes the queued records and closes the
// files. A torn block at the end of the newest file is removed; other damage that Open
// detects there is returned as a DamageError.
func Open(folder string, options Options) (*Writer, func(), error) {
	options = options.withDefaults()
	log, err := openChain(folder, options)
	if err != nil {
		return nil, nil, err
	}
	writer := &Writer{
		options: options,
		appends: make(chan *appendCall, options.Pending),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		log:     log,
	}
	go writer.run()
	return writer, writer.close, nil
}

func (options Options) withDefaults() Options {
	if options.RotateBytes <= 0 {
		options.RotateBytes = defaultRotateBytes
	}
	if options.Pending <= 0 {
		options.Pending = defaultPending
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return options
}

// newWriterID returns a random identifier for a new chain.
func newWriterID() string {
	return rand.Text()
}

// Append writes the payloads in one block and returns after it is synced. It returns
// ErrClosed after the writer was closed, and an error that wraps the context's error if
// the context ends first; the payloads may still be written then. After a failed write or
// fsync every call returns the same error, since the state of the file is unknown.
func (writer *Writer) Append(ctx context.Context, payloads ...Payload) error {
	if len(payloads) == 0 {
		return nil
	}
	call := &appendCall{payloads: payloads, done: make(chan error, 1)}
	if call.size() > maxAppendSize {
		return errors.Errorf("append of %d bytes is over the limit of %d", call.size(), maxAppendSize)
	}
	select {
	case writer.appends <- call:
	case <-writer.stop:
		return ErrClosed
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for audit queue")
	}
	select {
	case err := <-call.done:
		return err
	case <-writer.done:
		return writer.commitResult(call)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for audit sync")
	}
}

// commitResult returns the result of the commit of call if the writer committed it before
// it closed, and ErrClosed otherwise.
func (writer *Writer) commitResult(call *appendCall) error {
	select {
	case err := <-call.done:
		return err
	default:
		return ErrClosed
	}
}

// Stats returns the counters since the writer was opened.
func (writer *Writer) Stats() Stats {
	return Stats{Records: writer.records.Load(), Syncs: writer.syncs.Load(), Cut: core.Bytes(writer.log.tornBytes)}
}

func (writer *Writer) close() {
	writer.stopOnce.Do(func() { close(writer.stop) })
	<-writer.done
}

// run commits the queued calls until the writer is closed, and writes the head once every
// headInterval.
func (writer *Writer) run() {
	defer close(writer.done)
	defer writer.log.close()
	timer := time.NewTimer(headInterval)
	defer timer.Stop()
	for {
		select {
		case call := <-writer.appends:
			writer.commit(call)
		case <-timer.C:
			writer.log.writeHead()
			timer.Reset(headInterval)
		case <-writer.stop:
			writer.drain()
			return
		}
	}
}

func (writer *Writer) drain() {
	for {
		select {
		case call := <-writer.appends:
			writer.commit(call)
		default:
			return
		}
	}
}

// commit writes call and further queued calls as one block, up to about targetBlockSize.
func (writer *Writer) commit(call *appendCall) {
	calls := []*appendCall{call}
	size, records := call.size(), len(call.payloads)
	for size < targetBlockSize {
		select {
		case next := <-writer.appends:
			calls, size, records = append(calls, next), size+next.size(), records+len(next.payloads)
			continue
		default:
		}
		break
	}
	err := writer.log.commit(calls)
	if err == nil {
		writer.records.Add(uint64(records))
		writer.syncs.Add(1)
	}
	for _, call := range calls {
		call.done <- err
	}
}

func (call *appendCall) size() int {
	size := 0
	for _, payload := range call.payloads {
		size += entryHeaderSize + len(payload)
	}
	return size
}

func createFolder(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "create audit folder")
	}
	return nil
}
