// Package ledger implements the state machine that is driven by the replicated
// logs. It applies committed commands in index order: changes of the two
// configuration lists, assignments of upstream groups to VMs, claims on idempotency
// keys with their recorded outcomes, and reports of crashed upstreams.
//
// The package is deterministic and reads no clock: the leader of a shard adds a
// timestamp to each command before the command is committed.
package ledger
