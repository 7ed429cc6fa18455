// Package ledger is the state machine behind the replicated logs. It applies
// committed commands in the order of their index: changes of the two lists,
// ownership of upstream groups, claims of idempotency keys with their recorded
// outcomes, and reports of crashed upstreams.
//
// The package is deterministic. It has no clock: the leader of a shard stamps
// each command with the time before it is committed.
package ledger
