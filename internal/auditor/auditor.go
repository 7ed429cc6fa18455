package auditor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// caller sends a request to another VM and returns its response.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
}

// store writes records to the disk of this VM. Append returns after they are synced.
type store interface {
	Append(ctx context.Context, payloads ...audit.Payload) error
}

const (
	defaultQueue = 32768
	// maxCopyBytes bounds the encoded records that wait for their second copy.
	maxCopyBytes = 48 << 20
	// defaultCopies limits the second copies that are not acknowledged yet.
	defaultCopies = 65536
	// batchRecords and batchBytes keep a batch below the 4 MiB limit of a frame between
	// VMs.
	batchRecords = 1024
	batchBytes   = 1 << 20
	// batchPause is the pause after a batch of at least batchPauseMin records, so that a
	// busy VM does not spend its processor time on fsyncs. Smaller batches, which show
	// that the VM is not busy, are followed by no pause.
	batchPause    = 2 * time.Millisecond
	batchPauseMin = 8
	// defaultCopyDelay collects second copies, which no request waits for, into larger
	// batches, so that the receiving VM syncs 50 times a second instead of once for
	// every batch of first copies.
	defaultCopyDelay = 20 * time.Millisecond
	// callTimeout is longer than a slow fsync and shorter than the deadline of most
	// requests.
	callTimeout = time.Second
	// slowDelivery is the time after which a batch that a VM has not answered is sent to another
	// one as well, as records of other requests wait behind it. A sync takes a few milliseconds.
	slowDelivery = 100 * time.Millisecond
	// retryInterval is the time between two probes of a VM that failed, and between two
	// attempts to send second copies.
	retryInterval = time.Second
	// defaultFlush limits the time that a VM which can reach no disk takes to stop.
	defaultFlush = 5 * time.Second
)

// ErrFull is returned by Start and StartWithin if the queue is full.
var ErrFull = errors.New("too many audit records wait for a disk")

// ErrClosed is returned by Start and StartWithin after the auditor was closed.
var ErrClosed = errors.New("the auditor is closed")

// Options configures an Auditor. Zero numbers and durations select the defaults.
type Options struct {
	Self        Member
	Incarnation core.Incarnation
	// Members lists all VMs of the deployment, including this one.
	Members []Member
	// Store is nil if this VM has no disk.
	Store  store
	Caller caller
	Logger *log.Logger
	// Queue limits the records that are on no disk yet, and Copies those on one disk; 32768
	// and 65536 by default.
	Queue  int
	Copies int
	// Gather is the pause after each batch, which ends early if a caller waits for its
	// start record. By default there is a pause of 2 ms after batches of 8 or more records
	// only.
	Gather time.Duration
	// Flush limits the time that closing the auditor waits for the delivery of queued
	// records; 5 s by default.
	Flush time.Duration
	// CopyDelay is the pause after a batch of second copies; 20 ms by default.
	CopyDelay time.Duration
}

// Auditor delivers the records of one VM to disks. It must be created with New. Its
// methods are safe for concurrent use.
type Auditor struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// senders are the goroutines that return after close once all records are sent;
	// running are the others.
	senders sync.WaitGroup
	running sync.WaitGroup
	// wakeQueue and wakeCopy hold one token if there may be records to send.
	wakeQueue chan struct{}
	wakeCopy  chan struct{}
	// startWaiting holds one token if a caller waits for its start record.
	startWaiting chan struct{}
	// wakeProbe holds one token if a VM has failed.
	wakeProbe chan struct{}

	// mutex is number 4 in the lock order of a VM. It guards the fields below.
	mutex    sync.Mutex
	targets  targets
	closed   bool
	sequence uint64
	// openStarts is the number of start records whose end record is not queued yet. A
	// place in the queue is reserved for each of these end records, so that none is
	// dropped.
	openStarts int
	queue      []*pendingRecord
	copies     []*pendingRecord
	// copyBytes is the size of the payloads of copies.
	copyBytes int
	// bufferedCount is the number of records at the front of the queue that are known to
	// be buffered. It avoids a scan of the whole queue for each new record while no disk
	// can be reached.
	bufferedCount int
	// failedVMs holds the VMs that did not accept the last batch or probe.
	failedVMs     map[core.VMID]bool
	droppedCopies uint64
}

