// Package replication carries the messages of the replicated logs between VMs.
package replication
