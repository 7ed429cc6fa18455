// Package control runs a control VM. It holds a replica of the operators' state, receives
// the announcements of upstreams, and owns the engines of a zone while the leader of the
// replicas has assigned them to this VM.
//
// The leader assigns the engines of each zone to one control VM, with a fencing token that
// only increases. Only the owner orders loads and unloads. It stops when its lease has
// expired, and a new owner waits until every lease of the former one has expired. Where
// engines check fencing tokens, the owner in a partitioned zone continues without a lease.
package control
