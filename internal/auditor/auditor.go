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

// caller asks another VM.
type caller interface {
	Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error)
}

// store keeps records on this VM's disk. Append returns after the sync.
type store interface {
	Append(ctx context.Context, payloads ...audit.Payload) error
}

const (
	defaultQueue = 32768
	// defaultCopies bounds the second copies that wait for their acknowledgement.
	defaultCopies = 65536
	// batchRecords and batchBytes keep a batch below the 4 MiB of a peer frame.
	batchRecords = 1024
	batchBytes   = 1 << 20
	// gatherDelay follows a batch of at least gatherFrom records, so that a busy VM
	// does not spend its processors on fsyncs. A VM that is not busy does not wait.
	gatherDelay = 2 * time.Millisecond
	gatherFrom  = 8
	// copyDelay gathers second copies, which nobody waits for, so that the other VM
	// syncs 50 times a second instead of with every batch.
	copyDelay = 20 * time.Millisecond
	// callTimeout is above a slow fsync and below the deadline of most requests.
	callTimeout = time.Second
	// retryAfter is the time between two probes of a VM that failed.
	retryAfter = time.Second
	// defaultFlush bounds the end of a VM that can reach no disk.
	defaultFlush = 5 * time.Second
)

// ErrFull is returned by Start if too many records wait for a disk.
var ErrFull = errors.New("too many audit records wait for a disk")

// ErrClosed is returned by Start after the auditor was closed.
var ErrClosed = errors.New("the auditor is closed")

// Options configure an auditor. Zero numbers mean the defaults.
type Options struct {
	Self        Member
	Incarnation core.Incarnation
	// Members are all VMs of the deployment, this one included.
	Members []Member
	// Store is nil if this VM has no disk.
	Store  store
	Caller caller
	Logger *log.Logger
	// Queue bounds the records that are on no disk, and Copies those on one.
	Queue  int
	Copies int
	// Gather is the pause after a batch while no start waits. By default there is none
	// for a VM that is not busy.
	Gather time.Duration
	// Flush bounds the time for which the end of the auditor waits for disks; 5 s by
	// default.
	Flush time.Duration
	// CopyDelay is the pause after a batch of second copies; 20 ms by default.
	CopyDelay time.Duration
}

// Auditor takes the records of one VM to disks. Use New; the zero value is not
// usable.
type Auditor struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// senders are the goroutines that end by themselves after all is sent; running
	// are the others.
	senders sync.WaitGroup
	running sync.WaitGroup
	// wakeShip and wakeCopy hold one token if there is work.
	wakeShip chan struct{}
	wakeCopy chan struct{}
	// urgent holds one token if a start waits.
	urgent chan struct{}
	// wakeProbe holds one token if a VM failed.
	wakeProbe chan struct{}

	// mutex is number 4 in the lock order of a VM. It guards everything below.
	mutex    sync.Mutex
	targets  targets
	closed   bool
	sequence uint64
	// open is the number of starts whose end is not in the queue yet. Each of them
	// has a place reserved, so that an end is never dropped.
	open   int
	queue  []*item
	copies []*item
	// held is the number of records at the front of the queue that are buffered, so
	// that a long cut does not scan them again for each new record.
	held int
	// failed holds the VMs that did not take records when last asked.
	failed map[core.VMID]bool
	drops  uint64
}

// item is one record on its way.
type item struct {
	record  audit.Record
	payload audit.Payload
	// accepted is closed when the record is on a disk, or in the memory of two VMs
	// if no disk can be reached. It is nil for records that nobody waits for.
	accepted chan struct{}
	// held is set once the record is buffered.
	held bool
	// holder is the disk VM that has the first copy.
	holder core.VMID
}

// New returns an auditor and the function that sends what waits, for Options.Flush at
// most, and stops it.
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
		options.CopyDelay = copyDelay
	}
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	auditor := &Auditor{
		options: options, targets: newTargets(options.Self, options.Members),
		ctx: ctx, cancel: cancel, failed: make(map[core.VMID]bool),
		wakeShip: make(chan struct{}, 1), wakeCopy: make(chan struct{}, 1),
		wakeProbe: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
	auditor.senders.Go(auditor.ship)
	auditor.senders.Go(auditor.sendCopies)
	auditor.running.Go(auditor.probe)
	return auditor, auditor.close
}

// Start numbers a record and returns after it is synced on a disk, or buffered if no
// disk can be reached. If it returns an error, the run must not begin; an end with
// the outcome not_run then follows by itself.
func (auditor *Auditor) Start(ctx context.Context, record audit.Record) error {
	accepted := make(chan struct{})
	if err := auditor.enqueueStart(record, accepted); err != nil {
		return err
	}
	select {
	case <-accepted:
		return nil
	case <-ctx.Done():
		auditor.abandon(record)
		return errors.Wrap(ctx.Err(), "wait for audit record")
	case <-auditor.ctx.Done():
		return ErrClosed
	}
}

