// Package host runs the replicas of the shards on a VM with a disk, and delivers
// commands from any VM to the leader of a shard.
//
// Each Replica has one worker goroutine, the only one that uses its raft.Node and
// writes its log. In each iteration the worker takes everything that was queued during
// the last sync, so that one sync commits many commands. Other goroutines add work to
// the queue and read the state under its lock. All locks of a replica are leaf locks:
// while one is held, no other lock is taken and no disk or network operation is waited
// for.
package host