// pendingRecord is a record that is not delivered to two disks yet.
type pendingRecord struct {
	record  audit.Record
	payload audit.Payload
	// accepted is closed when the record is on a disk, or buffered because no disk can be
	// reached. It is nil for records that no caller waits for.
	accepted chan struct{}
	// buffered is set once the record is held in memory because no disk could be reached.
	buffered bool
	// firstCopyVM is the VM that has the first copy on its disk.
	firstCopyVM core.VMID
}

// New starts an Auditor. The returned function stops it, after it has sent the queued
// records or after Options.Flush.
func New(options Options) (*Auditor, func()) {
	if options.Queue <= 0 {
		options.Queue = defaultQueue
	}
	if options.Copies <= 0 {
		options.Copies = defaultCopies
	}
	if options.Flush <= 0 {
		options.Flush = defaultFlush
	}
	if options.CopyDelay <= 0 {
		options.CopyDelay = defaultCopyDelay
	}
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	auditor := &Auditor{
		options: options, targets: newTargets(options.Self, options.Members),
		ctx: ctx, cancel: cancel, failedVMs: make(map[core.VMID]bool),
		wakeQueue: make(chan struct{}, 1), wakeCopy: make(chan struct{}, 1),
		wakeProbe: make(chan struct{}, 1), startWaiting: make(chan struct{}, 1),
	}
	auditor.senders.Go(auditor.sendQueue)
	auditor.senders.Go(auditor.sendCopies)
	auditor.running.Go(auditor.probeFailed)
	return auditor, auditor.close
}

// Start numbers and queues a start record, and returns after it is synced on a disk, or
// buffered if no disk can be reached. If it returns an error, the run must not begin. The
// error is ErrFull if the queue is full, ErrClosed if the auditor is closed, and wraps the
// context's error if the context ends first; in this last case Start also queues an end
// record with the outcome not_run.
func (auditor *Auditor) Start(ctx context.Context, record audit.Record) error {
	accepted := make(chan struct{})
	if _, err := auditor.enqueueStart(record, accepted); err != nil {
		return err
	}
	select {
	case <-accepted:
		return nil
	case <-ctx.Done():
		auditor.endNotRun(record)
		return errors.Wrap(ctx.Err(), "wait for audit record")
	case <-auditor.ctx.Done():
		return ErrClosed
	}
}

// SetMembers replaces the list of VMs of the deployment.
func (auditor *Auditor) SetMembers(members []Member) {
	auditor.mutex.Lock()
	auditor.targets = newTargets(auditor.options.Self, members)
	for vm := range auditor.failedVMs {
		if !slices.ContainsFunc(members, func(member Member) bool { return member.VM == vm }) {
			delete(auditor.failedVMs, vm)
		}
	}
	auditor.mutex.Unlock()
	wake(auditor.wakeQueue)
	wake(auditor.wakeCopy)
}

// StartWithin numbers and queues a start record like Start, but waits no longer than
// limit or until the context ends, and then returns nil; it does not wait if limit is 0.
// A record that is not on a disk by then is delivered later, and is lost if this VM is
// lost before. If StartWithin returns an error, which is ErrFull or ErrClosed, the run
// must not begin.
func (auditor *Auditor) StartWithin(ctx context.Context, record audit.Record, limit time.Duration) error {
	if limit <= 0 {
		_, err := auditor.enqueueStart(record, nil)
		return err
	}
	accepted := make(chan struct{})
	if _, err := auditor.enqueueStart(record, accepted); err != nil {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-accepted:
	case <-timer.C:
		lateStartsTotal.Inc()
	case <-ctx.Done():
	}
	return nil
}

// enqueueStart numbers and queues a start record and returns it with its number.
func (auditor *Auditor) enqueueStart(record audit.Record, accepted chan struct{}) (audit.Record, error) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if auditor.closed {
		return record, ErrClosed
	}
	if len(auditor.queue)+auditor.openStarts+2 > auditor.options.Queue {
		refusedTotal.Inc()
		return record, ErrFull
	}
	auditor.openStarts++
	return auditor.enqueue(record, accepted), nil
}