// SetMembers replaces the VMs of the deployment, where they change while the VM runs.
func (auditor *Auditor) SetMembers(members []Member) {
	auditor.mutex.Lock()
	auditor.targets = newTargets(auditor.options.Self, members)
	for vm := range auditor.failed {
		if !slices.ContainsFunc(members, func(member Member) bool { return member.VM == vm }) {
			delete(auditor.failed, vm)
		}
	}
	auditor.mutex.Unlock()
	wake(auditor.wakeShip)
	wake(auditor.wakeCopy)
}

// Begin numbers a record like Start, but waits for limit at most; zero does not wait at
// all. A record that is on no disk by then follows later, and is lost if this VM is lost
// before. An error means that the run must not begin.
func (auditor *Auditor) Begin(ctx context.Context, record audit.Record, limit time.Duration) error {
	if limit <= 0 {
		return auditor.enqueueStart(record, nil)
	}
	accepted := make(chan struct{})
	if err := auditor.enqueueStart(record, accepted); err != nil {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-accepted:
	case <-timer.C:
		late.Inc()
	case <-ctx.Done():
	}
	return nil
}

func (auditor *Auditor) enqueueStart(record audit.Record, accepted chan struct{}) error {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if auditor.closed {
		return ErrClosed
	}
	if len(auditor.queue)+auditor.open+2 > auditor.options.Queue {
		refused.Inc()
		return ErrFull
	}
	auditor.open++
	auditor.enqueue(record, accepted)
	return nil
}

// abandon ends a start that its caller did not wait for.
func (auditor *Auditor) abandon(record audit.Record) {
	record.Event, record.Outcome, record.Code = audit.EventEnd, core.NotRun.String(), core.CodeAuditUnavailable
	record.At = time.Now().UnixMilli()
	auditor.End(record)
}

// End numbers a record and sends it without waiting. A refusal is dropped if the
// queue is full; the end of a start has its place.
func (auditor *Auditor) End(record audit.Record) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if record.Event == audit.EventEnd {
		auditor.open = max(0, auditor.open-1)
	} else if len(auditor.queue)+auditor.open >= auditor.options.Queue {
		refused.Inc()
		return
	}
	auditor.enqueue(record, nil)
}

// Note numbers a record that belongs to no run and sends it without waiting. It is dropped
// if the queue is full.
func (auditor *Auditor) Note(record audit.Record) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if auditor.closed || len(auditor.queue)+auditor.open >= auditor.options.Queue {
		refused.Inc()
		return
	}
	auditor.enqueue(record, nil)
}

// enqueue gives the record its number. The caller holds the lock.
func (auditor *Auditor) enqueue(record audit.Record, accepted chan struct{}) {
	auditor.sequence++
	record.VM, record.Incarnation, record.Sequence = auditor.options.Self.VM, auditor.options.Incarnation, auditor.sequence
	auditor.queue = append(auditor.queue, &item{record: record, accepted: accepted})
	queued.Set(float64(len(auditor.queue)))
	wake(auditor.wakeShip)
	if accepted != nil {
		wake(auditor.urgent)
	}
}

// wake leaves a token for a goroutine that waits for work.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Stats describes what is on its way.
type Stats struct {
	// Queued records are on no disk, Copies on one.
	Queued int
	Copies int
	// Numbered counts the records since the start.
	Numbered uint64
	// DroppedCopies counts second copies that were given up.
	DroppedCopies uint64
}

// Stats returns the state of the queues.
func (auditor *Auditor) Stats() Stats {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	return Stats{len(auditor.queue), len(auditor.copies), auditor.sequence, auditor.drops}
}

// close lets the goroutines send what waits before it stops them.
func (auditor *Auditor) close() {
	auditor.mutex.Lock()
	auditor.closed = true
	auditor.mutex.Unlock()
	wake(auditor.wakeShip)
	wake(auditor.wakeCopy)
	wake(auditor.urgent)
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

// The metrics of all auditors of the process.
var (
	delivered = metrics.GetOrCreateCounter("dandelionring_audit_records_total")
	copied    = metrics.GetOrCreateCounter("dandelionring_audit_copies_total")
	buffered  = metrics.GetOrCreateCounter("dandelionring_audit_buffered_total")
	late      = metrics.GetOrCreateCounter("dandelionring_audit_late_starts_total")
	refused   = metrics.GetOrCreateCounter("dandelionring_audit_refused_total")
	queued    = metrics.GetOrCreateGauge("dandelionring_audit_queue_length", nil)
	waiting   = metrics.GetOrCreateGauge("dandelionring_audit_copies_waiting", nil)
	dropped   = metrics.GetOrCreateCounter("dandelionring_audit_copies_dropped_total")
)
