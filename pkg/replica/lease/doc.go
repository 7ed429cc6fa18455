// Package lease decides which VM owns which upstream group, and until when. Leader
// holds the lease state of the leader of shard 0, Holder that of each VM, and PushTracker
// tracks which VMs lack a change of the configuration or of the owners.
//
// An owner's lease ends by its own monotonic clock, counted from the time when it sent
// the renewal. The leader counts from the time when it received the same renewal and
// adds a margin, so the lease of the old owner always ends before that of a new owner
// starts. In a zone without contact to the leader, an owner can extend its ownership
// with the consent of the other VMs of the zone.
//
// The package is deterministic: it does no input or output, and the current time is an
// argument.
package lease
