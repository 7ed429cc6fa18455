// Package bench contains helpers shared by the benchmarks of the replicated state:
// output of measured values with their bounds, and an in-process network between hosts.
package bench
