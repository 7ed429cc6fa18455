// Package lease decides which VM owns which upstream group and for how long.
// Leader is the side table of the leader of shard 0, Holder the part on each VM,
// and Pushes the list of VMs that miss a change.
//
// An owner's right ends on its own monotonic clock, counted from the send of the
// renewal. The leader counts from the receipt of the same renewal and adds a
// margin, so the right of the old owner always ends before a new one starts. A
// zone without contact to the leader goes on by the consent of its VMs.
//
// The package is deterministic: inputs and the time go in, decisions come out.
package lease
