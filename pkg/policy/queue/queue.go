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
	// Lane is the small integer id of the call's adapter version.
	Lane     int32
	Priority core.Priority
	Arrived  time.Time
	// Deadline is the time from which on the call may no longer be sent.
	Deadline time.Time
	// Suspect marks a call that must run alone on its upstream.
	Suspect bool
	// Prefixes are hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64

	// sequence is the position of the call in the order of arrival.
	sequence uint64
	// finishTag is the virtual time at which the call ends under fair queueing, where
	// each call has the length 1.
	finishTag        float64
	lanePosition     int32
	deadlinePosition int32
	displacePosition int32
}

// Queue is a bounded queue with one lane per adapter version. Create it with New.
type Queue struct {
	limit        int
	entries      []Entry
	freeEntries  []int32
	entryIDs     map[core.AttemptID]int32
	lanes        []indexheap.Heap
	laneStorage  []int32
	deadlineHeap indexheap.Heap
	displaceHeap indexheap.Heap
	customers    map[core.CustomerID]*customerState
	// activeCustomers counts the customers with waiting calls.
	activeCustomers int
	// sequence is the number of calls that Push has accepted.
	sequence uint64
	// virtualTime is the highest start tag, which is finishTag-1, of the calls served
	// so far.
	virtualTime float64
	waiting     int
}

// customerState is the number of waiting calls of a customer and the finish tag of
// its last call.
type customerState struct {
	waiting   int
	finishTag float64
}

// New returns an empty queue that accepts calls while fewer than limit wait.
func New(limit int) *Queue {
	return &Queue{
		limit:     limit,
		entryIDs:  make(map[core.AttemptID]int32),
		customers: make(map[core.CustomerID]*customerState),
	}
}

// Push adds a call and returns its id. It returns false if the queue is full, if the
// queue is at least half full and the customer fills its share of it, or if the
// attempt waits already.
func (queue *Queue) Push(call Entry) (int32, bool) {
	if _, waits := queue.entryIDs[call.Attempt]; waits || !queue.admits(call.Customer) {
		return indexheap.None, false
	}
	queue.sequence++
	call.sequence = queue.sequence
	state := queue.customerState(call.Customer)
	state.finishTag = max(state.finishTag, queue.virtualTime) + 1
	call.finishTag = state.finishTag
	return queue.insert(call), true
}

// Requeue adds a call that was served but not sent, and returns its new id. The call
// keeps its place in the order of service. The queue may then exceed its limit.
func (queue *Queue) Requeue(call Entry) int32 { return queue.insert(call) }

// insert adds a call to the heaps and counters, and returns its id.
func (queue *Queue) insert(call Entry) int32 {
	id := queue.newEntryID()
	queue.entries[id] = call
	queue.entryIDs[call.Attempt] = id
	for int(call.Lane) >= len(queue.lanes) {
		queue.addLane()
	}
	queue.lanes[call.Lane].Push((*laneOrder)(queue), id)
	queue.deadlineHeap.Push((*deadlineOrder)(queue), id)
	queue.displaceHeap.Push((*displaceOrder)(queue), id)
	queue.countWaiting(call.Customer)
	return id
}

// Remove removes and returns a call without counting it as service of its customer.
func (queue *Queue) Remove(id int32) Entry {
	call := queue.entries[id]
	queue.lanes[call.Lane].Remove((*laneOrder)(queue), call.lanePosition)
	queue.deadlineHeap.Remove((*deadlineOrder)(queue), call.deadlinePosition)
	queue.displaceHeap.Remove((*displaceOrder)(queue), call.displacePosition)
	delete(queue.entryIDs, call.Attempt)
	queue.uncountWaiting(call.Customer)
	queue.entries[id] = Entry{}
	queue.freeEntries = append(queue.freeEntries, id)
	return call
}

// Serve removes and returns the first call of a lane, which must not be empty, and
// counts it as service of its customer.
func (queue *Queue) Serve(lane int32) Entry {
	id, _ := queue.lanes[lane].Top()
	call := queue.Remove(id)
	queue.virtualTime = max(queue.virtualTime, call.finishTag-1)
	return call
}

// Head returns the id of the first call of a lane, or false if none waits.
func (queue *Queue) Head(lane int32) (int32, bool) {
	if int(lane) >= len(queue.lanes) {
		return indexheap.None, false
	}
	return queue.lanes[lane].Top()
}

// Entry returns the waiting call with the given id. The pointer is valid until the
// next change of the queue.
func (queue *Queue) Entry(id int32) *Entry { return &queue.entries[id] }

