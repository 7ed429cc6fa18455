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
	defaultRotate core.Bytes = 64 << 20
	// defaultPending is the number of waiting calls of Append.
	defaultPending = 4096
	// headInterval bounds the age of the head, and so the time whose records a
	// truncation can remove without contradicting the head.
	headInterval = time.Second
	// fileAge makes a quiet writer begin a new file, so that retention can work.
	fileAge = 24 * time.Hour
	// blockTarget ends a group commit; one payload may go over it.
	blockTarget = 1 << 20
	// maxAppend keeps a block below maxBlock.
	maxAppend = maxBlock - blockTarget - blockHeader
)

// ErrClosed is returned for records after the writer was closed.
var ErrClosed = errors.New("the audit writer is closed")

// ErrSync is returned for records after a sync failed. What is read back from the file
// afterwards may not be on the disk.
var ErrSync = errors.New("a sync of the audit log failed")

// Options configure a writer. Zero values mean the defaults.
type Options struct {
	VM core.VMID
	// RotateBytes is the size at which a file is closed; 64 MiB by default.
	RotateBytes core.Bytes
	// Retention is the age at which files are removed; zero keeps them for ever.
	Retention time.Duration
	// MaxBytes is the size of all files above which the oldest are removed; zero keeps
	// them for ever. The newest file always stays.
	MaxBytes core.Bytes
	// Pending bounds the calls of Append that wait for a commit.
	Pending int
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// Stats counts what a writer has done since it was opened.
type Stats struct {
	Records uint64
	Syncs   uint64
	// Cut is the number of bytes of a torn block that were removed at the start.
	Cut core.Bytes
}

// Writer appends records to the files of one folder. Use Open; the zero value is
// not usable. Its methods may be called by several goroutines.
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

// Open opens the chain in folder, or starts one, and returns the function that
// writes what waits and closes the files. A torn block at the end is cut off; a
// DamageError states any other damage.
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
		options.RotateBytes = defaultRotate
	}
	if options.Pending <= 0 {
		options.Pending = defaultPending
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return options
}

// newWriterID names a chain.
func newWriterID() string {
	return rand.Text()
}

// Append returns after the payloads are synced, all in one block. If the context
// ends first, the payloads may still be written. After a failed write or fsync
// every call fails, since the state of the file is not known.
func (writer *Writer) Append(ctx context.Context, payloads ...Payload) error {
	if len(payloads) == 0 {
		return nil
	}
	call := &appendCall{payloads: payloads, done: make(chan error, 1)}
	if call.size() > maxAppend {
		return errors.Errorf("append of %d bytes is over the limit of %d", call.size(), maxAppend)
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
		return writer.lastAnswer(call)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for audit sync")
	}
}

// lastAnswer prefers the answer of the last commit to the closing of the writer.
func (writer *Writer) lastAnswer(call *appendCall) error {
	select {
	case err := <-call.done:
		return err
	default:
		return ErrClosed
	}
}

// Stats returns the counts since the writer was opened.
func (writer *Writer) Stats() Stats {
	return Stats{Records: writer.records.Load(), Syncs: writer.syncs.Load(), Cut: core.Bytes(writer.log.cut)}
}

func (writer *Writer) close() {
	writer.stopOnce.Do(func() { close(writer.stop) })
	<-writer.done
}

// run commits what waits, one block at a time.
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

// commit writes call and whatever else waits as one block.
func (writer *Writer) commit(call *appendCall) {
	calls := []*appendCall{call}
	size, records := call.size(), len(call.payloads)
	for size < blockTarget {
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
		size += entryHeader + len(payload)
	}
	return size
}

func makeFolder(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "create audit folder")
	}
	return nil
}
