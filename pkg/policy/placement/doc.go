// Package placement decides which adapter version is loaded where and what makes
// room for it.
//
// The value of a resident copy is the wait that it is expected to save per
// second. An adapter with waiting calls is loaded first, ordered by priority and
// waiting work; what remains of the store's budget fills free slots and replaces
// copies that are worth clearly less.
package placement
