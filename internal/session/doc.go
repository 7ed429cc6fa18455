// Package session maintains the session of each VM with the leader of shard 0. Session
// renews it and holds the plans and grants, the leases and the convictions of the VM.
// Leader runs on VMs with a disk; it answers renewals and pushes changes.
//
// Node and Authority hold the state of Session and Leader. They take messages and the
// current time and do no I/O, so tests and benchmarks run the same code in virtual
// time.
package session
