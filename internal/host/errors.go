package host

import "github.com/go-faster/errors"

// Errors of a command, to be tested with errors.Is.
var (
	// ErrNotCommitted means that the command has no effect and never will.
	ErrNotCommitted = errors.New("the command was not committed")
	// ErrUncertain means that the command may have been committed, or may still be.
	ErrUncertain = errors.New("the command may have been committed")
	// ErrNoQuorum means that no leader with a quorum was found. The command has no
	// effect and never will.
	ErrNoQuorum = errors.New("the shard has no leader with a quorum")
	// ErrTooLarge means that the command is over the size that the VMs can send to each other. It
	// has no effect and never will.
	ErrTooLarge = errors.New("the command is too large")
	// ErrNotSent means that a request did not reach the other VM. A caller only wraps
	// it if that is certain; after any other error of a call the outcome of the
	// command is uncertain.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNotLeader means that this replica does not lead its shard.
	ErrNotLeader = errors.New("this replica does not lead the shard")
	// ErrStopped means that the replica stopped, because it was closed or a write
	// failed.
	ErrStopped = errors.New("the replica stopped")
	// ErrOverloaded means that too many commands wait at the leader.
	ErrOverloaded = errors.New("too many commands wait for the shard")
)
