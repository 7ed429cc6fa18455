// Package dispatch schedules the calls of the upstream groups that this VM owns. Only
// the owner of a group loads adapters, evicts them and sends calls in it, so the
// queue, the adapter slots and the calls in flight are kept in one table.
//
// A scheduler of pkg/policy makes the decisions for each group. Owner reports events
// to it and carries out its actions: commands to engines are jobs of the worker pool,
// and the goroutine of a request sends its own call.
package dispatch
