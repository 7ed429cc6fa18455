package host

import (
	"sync"

	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// proposalResult is the outcome of a proposal. result is set if err is nil.
type proposalResult struct {
	result ledger.Result
	err    error
}

// proposal is a command that is to be committed.
type proposal struct {
	data []byte
	term raft.Term
	// requiredTerm is the only term in which the command may enter the log; zero
	// allows any.
	requiredTerm raft.Term
	// done receives one result. It is buffered, so that sending never blocks.
	done chan proposalResult
}

// confirmation waits until a quorum answers a round.
type confirmation struct {
	round uint64
	term  raft.Term
	done  chan error
}

// pendingWork is the queued work of a replica's worker.
type pendingWork struct {
	messages      []raft.Message
	proposals     []*proposal
	confirmations []*confirmation
	// view is the result of a poll by a leader.
	view *raft.View
	// lost are the voters whose VMs answered a poll with another incarnation.
	lost []raft.ReplicaID
	// initial is the membership of a group that is to be formed.
	initial *raft.Membership
	// saved is the outcome of a snapshot that a goroutine has stored.
	saved *savedSnapshot
}

// savedSnapshot is the outcome of storing a snapshot.
type savedSnapshot struct {
	index raft.Index
	err   error
}

// maxQueuedMessages bounds the messages that are queued while a sync hangs. Further
// messages are dropped, which the protocol tolerates.
const maxQueuedMessages = 16384

// queue passes work to the worker of a replica.
type queue struct {
	lock    sync.Mutex // leaf lock: no other lock is taken while it is held
	waiting pendingWork
	stopped bool
	// signal holds one element while there is work.
	signal chan struct{}
}

// put calls add to add work. It returns false without a call if the worker has
// stopped.
func (queue *queue) put(add func(waiting *pendingWork)) bool {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	if queue.stopped {
		return false
	}
	add(&queue.waiting)
	select {
	case queue.signal <- struct{}{}:
	default:
	}
	return true
}

func (queue *queue) take() pendingWork {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	taken := queue.waiting
	queue.waiting = pendingWork{}
	return taken
}

// close rejects further work and returns the queued work.
func (queue *queue) close() pendingWork {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	queue.stopped = true
	remaining := queue.waiting
	queue.waiting = pendingWork{}
	return remaining
}

// open accepts work again after close.
func (queue *queue) open() {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	queue.stopped = false
}
