// Package control runs a control VM: it holds a replica of the operators' state, hears the
// announcements of upstreams, and owns the engines of a zone while the leader of the
// replicas has given it to this VM.
//
// A leader gives each zone's engines to one control VM, with a fencing token that only
// grows. The owner alone orders loads and unloads. It stops when its lease has ended, and
// a new owner waits until every lease of the former one has ended. Engines that check
// fencing tokens allow the owner in a cut-off zone to go on without a lease.
package control
