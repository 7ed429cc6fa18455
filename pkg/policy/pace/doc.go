// Package pace learns how fast the upstreams of a service answer, and which share of its slots
// an upstream may be given that has just started or recovered.
//
// A Tracker is fed with what several VMs have observed and states absolute times and raw shares,
// since its owner may know the upstreams of one zone only. Relate compares the values of all
// upstreams of the service.
package pace
