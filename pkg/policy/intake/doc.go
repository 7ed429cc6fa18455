// Package intake decides how much the clients of a process may hold together, which of them is
// dropped when there is no room, and what is kept for probes, other VMs and upstreams. It states
// the limits; its callers measure and close connections.
package intake
