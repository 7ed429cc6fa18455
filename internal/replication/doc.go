// Package replication transports the messages of the replicated logs between VMs.
package replication
