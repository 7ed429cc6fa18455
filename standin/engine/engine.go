package engine

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// Settings describe one engine. Upstream, Zone, Model, Slots, BatchSize and
// TokenTime must be set.
type Settings struct {
	Upstream  core.UpstreamID
	Zone      core.ZoneID
	Model     core.ModelID
	Address   string
	Slots     int
	BatchSize int
	// TokenTime is the duration of one step of the batch.
	TokenTime time.Duration
	// Store is the address of the weight store. If it is empty, a load takes
	// LoadTime.
	Store         string
	LoadTime      time.Duration
	ChecksFencing bool
	Resumes       bool
	// Software is the version of the engine's software. The tokens depend on it.
	Software core.SoftwareVersion
	// PrefixBlocks is the capacity of the prefix cache in blocks of 256 bytes.
	PrefixBlocks int
	// PrefillBlocks is the number of uncached blocks that one step can process;
	// zero means no limit.
	PrefillBlocks int
	// EventDelay is the interval at which cache events are published, and so their
	// maximum age; zero disables them. EventLoss is the share of events that is lost.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the age of the load report in an announcement.
	ReportLag time.Duration
	VMs       []string
	VMToken   string
}

// DefaultSoftware is the software version of the stand-in programs.
const DefaultSoftware core.SoftwareVersion = "1"

// Counts holds the counters of an engine since its start.
type Counts struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Runs        int
	Resumed     int
	Whole       int
	Cancelled   int
	Loads       int
	LoadsFailed int
	Evictions   int
	Tokens      int64
	Steps       int64
	Fenced      int
	// BatchEfficiency is the mean share of the batch that was in use per step.
	BatchEfficiency float64
	Violations      Violations
}

// Violations counts the requests and orders that an engine must never receive.
type Violations struct {
	// EvictedInUse counts eviction orders for an adapter version in use.
	EvictedInUse int
	// StaleOrders counts accepted orders and requests with a fencing token below the
	// largest one received.
	StaleOrders int
	// NotResident counts requests for an adapter version that is not resident. It
	// excludes those within the lease after a start, when the owner of the engine
	// may not know of the restart yet.
	NotResident int
	// WorkWhileLeaving counts requests that arrive later than one lease after the
	// engine announced that it leaves.
	WorkWhileLeaving int
	// RepeatedAttempts counts requests whose attempt ID was received before.
	RepeatedAttempts int
}

// lease is the time after which the owner of the engine must have the content of an
// announcement.
const lease = 3 * time.Second

// slot holds one adapter version. ready is closed when its load ends.
type slot struct {
	ready    chan struct{}
	resident bool
	// users is the number of attempts in the queue and in the batch that use the
	// adapter version.
	users int
}

// Engine simulates one engine process. It is safe for concurrent use. exit is called
// when the batch runs a request with CrashMarker in its prompt.
type Engine struct {
	settings    Settings
	incarnation core.Incarnation
	journal     *journal.Writer
	exit        func(code int)
	started     time.Time
	// wake signals that the queue has a new attempt.
	wake chan struct{}

	// mu guards the fields below. Only the lock of the journal may be taken while it
	// is held.
	mu           sync.Mutex
	slots        map[core.AdapterVersion]*slot
	queue        []*attempt
	batch        []*attempt
	attempts     map[core.AttemptID]*attempt
	seenAttempts map[core.AttemptID]bool
	cache        *prefixCache
	lastToken    core.FencingToken
	faults       Faults
	leavingSince time.Time
	counts       Counts
	batchSizeSum int64
	reports      []report
}

// New returns an engine without adapters and with a new random incarnation. It
// records its events in the journal that writer returns for the incarnation.
func New(settings Settings, writer func(core.Incarnation) *journal.Writer, exit func(code int)) *Engine {
	incarnation := core.Incarnation(rand.Text())
	engine := &Engine{
		settings:     settings,
		incarnation:  incarnation,
		journal:      writer(incarnation),
		exit:         exit,
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		slots:        make(map[core.AdapterVersion]*slot),
		attempts:     make(map[core.AttemptID]*attempt),
		seenAttempts: make(map[core.AttemptID]bool),
		cache:        newPrefixCache(settings.PrefixBlocks),
		counts:       Counts{Upstream: settings.Upstream, Incarnation: incarnation},
	}
	engine.journal.Add(journal.Entry{Event: journal.Start})
	return engine
}

// Run runs the batch and announces the engine until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { engine.runBatch(ctx) })
	group.Go(func() { engine.runAnnouncements(ctx) })
	group.Wait()
}

// Counts returns the current counters.
func (engine *Engine) Counts() Counts {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	counts := engine.counts
	if counts.Steps > 0 {
		counts.BatchEfficiency = float64(engine.batchSizeSum) / float64(counts.Steps*int64(engine.settings.BatchSize))
	}
	return counts
}

// recordViolation increments the counter and writes the violation to the journal.
// The caller must hold the lock.
func (engine *Engine) recordViolation(counter *int, detail string, attempt core.AttemptID, av core.AdapterVersion) {
	*counter++
	engine.journal.Add(journal.Entry{Event: journal.Violation, Detail: detail, Attempt: attempt, Adapter: av.Adapter, Version: av.Version})
}
