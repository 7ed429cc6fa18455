// Package node assembles the two roles of a deployment in which entry VMs send to
// upstreams themselves: the entry VM, which serves callers, and the control VM, which
// keeps the operators' state and owns the engines of a zone.
//
// The messages of operators and upstreams are another package's business; it hands in
// handlers and clients that speak them.
package node
