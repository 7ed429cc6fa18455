// Package dispatch holds the tables of the upstream groups that this VM owns. The
// owner is the only VM that loads, evicts and sends in a group, so that the queue,
// the slots and the calls in flight are one table.
package dispatch
