// Package vm assembles one entry VM from its parts and runs it: listeners for
// callers, operators, upstreams and peers, the tables behind them, and the orderly
// shutdown.
//
// The tables of a VM have a lock order: session (1), dispatch (2), claims in flight
// (3), audit queue (4), metrics (5). Code that holds a lock takes only locks with a
// higher number, and holds none while it waits for the network or a disk.
package vm
