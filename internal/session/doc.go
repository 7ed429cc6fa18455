// Package session keeps a VM in touch with the leader of shard 0. Session renews
// the VM's session and holds its lists, leases and convictions; Leader is the part
// on a VM with a disk, which answers the renewals and pushes changes.
//
// Node and Authority hold the tables of both. They take messages and the time and
// do no input or output, so that the same code runs under virtual time.
package session
