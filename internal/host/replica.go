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

// Replica is the replica of one shard on this VM. It is the same for as long as the Host is
// open: after a failed write it stops and later works again, and its users notice that only
// by errors meanwhile. A user that kept a replica which another one has replaced would follow
// a state that never changes again.
type Replica struct {
	config      Config
	shard       core.ShardID
	transport   transport
	logger      *log.Logger
	queue       queue
	status      atomic.Pointer[raft.Status]
	empty       atomic.Bool
	pending     atomic.Int64
	stop        chan struct{}
	subscribers subscribers
	files       atomic.Pointer[wal.Log]

	stateLock sync.RWMutex // leaf lock: no other lock is taken while it is held
	state     *ledger.State
	failure   error

	// worker does the work since the last call of open, and stopped is closed when it has
	// ended. Both are set by the goroutine that opens, starts, reopens and closes the replica.
	worker  *worker
	stopped chan struct{}
}

// openReplica restores a replica from its directory. The caller starts its worker.
func openReplica(config Config, shard core.ShardID, transport transport) (*Replica, error) {
	replica := &Replica{
		config: config, shard: shard, transport: transport,
		logger: config.Logger.With("shard", shard),
		queue:  queue{signal: make(chan struct{}, 1)},
		stop:   make(chan struct{}),
	}
	if err := replica.open(); err != nil {
		return nil, err
	}
	return replica, nil
}

// open restores the state from the directory and sets the worker, which is not started.
func (replica *Replica) open() error {
	files, restored, err := wal.Open(replica.config.shardFolder(replica.shard), wal.Options{System: replica.config.System})
	if err != nil {
		return errors.Wrapf(err, "open log of shard %d", replica.shard)
	}
	opened := &worker{replica: replica, files: files, waiting: make(map[raft.Index]*proposal)}
	if err := opened.restore(restored); err != nil {
		return errors.Join(errors.Wrapf(err, "restore state of shard %d", replica.shard), files.Close())
	}
	replica.worker = opened
	replica.files.Store(files)
	return nil
}

// Incarnation returns the identity of the replica's disk.
func (replica *Replica) Incarnation() core.Incarnation { return replica.id().Incarnation }

func (replica *Replica) id() raft.ReplicaID { return replica.status.Load().ID }

// Status returns the state of the replica after its last iteration.
func (replica *Replica) Status() raft.Status { return *replica.status.Load() }

// IsLeader returns the current term, and true if the replica leads its shard as far as
// it knows. Call Confirm before a decision that only the leader may make.
func (replica *Replica) IsLeader() (raft.Term, bool) {
	status := replica.status.Load()
	return status.Term, status.Role == raft.Leader && status.CommittedInTerm
}

// Leader returns the VM that leads the shard as far as the replica knows, or "" if
// there is none.
func (replica *Replica) Leader() core.VMID { return replica.status.Load().Leader.VM }

// Syncs returns the number of syncs of the replica's log since it was last opened.
func (replica *Replica) Syncs() uint64 { return replica.files.Load().Syncs() }

// Err returns the reason why the replica stopped, or nil while it is running.
func (replica *Replica) Err() error {
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	return replica.failure
}

// View calls read with the state, which never goes back. read must not keep the state, change it, block or
// take another lock.
func (replica *Replica) View(read func(state *ledger.State)) {
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	read(replica.state)
}

// Subscribe returns a channel that holds one element after the state, the term or the
// leader changed, and a function that ends the subscription. Changes in quick
// succession are merged into one signal.
func (replica *Replica) Subscribe() (changes <-chan struct{}, cancel func()) {
	return replica.subscribers.add()
}

