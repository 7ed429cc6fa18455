package host

import (
	"sync"

	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// answer is what becomes of a proposal. Without an error, result is that of the
// committed command.
type answer struct {
	result ledger.Result
	err    error
}

// proposal is a command on its way through the log.
type proposal struct {
	data []byte
	term raft.Term
	// within is the only term in which the command may enter the log; zero for any.
	within raft.Term
	// done takes one answer and never blocks.
	done chan answer
}

// confirmation waits for a quorum that answers a round.
type confirmation struct {
	round uint64
	term  raft.Term
	done  chan error
}

// work is everything that waits for the worker of a replica.
type work struct {
	messages      []raft.Message
	proposals     []*proposal
	confirmations []*confirmation
	// joining are replicas that answered as the present ones of their VMs.
	joining []raft.ReplicaID
	// view is the result of a survey by a leader that plans the membership.
	view *raft.View
	// founding is the membership of a group that is to be formed.
	founding *raft.Membership
	// saved is a snapshot of the state that was stored.
	saved *savedSnapshot
}

// savedSnapshot is the outcome of storing a snapshot.
type savedSnapshot struct {
	index raft.Index
	err   error
}

// maxQueuedMessages bounds the messages that wait while a sync hangs. Those beyond
// it are dropped; the log is made for lost messages.
const maxQueuedMessages = 16384

// queue hands work to the worker of a replica.
type queue struct {
	lock    sync.Mutex // a leaf: nothing else is locked while it is held
	waiting work
	stopped bool
	// signal holds one element while there is work.
	signal chan struct{}
}

// put lets change add work. It returns false if the worker has stopped.
func (queue *queue) put(change func(waiting *work)) bool {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	if queue.stopped {
		return false
	}
	change(&queue.waiting)
	select {
	case queue.signal <- struct{}{}:
	default:
	}
	return true
}

func (queue *queue) take() work {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	taken := queue.waiting
	queue.waiting = work{}
	return taken
}

// close refuses further work and returns what waits.
func (queue *queue) close() work {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	queue.stopped = true
	return queue.waiting
}
