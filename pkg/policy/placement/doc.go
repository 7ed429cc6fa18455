// Package placement decides which adapter version is loaded into which slot and
// which copy is evicted for it.
//
// The value of a resident copy is the wait that it is expected to save per
// second. Adapters with waiting calls are loaded first, ordered by priority and
// waiting work. The remaining store budget is used for prefetches, which fill
// free slots and replace copies of clearly lower value.
package placement
