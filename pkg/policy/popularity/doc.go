// Package popularity estimates the arrival rate of requests for each adapter
// version from exponentially decayed counts with two time constants.
//
// The long time constant ranks adapters under a steady request mix. The short
// one detects a shift within seconds. Memory is bounded: in a full table, a new
// entry replaces the least popular entry that is not held, in O(log n) time for
// n entries.
package popularity
