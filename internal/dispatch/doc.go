// Package dispatch holds the tables of the upstream groups that this VM owns. The
// owner is the only VM that loads, evicts and sends in a group, so that the queue,
// the slots and the calls in flight are one table.
//
// A scheduler of pkg/policy decides for each group. The owner tells it what happens
// and carries out its actions: orders to engines are jobs of the worker pool, and
// the goroutine of a request sends its own call.
package dispatch