// Find returns the id of an attempt, or false if it does not wait.
func (queue *Queue) Find(attempt core.AttemptID) (int32, bool) {
	id, ok := queue.entryIDs[attempt]
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

// EarliestDeadline returns the id of the waiting call with the earliest deadline, or
// false if the queue is empty.
func (queue *Queue) EarliestDeadline() (int32, bool) { return queue.deadlineHeap.Top() }

// Before reports whether call a, the first of its lane, is served before call b, the
// first of another lane: by priority, then by finish tag, then by arrival.
func (queue *Queue) Before(a, b int32) bool {
	left, right := &queue.entries[a], &queue.entries[b]
	if left.Priority != right.Priority {
		return left.Priority > right.Priority
	}
	if left.finishTag != right.finishTag {
		return left.finishTag < right.finishTag
	}
	return left.sequence < right.sequence
}

// admits reports whether a customer may add a call. Any customer may while the queue
// is less than half full. After that, each customer with waiting calls may fill an equal
// part of the whole queue, where one more customer counts than wait: a customer that is
// alone does not fill the queue, so that the first call of another one finds a place.
func (queue *Queue) admits(id core.CustomerID) bool {
	if queue.waiting < queue.limit/2 {
		return true
	}
	if queue.waiting >= queue.limit {
		return false
	}
	state, known := queue.customers[id]
	if !known || state.waiting == 0 {
		return true
	}
	return state.waiting < max(1, queue.limit/(queue.activeCustomers+1))
}

// DisplacementCandidate returns the id of the waiting call that should be removed
// from a full queue for a call of the given priority: the latest call of the lowest
// priority. It returns false if the queue is not full or no waiting call has a lower
// priority.
func (queue *Queue) DisplacementCandidate(priority core.Priority) (int32, bool) {
	id, ok := queue.displaceHeap.Top()
	if !ok || queue.waiting < queue.limit || queue.entries[id].Priority >= priority {
		return indexheap.None, false
	}
	return id, true
}

// customerState returns the state of a customer and adds it if it is unknown.
func (queue *Queue) customerState(id core.CustomerID) *customerState {
	state, known := queue.customers[id]
	if !known {
		state = &customerState{}
		queue.customers[id] = state
	}
	return state
}

// countWaiting counts one more waiting call of a customer.
func (queue *Queue) countWaiting(id core.CustomerID) {
	state := queue.customerState(id)
	if state.waiting == 0 {
		queue.activeCustomers++
	}
	state.waiting++
	queue.waiting++
}

// uncountWaiting counts one waiting call of a customer less.
func (queue *Queue) uncountWaiting(id core.CustomerID) {
	state := queue.customers[id]
	state.waiting--
	queue.waiting--
	if state.waiting == 0 {
		queue.activeCustomers--
	}
	if queue.waiting == 0 && len(queue.customers) > maxIdleCustomers {
		clear(queue.customers)
	}
}

// maxIdleCustomers is the largest number of customers whose state an empty queue
// keeps.
const maxIdleCustomers = 4096

const (
	// initialLaneCapacity is the initial capacity of a lane. Without it, the first
	// calls of each adapter would allocate.
	initialLaneCapacity = 8
	// lanesPerAllocation is the number of lanes whose initial storage is allocated
	// together.
	lanesPerAllocation = 1024
)

// addLane appends an empty lane.
func (queue *Queue) addLane() {
	if len(queue.laneStorage) == 0 {
		queue.laneStorage = make([]int32, initialLaneCapacity*lanesPerAllocation)
	}
	queue.lanes = append(queue.lanes, indexheap.WithStorage(queue.laneStorage[:0:initialLaneCapacity]))
	queue.laneStorage = queue.laneStorage[initialLaneCapacity:]
}

// newEntryID returns the id of an unused entry.
func (queue *Queue) newEntryID() int32 {
	if last := len(queue.freeEntries) - 1; last >= 0 {
		id := queue.freeEntries[last]
		queue.freeEntries = queue.freeEntries[:last]
		return id
	}
	queue.entries = append(queue.entries, Entry{})
	return int32(len(queue.entries) - 1)
}

// laneOrder orders a lane by descending priority, then by arrival.
type laneOrder Queue

func (order *laneOrder) Less(a, b int32) bool {
	left, right := &order.entries[a], &order.entries[b]
	if left.Priority != right.Priority {
		return left.Priority > right.Priority
	}
	return left.sequence < right.sequence
}

func (order *laneOrder) SetPosition(id, position int32) { order.entries[id].lanePosition = position }

// deadlineOrder orders the waiting calls by deadline, the earliest first.
type deadlineOrder Queue

func (order *deadlineOrder) Less(a, b int32) bool {
	return order.entries[a].Deadline.Before(order.entries[b].Deadline)
}

func (order *deadlineOrder) SetPosition(id, position int32) {
	order.entries[id].deadlinePosition = position
}

// displaceOrder orders the waiting calls by ascending priority, then the latest
// arrival first.
type displaceOrder Queue

func (order *displaceOrder) Less(a, b int32) bool {
	left, right := &order.entries[a], &order.entries[b]
	if left.Priority != right.Priority {
		return left.Priority < right.Priority
	}
	return left.sequence > right.sequence
}

func (order *displaceOrder) SetPosition(id, position int32) {
	order.entries[id].displacePosition = position
}
