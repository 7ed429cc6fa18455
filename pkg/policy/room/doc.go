// Package room decides what becomes of a request while the upstreams of its service have more
// requests than slots: it is sent, waits on its entry VM, or is refused. All entry VMs apply the
// same thresholds to what they know of the upstreams, which gives an order over the requests of
// all of them without a message.
package room
