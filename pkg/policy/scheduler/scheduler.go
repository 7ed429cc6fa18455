package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
	"github.com/dandelionring/dandelionring/pkg/policy/popularity"
	"github.com/dandelionring/dandelionring/pkg/policy/queue"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
)

// none marks an index that refers to nothing.
const none = indexheap.None

// Scheduler decides for one upstream group. Create it with New. It is not safe
// for concurrent use, and times passed to it must not decrease.
type Scheduler struct {
	config    Config
	started   time.Time
	names     *popularity.Table
	adapters  []adapter
	slab      []place
	arrivals  popularity.Rate
	queue     *queue.Queue
	budget    *budget.Budget
	model     routing.Model
	upstreams []upstream
	index     map[core.UpstreamID]int32
	runs      []assignment
	freeRuns  []int32
	attempts  map[core.AttemptID]int32
	// demands holds adapters that calls wait for and that may be loaded now,
	// delayed those whose load failed lately, and cold those that are resident
	// nowhere, the most popular first.
	demands indexheap.Heap
	delayed indexheap.Heap
	cold    indexheap.Heap
	// epochs numbers the incarnations seen, so that a run of an earlier incarnation
	// is told from one of the present.
	epochs uint32
	// present is the end of the last time in which an upstream was usable. It is in
	// the future while the lease of an announcement that counted for it runs.
	present time.Time
	actions []Action
	stats   Stats
}

// adapter is the state of one adapter version, under its id in names.
type adapter struct {
	// copies are the usable copies; the order has no meaning.
	copies []place
	// occupied counts the slots of live incarnations that hold or load it.
	occupied int
	loading  int
	failures int
	// avoid is the upstream of the last failed load.
	avoid   int32
	retryAt time.Time
	// available is the time at which it last became resident somewhere.
	available time.Time
	demand    placement.Demand
	demandAt  int32
	delayedAt int32
	coldAt    int32
	// forecast is the expected rate at the time forecastAt.
	forecast   core.RequestsPerSecond
	forecastAt time.Time
	// anywhere is set for the entry of calls that need no adapter.
	anywhere bool
}

// place names one slot of one upstream.
type place struct{ upstream, slot int32 }

// assignment is a call that was assigned to an upstream and has not ended.
type assignment struct {
	call     queue.Entry
	upstream int32
	slot     int32
	epoch    uint32
	started  bool
	at       time.Time
}

// New returns a scheduler for a group that was taken over at the time start.
func New(config Config, start time.Time) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:   config,
		started:  start,
		present:  start,
		names:    popularity.New(start, config.AdapterLimit),
		queue:    queue.New(config.QueueLimit),
		budget:   budget.New(config.Budget, start),
		index:    make(map[core.UpstreamID]int32),
		attempts: make(map[core.AttemptID]int32),
		actions:  make([]Action, 0, firstActions),
	}
}

// firstActions is the number of actions for which there is room from the start. A
// load that ends can send many calls at once.
const firstActions = 256

// SetBudget changes the group's share of the store's limit.
func (scheduler *Scheduler) SetBudget(share budget.Share, now time.Time) {
	if share.LoadTime == 0 {
		share.LoadTime = scheduler.config.Budget.LoadTime
	}
	scheduler.budget.SetShare(share, now)
	scheduler.settle(now)
}

// CacheEvents takes in prefix cache events of an engine. Events of another
// incarnation than the present one are dropped.
func (scheduler *Scheduler) CacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []routing.CacheEvent) {
	at, known := scheduler.index[id]
	if !known || scheduler.upstreams[at].incarnation != incarnation {
		return
	}
	scheduler.upstreams[at].prefixes.Apply(events)
}

// adapter returns the id of an adapter version, or none if the table is full.
func (scheduler *Scheduler) adapter(name core.AdapterVersion) int32 {
	id, fresh := scheduler.names.ID(name)
	if !fresh {
		return id
	}
	if int(id) >= len(scheduler.adapters) {
		scheduler.adapters = append(scheduler.adapters, adapter{copies: scheduler.copyPlaces(), demandAt: none, delayedAt: none, coldAt: none})
	}
	entry := &scheduler.adapters[id]
	if entry.coldAt != none {
		scheduler.cold.Remove((*coldOrder)(scheduler), entry.coldAt)
	}
	copies := entry.copies[:0]
	*entry = adapter{copies: copies, avoid: none, demandAt: none, delayedAt: none, coldAt: none, anywhere: name.IsZero()}
	scheduler.review(id, time.Time{})
	return id
}

const (
	// adapterCopies is the number of copies for which an adapter has room from the
	// start. Without it, the first load of each adapter would allocate.
	adapterCopies = 4
	// slabAdapters is the number of adapters whose copies are allocated together.
	slabAdapters = 1024
)

func (scheduler *Scheduler) copyPlaces() []place {
	if len(scheduler.slab) == 0 {
		scheduler.slab = make([]place, adapterCopies*slabAdapters)
	}
	places := scheduler.slab[:0:adapterCopies]
	scheduler.slab = scheduler.slab[adapterCopies:]
	return places
}

type demandOrder Scheduler

func (order *demandOrder) Less(a, b int32) bool {
	return order.adapters[a].demand.Before(order.adapters[b].demand)
}

func (order *demandOrder) Moved(id, at int32) { order.adapters[id].demandAt = at }

type delayedOrder Scheduler

func (order *delayedOrder) Less(a, b int32) bool {
	return order.adapters[a].retryAt.Before(order.adapters[b].retryAt)
}

func (order *delayedOrder) Moved(id, at int32) { order.adapters[id].delayedAt = at }

type coldOrder Scheduler

func (order *coldOrder) Less(a, b int32) bool { return order.names.Score(a) > order.names.Score(b) }

func (order *coldOrder) Moved(id, at int32) { order.adapters[id].coldAt = at }
