package queue

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
)

// Entry is a waiting call.
type Entry struct {
	Attempt  core.AttemptID
	Customer core.CustomerID
	Lane     int32
	Priority core.Priority
	Arrived  time.Time
	// Deadline is the latest time at which the call may still be sent.
	Deadline time.Time
	Suspect  bool
	Prefixes []uint64

	sequence uint64
	tag      float64
	laneAt   int32
	timeAt   int32
	worstAt  int32
}

// Queue is a bounded queue with one lane per adapter version. Create it with New.
type Queue struct {
	limit     int
	entries   []Entry
	free      []int32
	attempts  map[core.AttemptID]int32
	lanes     []indexheap.Heap
	slab      []int32
	deadlines indexheap.Heap
	worst     indexheap.Heap
	customers map[core.CustomerID]*customer
	// active counts the customers with waiting calls.
	active   int
	sequence uint64
	// virtual is the tag of the call served last.
	virtual float64
	waiting int
}

type customer struct {
	waiting int
	tag     float64
}

// New returns an empty queue for at most limit waiting calls.
func New(limit int) *Queue {
	return &Queue{
		limit:     limit,
		attempts:  make(map[core.AttemptID]int32),
		customers: make(map[core.CustomerID]*customer),
	}
}

// Push adds a call and returns its id. It returns false if the queue is full, if
// the customer is above its share of a queue that is more than half full, or if
// the attempt waits already.
func (queue *Queue) Push(call Entry) (int32, bool) {
	if _, waits := queue.attempts[call.Attempt]; waits || !queue.admits(call.Customer) {
		return indexheap.None, false
	}
	queue.sequence++
	call.sequence = queue.sequence
	owner := queue.customer(call.Customer)
	owner.tag = max(owner.tag, queue.virtual) + 1
	call.tag = owner.tag
	return queue.insert(call), true
}

// Return puts back a call that was taken but not sent, at its former place. A
// full queue does not refuse it.
func (queue *Queue) Return(call Entry) int32 { return queue.insert(call) }

func (queue *Queue) insert(call Entry) int32 {
	id := queue.slot()
	queue.entries[id] = call
	queue.attempts[call.Attempt] = id
	for int(call.Lane) >= len(queue.lanes) {
		queue.addLane()
	}
	queue.lanes[call.Lane].Push((*laneOrder)(queue), id)
	queue.deadlines.Push((*timeOrder)(queue), id)
	queue.worst.Push((*worstOrder)(queue), id)
	queue.enter(call.Customer)
	return id
}

// Remove takes a call out without serving it.
func (queue *Queue) Remove(id int32) Entry {
	call := queue.entries[id]
	queue.lanes[call.Lane].Remove((*laneOrder)(queue), call.laneAt)
	queue.deadlines.Remove((*timeOrder)(queue), call.timeAt)
	queue.worst.Remove((*worstOrder)(queue), call.worstAt)
	delete(queue.attempts, call.Attempt)
	queue.leave(call.Customer)
	queue.entries[id] = Entry{}
	queue.free = append(queue.free, id)
	return call
}

// Serve takes out the head of a lane, which must not be empty, and counts it as
// service of its customer.
func (queue *Queue) Serve(lane int32) Entry {
	id, _ := queue.lanes[lane].Top()
	call := queue.Remove(id)
	queue.virtual = max(queue.virtual, call.tag-1)
	return call
}

// Head returns the id of the next call of a lane.
func (queue *Queue) Head(lane int32) (int32, bool) {
	if int(lane) >= len(queue.lanes) {
		return indexheap.None, false
	}
	return queue.lanes[lane].Top()
}

// Entry returns a waiting call. The pointer is valid until the next change.
func (queue *Queue) Entry(id int32) *Entry { return &queue.entries[id] }

// Find returns the id of a waiting attempt.
func (queue *Queue) Find(attempt core.AttemptID) (int32, bool) {
	id, ok := queue.attempts[attempt]
	return id, ok
}

// LaneLen returns the number of calls that wait in a lane.
func (queue *Queue) LaneLen(lane int32) int {
	if int(lane) >= len(queue.lanes) {
		return 0
	}
	return queue.lanes[lane].Len()
}

