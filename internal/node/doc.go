// Package node assembles the two kinds of VMs of a deployment in which entry VMs send
// requests to upstreams directly: entry VMs serve callers, and control VMs replicate the
// operators' state and own the engines of a zone.
//
// The package does not depend on the message formats of operators and upstreams. Its
// caller provides the handlers and clients that implement them.
package node
