// Package policy measures the scheduler on a virtual clock with fixed seeds.
//
// Small fakes of engines and of the weight store run the very Scheduler that the
// owner of a group runs, and the same fakes run the baselines: LRU with
// least-loaded routing, LRU with routing to a copy, and static hashing. Every
// figure is printed as one line "name value unit bound PASS|FAIL" with the
// baseline beside it. Bounds come from the design page.
package policy
