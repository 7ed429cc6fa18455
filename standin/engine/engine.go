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
	// TokenTime is the time of one step of the batch.
	TokenTime time.Duration
	// Store is the address of the weight store; without one a load takes LoadTime.
	Store         string
	LoadTime      time.Duration
	ChecksFencing bool
	Resumes       bool
	// PrefixBlocks is the memory of the prefix cache.
	PrefixBlocks int
	// PrefillBlocks is the number of uncached blocks that one step can process.
	PrefillBlocks int
	// EventDelay is the age at which cache events are published, EventLoss the
	// share of them that is lost.
	EventDelay time.Duration
	EventLoss  float64
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	VMs       []string
	VMToken   string
}

// Counts is what an engine saw since it started.
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

// Violations counts what an engine must never see.
type Violations struct {
	// EvictedInUse counts eviction orders for an adapter version in use.
	EvictedInUse int
	// StaleOrders counts accepted orders with a fencing token below the largest seen.
	StaleOrders int
	// NotResident counts requests for an adapter version that is not resident,
	// except within the lease after a start, when the owner cannot know of it.
	NotResident int
	// WorkWhileLeaving counts requests more than the lease after the engine
	// announced that it leaves.
	WorkWhileLeaving int
	// RepeatedAttempts counts attempts that were sent twice.
	RepeatedAttempts int
}

// lease is the time after which the owner must know what an announcement said.
const lease = 3 * time.Second

// slot is a place for one adapter version. ready is closed when the load ended.
type slot struct {
	ready    chan struct{}
	resident bool
	// users counts the attempts in the queue and in the batch.
	users int
}

// Engine is a stand-in for one engine process. Exit is called when the batch
// runs a request with the crash marker.
type Engine struct {
	settings    Settings
	incarnation core.Incarnation
	journal     *journal.Writer
	exit        func(code int)
	started     time.Time
	// wake tells the batch that there is work.
	wake chan struct{}

	// mu guards everything below. No other lock is taken while it is held, except
	// that of the journal.
	mu           sync.Mutex
	slots        map[core.AdapterVersion]*slot
	queue        []*attempt
	batch        []*attempt
	attempts     map[core.AttemptID]*attempt
	seen         map[core.AttemptID]bool
	cache        *prefixCache
	lastToken    core.FencingToken
	faults       Faults
	leavingSince time.Time
	counts       Counts
	filled       int64
	reports      []report
}

// New returns an empty engine that writes what it saw to the journal.
func New(settings Settings, writer func(core.Incarnation) *journal.Writer, exit func(code int)) *Engine {
	incarnation := core.Incarnation(rand.Text())
	engine := &Engine{
		settings:    settings,
		incarnation: incarnation,
		journal:     writer(incarnation),
		exit:        exit,
		started:     time.Now(),
		wake:        make(chan struct{}, 1),
		slots:       make(map[core.AdapterVersion]*slot),
		attempts:    make(map[core.AttemptID]*attempt),
		seen:        make(map[core.AttemptID]bool),
		cache:       newPrefixCache(settings.PrefixBlocks),
		counts:      Counts{Upstream: settings.Upstream, Incarnation: incarnation},
	}
	engine.journal.Add(journal.Entry{Event: journal.Start})
	return engine
}

// Run steps the batch and announces the engine until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { engine.runBatch(ctx) })
	group.Go(func() { engine.runAnnouncements(ctx) })
	group.Wait()
}

// Counts returns what the engine saw until now.
func (engine *Engine) Counts() Counts {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	counts := engine.counts
	if counts.Steps > 0 {
		counts.BatchEfficiency = float64(engine.filled) / float64(counts.Steps*int64(engine.settings.BatchSize))
	}
	return counts
}

// violation records a violation. The caller holds the lock.
func (engine *Engine) violation(counter *int, detail string, attempt core.AttemptID, av core.AdapterVersion) {
	*counter++
	engine.journal.Add(journal.Entry{Event: journal.Violation, Detail: detail, Attempt: attempt, Adapter: av.Adapter, Version: av.Version})
}
