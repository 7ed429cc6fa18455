// Package host runs the replicas of the shards on a VM with a disk, and carries
// commands from any VM to the leader of a shard.
//
// Each Replica has one worker goroutine, the only one that uses its raft.Node and
// writes its log. In each round it takes everything that queued up while the last
// sync ran, so that one sync commits many commands. Other goroutines put work into
// the queue and read the state under its lock. Both locks of a replica are leaves:
// no other lock is taken and no disk or network is waited for while one is held.
package host
