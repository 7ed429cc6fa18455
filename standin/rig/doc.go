// Package rig plays faults against real processes of a deployment and judges what the callers
// and the upstreams have seen on their sockets. It uses no counter and no log of the
// deployment itself.
//
// The callers and the upstreams write records to files of JSON lines, one file for each
// process. Everything runs on one machine, so that the times of all records come from one
// clock.
package rig
