// Package pool runs jobs on a fixed number of workers. Timers and messages turn
// into jobs, so that the number of goroutines that touch the shared tables of a
// VM does not grow with its load.
package pool