// endNotRun queues the end record for a start whose caller stopped waiting.
func (auditor *Auditor) endNotRun(record audit.Record) {
	record.Event, record.Outcome, record.Code = audit.EventEnd, core.NotRun.String(), core.CodeAuditUnavailable
	record.At = time.Now().UnixMilli()
	auditor.End(record)
}

// End numbers and queues an end record or a refusal without waiting for its delivery. A
// refusal is dropped if the queue is full; an end record always has a reserved place.
func (auditor *Auditor) End(record audit.Record) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if record.Event == audit.EventEnd {
		auditor.openStarts = max(0, auditor.openStarts-1)
	} else if len(auditor.queue)+auditor.openStarts >= auditor.options.Queue {
		refusedTotal.Inc()
		return
	}
	auditor.enqueue(record, nil)
}

// RecordEvent numbers and queues a record that belongs to no run, without waiting for its
// delivery. The record is dropped if the queue is full or the auditor is closed.
func (auditor *Auditor) RecordEvent(record audit.Record) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if auditor.closed || len(auditor.queue)+auditor.openStarts >= auditor.options.Queue {
		refusedTotal.Inc()
		return
	}
	auditor.enqueue(record, nil)
}

// enqueue numbers the record, appends it to the queue and returns it with its number. The texts that
// callers choose are bounded, as the queue is bounded by the number of records. The caller holds the
// mutex.
func (auditor *Auditor) enqueue(record audit.Record, accepted chan struct{}) audit.Record {
	auditor.sequence++
	record = record.Bounded()
	record.VM, record.Incarnation, record.Sequence = auditor.options.Self.VM, auditor.options.Incarnation, auditor.sequence
	auditor.queue = append(auditor.queue, &pendingRecord{record: record, accepted: accepted})
	queueLength.Set(float64(len(auditor.queue)))
	wake(auditor.wakeQueue)
	if accepted != nil {
		wake(auditor.startWaiting)
	}
	return record
}

// wake puts a token into a channel of capacity 1 unless it already holds one.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Stats holds the queue lengths and counters of an Auditor.
type Stats struct {
	// Queued is the number of records that are on no disk yet, and Copies of those whose
	// second copy is not acknowledged yet.
	Queued int
	Copies int
	// Numbered counts the records numbered since New.
	Numbered uint64
	// DroppedCopies counts second copies that were dropped because Options.Copies was
	// exceeded.
	DroppedCopies uint64
}

// Stats returns the current queue lengths and counters.
func (auditor *Auditor) Stats() Stats {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	return Stats{len(auditor.queue), len(auditor.copies), auditor.sequence, auditor.droppedCopies}
}

// close stops the goroutines after they have sent the queued records or after
// Options.Flush.
func (auditor *Auditor) close() {
	auditor.mutex.Lock()
	auditor.closed = true
	auditor.mutex.Unlock()
	wake(auditor.wakeQueue)
	wake(auditor.wakeCopy)
	wake(auditor.startWaiting)
	stopped := make(chan struct{})
	go func() {
		auditor.senders.Wait()
		close(stopped)
	}()
	timer := time.NewTimer(auditor.options.Flush)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		stats := auditor.Stats()
		auditor.options.Logger.Warn("Audit records were not delivered.", "queued", stats.Queued, "copies", stats.Copies)
	}
	auditor.cancel()
	<-stopped
	auditor.running.Wait()
}

// Metrics, which all auditors of the process share.
var (
	recordsTotal       = metrics.GetOrCreateCounter("dandelionring_audit_records_total")
	copiesTotal        = metrics.GetOrCreateCounter("dandelionring_audit_copies_total")
	bufferedTotal      = metrics.GetOrCreateCounter("dandelionring_audit_buffered_total")
	lateStartsTotal    = metrics.GetOrCreateCounter("dandelionring_audit_late_starts_total")
	refusedTotal       = metrics.GetOrCreateCounter("dandelionring_audit_refused_total")
	queueLength        = metrics.GetOrCreateGauge("dandelionring_audit_queue_length", nil)
	copiesWaiting      = metrics.GetOrCreateGauge("dandelionring_audit_copies_waiting", nil)
	copiesDroppedTotal = metrics.GetOrCreateCounter("dandelionring_audit_copies_dropped_total")
)
