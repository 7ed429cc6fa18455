// Package vm builds and runs one entry VM: the listeners for callers, operators,
// upstreams and peers, the shared state that they use, and the graceful shutdown.
//
// The locks of a VM have a fixed order: session (1), dispatch (2), claims in flight
// (3), audit queue (4), metrics (5). Code that holds a lock acquires only locks with a
// higher number, and holds no lock while it waits for the network or a disk.
package vm
