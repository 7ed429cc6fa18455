// Package pool runs jobs on a fixed number of workers. Timers and messages submit jobs, so
// that the number of goroutines that access the shared tables of a VM does not grow with
// its load, apart from those that Pool.Go starts while the queue is full.
package pool
