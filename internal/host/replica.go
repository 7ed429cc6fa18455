package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
	"github.com/dandelionring/dandelionring/pkg/replica/wal"
)

// Replica is the replica of one shard on this VM.
type Replica struct {
	config    Config
	shard     core.ShardID
	id        raft.ReplicaID
	transport transport
	logger    *log.Logger
	queue     queue
	status    atomic.Pointer[raft.Status]
	empty     atomic.Bool
	pending   atomic.Int64
	stop      chan struct{}
	stopped   chan struct{}
	watchers  *watchers

	stateLock sync.RWMutex // a leaf: nothing else is locked while it is held
	state     *ledger.State
	failure   error

	// The worker alone uses what follows.
	worker worker
}

// openReplica restores a replica from its folder. The caller starts its worker.
func openReplica(config Config, shard core.ShardID, directory string, transport transport) (*Replica, error) {
	files, restored, err := wal.Open(directory, wal.Options{System: config.System})
	if err != nil {
		return nil, errors.Wrapf(err, "shard %d", shard)
	}
	replica := &Replica{
		config: config, shard: shard, transport: transport,
		id:       raft.ReplicaID{VM: config.VM, Incarnation: files.Incarnation()},
		logger:   config.Logger.With("shard", shard),
		queue:    queue{signal: make(chan struct{}, 1)},
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		watchers: &watchers{},
	}
	replica.worker = worker{replica: replica, files: files, waiting: make(map[raft.Index]*proposal)}
	if err := replica.worker.restore(restored); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "shard %d", shard), files.Close())
	}
	return replica, nil
}

// Incarnation returns the identity of the replica's disk.
func (replica *Replica) Incarnation() core.Incarnation { return replica.id.Incarnation }

// Status returns the state of the replica after its last round of work.
func (replica *Replica) Status() raft.Status { return *replica.status.Load() }

// IsLeader returns the term and true if the replica leads its shard, as far as it
// knows. Use Confirm before a decision that only the leader may make.
func (replica *Replica) IsLeader() (raft.Term, bool) {
	status := replica.status.Load()
	return status.Term, status.Role == raft.Leader && status.Settled
}

// Leader returns the VM that leads the shard as far as the replica knows. It is
// empty if there is none.
func (replica *Replica) Leader() core.VMID { return replica.status.Load().Leader.VM }

// Syncs returns the number of syncs of the replica's log since its start.
func (replica *Replica) Syncs() uint64 { return replica.worker.files.Syncs() }

// Err returns the reason for which the replica stopped, and nil while it works.
func (replica *Replica) Err() error {
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	return replica.failure
}

// View lets read look at the state. It must not keep the state, change it, wait or
// take another lock.
func (replica *Replica) View(read func(state *ledger.State)) {
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	read(replica.state)
}

// Subscribe returns a channel that holds one element after the state, the term or
// the leader changed, and a function that ends the subscription. Changes that
// follow each other closely give one signal.
func (replica *Replica) Subscribe() (changes <-chan struct{}, cancel func()) {
	return replica.watchers.add()
}

// Confirm returns nil if this replica led its shard at some time after the call,
// with everything applied that was committed before the call. It returns
// ErrNotLeader otherwise, and the error of ctx if no quorum answers in time.
func (replica *Replica) Confirm(ctx context.Context) error {
	confirmation := &confirmation{done: make(chan error, 1)}
	if !replica.queue.put(func(waiting *work) { waiting.confirmations = append(waiting.confirmations, confirmation) }) {
		return ErrStopped
	}
	select {
	case err := <-confirmation.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum")
	}
}

// Propose commits a command and returns its result. The error is ErrNotLeader,
// ErrOverloaded or ErrNotCommitted if the command has no effect for certain, and
// ErrUncertain if it may have one.
func (replica *Replica) Propose(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	if _, leads := replica.IsLeader(); !leads {
		return ledger.Result{}, ErrNotLeader
	}
	command.At = ledger.Millis(time.Now())
	command, result, settled, err := replica.reduce(ctx, command)
	if err != nil || settled {
		return result, err
	}
	data, err := ledger.EncodeCommand(command)
	if err != nil {
		return ledger.Result{}, errors.Join(ErrNotCommitted, err)
	}
	return replica.commit(ctx, data, 0)
}

// reduce brings a change of a list into the form that is committed. The state must
// be confirmed first: a deposed leader would refuse numbers that it does not know.
func (replica *Replica) reduce(ctx context.Context, command ledger.Command) (ledger.Command, ledger.Result, bool, error) {
	if command.PutList == nil {
		return command, ledger.Result{}, false, nil
	}
	prepared := ledger.Prepare(*command.PutList)
	if err := replica.Confirm(ctx); err != nil {
		return command, ledger.Result{}, false, errors.Join(ErrNotCommitted, err)
	}
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	change, result, settled := replica.state.Reduce(prepared)
	if settled {
		return command, ledger.Result{PutList: &result}, true, nil
	}
	return ledger.Command{At: command.At, Change: &change}, ledger.Result{}, false, nil
}

func (replica *Replica) commit(ctx context.Context, data []byte, within raft.Term) (ledger.Result, error) {
	if replica.pending.Add(1) > int64(replica.config.MaxPending) {
		replica.pending.Add(-1)
		return ledger.Result{}, ErrOverloaded
	}
	proposal := &proposal{data: data, within: within, done: make(chan answer, 1)}
	if !replica.queue.put(func(waiting *work) { waiting.proposals = append(waiting.proposals, proposal) }) {
		replica.pending.Add(-1)
		return ledger.Result{}, ErrNotLeader
	}
	select {
	case answer := <-proposal.done:
		return answer.result, answer.err
	case <-ctx.Done():
		return ledger.Result{}, errors.Join(ErrUncertain, ctx.Err())
	}
}

// settle gives a proposal its answer.
func (replica *Replica) settle(proposal *proposal, answer answer) {
	replica.pending.Add(-1)
	proposal.done <- answer
}

// deliver hands messages to the worker.
func (replica *Replica) deliver(messages []raft.Message) {
	replica.queue.put(func(waiting *work) {
		room := maxQueuedMessages - len(waiting.messages)
		waiting.messages = append(waiting.messages, messages[:min(room, len(messages))]...)
	})
}

func (replica *Replica) start() {
	go replica.worker.run()
}

func (replica *Replica) close() error {
	close(replica.stop)
	<-replica.stopped
	return replica.worker.files.Close()
}
