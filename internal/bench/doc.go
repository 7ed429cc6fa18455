// Package bench holds what the benchmarks of the replicated state share: the lines
// of figures, and a network between hosts in one process.
package bench