// Len returns the number of waiting calls.
func (queue *Queue) Len() int { return queue.waiting }

// Earliest returns the waiting call with the earliest deadline.
func (queue *Queue) Earliest() (int32, bool) { return queue.deadlines.Top() }

// Before reports whether the head of a lane goes before that of another lane:
// by priority, then by the customers' fair shares, then by arrival.
func (queue *Queue) Before(a, b int32) bool {
	left, right := &queue.entries[a], &queue.entries[b]
	if left.Priority != right.Priority {
		return left.Priority > right.Priority
	}
	if left.tag != right.tag {
		return left.tag < right.tag
	}
	return left.sequence < right.sequence
}

// admits reports whether a customer may add a call. Up to half of the queue any
// customer may fill; beyond, each may use an equal part of the whole queue.
func (queue *Queue) admits(id core.CustomerID) bool {
	if queue.waiting < queue.limit/2 {
		return true
	}
	if queue.waiting >= queue.limit {
		return false
	}
	owner, known := queue.customers[id]
	if !known || owner.waiting == 0 {
		return true
	}
	return owner.waiting < max(1, queue.limit/queue.active)
}

// Displace returns the waiting call that makes room for one of the given
// priority in a full queue: the one of the lowest priority that came last. It
// returns false if the queue has room or every waiting call is as important.
func (queue *Queue) Displace(priority core.Priority) (int32, bool) {
	id, ok := queue.worst.Top()
	if !ok || queue.waiting < queue.limit || queue.entries[id].Priority >= priority {
		return indexheap.None, false
	}
	return id, true
}

func (queue *Queue) customer(id core.CustomerID) *customer {
	owner, known := queue.customers[id]
	if !known {
		owner = &customer{}
		queue.customers[id] = owner
	}
	return owner
}

func (queue *Queue) enter(id core.CustomerID) {
	owner := queue.customer(id)
	if owner.waiting == 0 {
		queue.active++
	}
	owner.waiting++
	queue.waiting++
}

func (queue *Queue) leave(id core.CustomerID) {
	owner := queue.customers[id]
	owner.waiting--
	queue.waiting--
	if owner.waiting == 0 {
		queue.active--
	}
	if queue.waiting == 0 && len(queue.customers) > maxIdleCustomers {
		clear(queue.customers)
	}
}

// maxIdleCustomers bounds the customers that an empty queue remembers.
const maxIdleCustomers = 4096

const (
	// lanePlaces is the number of waiting calls for which a lane has room from the
	// start. Without it, the first calls of each adapter would allocate.
	lanePlaces = 8
	// slabLanes is the number of lanes whose places are allocated together.
	slabLanes = 1024
)

func (queue *Queue) addLane() {
	if len(queue.slab) == 0 {
		queue.slab = make([]int32, lanePlaces*slabLanes)
	}
	queue.lanes = append(queue.lanes, indexheap.Over(queue.slab[:0:lanePlaces]))
	queue.slab = queue.slab[lanePlaces:]
}

func (queue *Queue) slot() int32 {
	if last := len(queue.free) - 1; last >= 0 {
		id := queue.free[last]
		queue.free = queue.free[:last]
		return id
	}
	queue.entries = append(queue.entries, Entry{})
	return int32(len(queue.entries) - 1)
}

type laneOrder Queue

func (order *laneOrder) Less(a, b int32) bool {
	left, right := &order.entries[a], &order.entries[b]
	if left.Priority != right.Priority {
		return left.Priority > right.Priority
	}
	return left.sequence < right.sequence
}

func (order *laneOrder) Moved(id, at int32) { order.entries[id].laneAt = at }

type timeOrder Queue

func (order *timeOrder) Less(a, b int32) bool {
	return order.entries[a].Deadline.Before(order.entries[b].Deadline)
}

func (order *timeOrder) Moved(id, at int32) { order.entries[id].timeAt = at }

type worstOrder Queue

func (order *worstOrder) Less(a, b int32) bool {
	left, right := &order.entries[a], &order.entries[b]
	if left.Priority != right.Priority {
		return left.Priority < right.Priority
	}
	return left.sequence > right.sequence
}

func (order *worstOrder) Moved(id, at int32) { order.entries[id].worstAt = at }
