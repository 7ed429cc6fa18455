// Package policy benchmarks the scheduler in a discrete-event simulation with fixed
// seeds.
//
// Simulated engines and a simulated weight store execute the actions of the same
// Scheduler that the owner of a group runs, and those of the baselines: LRU with
// least-loaded routing, LRU with routing to a copy, and static hashing. Every
// measured value is printed as one line "name value unit bound PASS|FAIL" followed by
// the values of the baselines. The bounds are the targets of the design page.
package policy
