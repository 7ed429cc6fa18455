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

// none is the index of no adapter, upstream, slot or heap position.
const none = indexheap.None

// Scheduler schedules the calls and adapter loads of one upstream group. Create it
// with New. It is not safe for concurrent use, and times passed to it must not
// decrease.
type Scheduler struct {
	config            Config
	startedAt         time.Time
	popularity        *popularity.Table
	adapters          []adapter
	copyStorage       []slotRef
	arrivals          popularity.Rate
	queue             *queue.Queue
	budget            *budget.Budget
	latencyModel      routing.LatencyModel
	upstreams         []upstream
	upstreamIndices   map[core.UpstreamID]int32
	assignments       []assignment
	freeAssignments   []int32
	assignmentIndices map[core.AttemptID]int32
	// reportedRunning maps the adapters of a load report that are not matched to a
	// slot yet to the numbers of their running calls. Only reconcile and the
	// functions that it calls use it.
	reportedRunning map[int32]int
	// demandHeap holds the adapters that need a load and may be loaded now, the
	// largest demand first. backoffHeap holds those that need a load but are in
	// backoff after a failed one, the earliest retry first. coldHeap holds the
	// adapters that are neither resident nor being loaded, the most popular first.
	demandHeap  indexheap.Heap
	backoffHeap indexheap.Heap
	coldHeap    indexheap.Heap
	// lastEpoch numbers the incarnations seen, to distinguish an assignment to an
	// earlier incarnation from one to the current incarnation.
	lastEpoch uint32
	// usableUntil is the end of the last period in which an upstream was usable. It
	// may be in the future, at the end of the lease of a known announcement.
	usableUntil time.Time
	actions     []Action
	stats       Stats
}

// adapter is the state of one adapter version. Its index is the id of the adapter
// version in the popularity table, which is also its lane in the queue.
type adapter struct {
	// copies are the slots of usable upstreams that hold the adapter, in no order.
	copies []slotRef
	// occupiedSlots counts the slots of current incarnations that hold the adapter in
	// any state.
	occupiedSlots int
	// pendingLoads counts the loads that are running or wait for an eviction.
	pendingLoads int
	// failedLoads counts the failed loads since the last successful one.
	failedLoads int
	// avoidUpstream is the upstream of the last failed load.
	avoidUpstream int32
	retryAt       time.Time
	// residentSince is the time at which the adapter last went from no usable copy to
	// one.
	residentSince   time.Time
	demand          placement.Demand
	demandPosition  int32
	backoffPosition int32
	coldPosition    int32
	// forecast is the expected arrival rate, computed at forecastAt. A zero
	// forecastAt means that it must be computed again.
	forecast   core.RequestsPerSecond
	forecastAt time.Time
	// anyUpstream is set for the entry of calls that need no adapter.
	anyUpstream bool
}

// slotRef identifies a slot of an upstream. The slot is none for a call that needs
// no adapter.
type slotRef struct{ upstream, slot int32 }

// assignment is a call that was assigned to an upstream and has not ended. It pins
// the copy in its slot. The field since is the time of the assignment, or of the
// start once started is set.
type assignment struct {
	call     queue.Entry
	upstream int32
	slot     int32
	epoch    uint32
	started  bool
	// continues is set for a call that continues an answer and so did not wait in the queue.
	continues bool
	since     time.Time
}

// New returns a scheduler for a group that this VM owns since the time start.
func New(config Config, start time.Time) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:            config,
		startedAt:         start,
		usableUntil:       start,
		popularity:        popularity.New(start, config.AdapterLimit),
		queue:             queue.New(config.QueueLimit),
		budget:            budget.New(config.Budget, start),
		upstreamIndices:   make(map[core.UpstreamID]int32),
		assignmentIndices: make(map[core.AttemptID]int32),
		reportedRunning:   make(map[int32]int),
		actions:           make([]Action, 0, initialActionCapacity),
	}
}

// initialActionCapacity is the initial capacity of the list of actions. It is large
// because the end of one load can send many calls at once.
const initialActionCapacity = 256

// SetBudget changes the group's share of the store's load limit. A zero LoadTime
// keeps the load time of the configuration.
func (scheduler *Scheduler) SetBudget(share budget.Share, now time.Time) {
	if share.LoadTime == 0 {
		share.LoadTime = scheduler.config.Budget.LoadTime
	}
	scheduler.budget.SetShare(share, now)
	scheduler.processDue(now)
}

// ApplyCacheEvents applies prefix cache events of an engine. It ignores events of an
// unknown upstream or of an incarnation other than the current one.
func (scheduler *Scheduler) ApplyCacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []routing.CacheEvent) {
	upstreamIndex, known := scheduler.upstreamIndices[id]
	if !known || scheduler.upstreams[upstreamIndex].incarnation != incarnation {
		return
	}
	scheduler.upstreams[upstreamIndex].cache.Apply(events)
}

// adapterID returns the id of an adapter version and adds the version to the table
// if it is new. It returns none if the table is full and every entry is in use.
func (scheduler *Scheduler) adapterID(name core.AdapterVersion) int32 {
	id, created := scheduler.popularity.ID(name)
	if !created {
		return id
	}
	if int(id) >= len(scheduler.adapters) {
		scheduler.adapters = append(scheduler.adapters, adapter{copies: scheduler.newCopyList(), demandPosition: none, backoffPosition: none, coldPosition: none})
	}
	entry := &scheduler.adapters[id]
	if entry.coldPosition != none {
		scheduler.coldHeap.Remove((*coldOrder)(scheduler), entry.coldPosition)
	}
	copies := entry.copies[:0]
	*entry = adapter{copies: copies, avoidUpstream: none, demandPosition: none, backoffPosition: none, coldPosition: none, anyUpstream: name.IsZero()}
	scheduler.updateHeaps(id, time.Time{})
	return id
}

const (
	// initialCopyCapacity is the initial capacity of an adapter's list of copies.
	// Without it, the first load of each adapter would allocate.
	initialCopyCapacity = 4
	// adaptersPerAllocation is the number of adapters whose lists of copies share
	// one allocation.
	adaptersPerAllocation = 1024
)

// newCopyList returns an empty list with the capacity initialCopyCapacity.
func (scheduler *Scheduler) newCopyList() []slotRef {
	if len(scheduler.copyStorage) == 0 {
		scheduler.copyStorage = make([]slotRef, initialCopyCapacity*adaptersPerAllocation)
	}
	copies := scheduler.copyStorage[:0:initialCopyCapacity]
	scheduler.copyStorage = scheduler.copyStorage[initialCopyCapacity:]
	return copies
}

// demandOrder orders demandHeap, the adapter to load first at the top.
type demandOrder Scheduler

func (order *demandOrder) Less(a, b int32) bool {
	return order.adapters[a].demand.Before(order.adapters[b].demand)
}

func (order *demandOrder) SetPosition(id, position int32) {
	order.adapters[id].demandPosition = position
}

// backoffOrder orders backoffHeap by the time of the next attempt, the earliest at
// the top.
type backoffOrder Scheduler

func (order *backoffOrder) Less(a, b int32) bool {
	return order.adapters[a].retryAt.Before(order.adapters[b].retryAt)
}

func (order *backoffOrder) SetPosition(id, position int32) {
	order.adapters[id].backoffPosition = position
}

// coldOrder orders coldHeap by popularity, the most popular adapter at the top.
type coldOrder Scheduler

func (order *coldOrder) Less(a, b int32) bool {
	return order.popularity.Score(a) > order.popularity.Score(b)
}

func (order *coldOrder) SetPosition(id, position int32) { order.adapters[id].coldPosition = position }