// Confirm returns nil if this replica led its shard at some time after the call, with
// everything applied that was committed before the call. It returns ErrNotLeader if
// the replica does not lead, ErrStopped if it stopped, and the error of ctx if no
// quorum answers in time.
func (replica *Replica) Confirm(ctx context.Context) error {
	confirmation := &confirmation{done: make(chan error, 1)}
	if !replica.queue.put(func(waiting *pendingWork) { waiting.confirmations = append(waiting.confirmations, confirmation) }) {
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
// ErrOverloaded or ErrNotCommitted if the command certainly has no effect, and
// ErrUncertain if it may have one.
func (replica *Replica) Propose(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	if _, leads := replica.IsLeader(); !leads {
		return ledger.Result{}, ErrNotLeader
	}
	if replica.config.Refuse != nil {
		if reason := replica.config.Refuse(command); reason != "" {
			return ledger.Result{Fault: reason}, nil
		}
	}
	command.At = ledger.UnixMillis(time.Now())
	command, result, decided, err := replica.prepareListChange(ctx, command)
	if err != nil || decided {
		return result, err
	}
	data, err := encodeCommand(command)
	if err != nil {
		return ledger.Result{}, err
	}
	return replica.commit(ctx, data, 0)
}

// encodeCommand returns a command as it is written to the log. It returns ErrNotCommitted if that is
// not possible, and also ErrTooLarge if it is over maxCommandBytes.
func encodeCommand(command ledger.Command) ([]byte, error) {
	data, err := ledger.EncodeCommand(command)
	if err != nil {
		return nil, errors.Join(ErrNotCommitted, err)
	}
	if len(data) > maxCommandBytes {
		return nil, errors.Join(ErrNotCommitted, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), maxCommandBytes))
	}
	return data, nil
}

// prepareListChange converts a replaced list into the change that is committed. It
// confirms the leadership first, because a deposed leader would reject configuration
// numbers that it does not know. decided is true if the result is known without a
// commit.
func (replica *Replica) prepareListChange(ctx context.Context, command ledger.Command) (ledger.Command, ledger.Result, bool, error) {
	if command.PutList == nil {
		return command, ledger.Result{}, false, nil
	}
	prepared := ledger.PreparePutList(*command.PutList)
	if err := replica.Confirm(ctx); err != nil {
		return command, ledger.Result{}, false, errors.Join(ErrNotCommitted, err)
	}
	replica.stateLock.RLock()
	defer replica.stateLock.RUnlock()
	change, result, decided := replica.state.PrepareChange(prepared)
	if decided {
		return command, ledger.Result{PutList: &result}, true, nil
	}
	return ledger.Command{At: command.At, Change: &change}, ledger.Result{}, false, nil
}

// commit proposes an encoded command and returns its result. The command enters the log
// only in requiredTerm; zero allows any term. The errors are those of Propose.
func (replica *Replica) commit(ctx context.Context, data []byte, requiredTerm raft.Term) (ledger.Result, error) {
	if replica.pending.Add(1) > int64(replica.config.MaxPending) {
		replica.pending.Add(-1)
		return ledger.Result{}, ErrOverloaded
	}
	proposal := &proposal{data: data, requiredTerm: requiredTerm, done: make(chan proposalResult, 1)}
	if !replica.queue.put(func(waiting *pendingWork) { waiting.proposals = append(waiting.proposals, proposal) }) {
		replica.pending.Add(-1)
		return ledger.Result{}, ErrNotLeader
	}
	select {
	case outcome := <-proposal.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return ledger.Result{}, errors.Join(ErrUncertain, ctx.Err())
	}
}

// finish answers a proposal.
func (replica *Replica) finish(proposal *proposal, result proposalResult) {
	replica.pending.Add(-1)
	proposal.done <- result
}

// deliver queues messages for the worker. It drops those beyond maxQueuedMessages.
func (replica *Replica) deliver(messages []raft.Message) {
	replica.queue.put(func(waiting *pendingWork) {
		free := maxQueuedMessages - len(waiting.messages)
		waiting.messages = append(waiting.messages, messages[:min(free, len(messages))]...)
	})
}

func (replica *Replica) start() {
	stopped := make(chan struct{})
	replica.stopped = stopped
	opened := replica.worker
	go func() {
		defer close(stopped)
		opened.run()
	}()
}

// reopen opens a replica again that has stopped after an error, and starts it. It returns
// false without an error if the worker has not ended yet.
func (replica *Replica) reopen() (bool, error) {
	select {
	case <-replica.stopped:
	default:
		return false, nil
	}
	if err := replica.files.Load().Close(); err != nil {
		replica.logger.Warn("Files of a stopped replica not closed.", "error", err)
	}
	if err := replica.open(); err != nil {
		return false, err
	}
	replica.stateLock.Lock()
	replica.failure = nil
	replica.stateLock.Unlock()
	replica.queue.open()
	replica.start()
	return true, nil
}

func (replica *Replica) close() error {
	close(replica.stop)
	<-replica.stopped
	return replica.files.Load().Close()
}
