// Package popularity estimates the arrival rate of requests for each adapter
// version from exponentially decayed counts with two time constants.
//
// The long constant ranks adapters in a steady mix; the short one notices a
// shift within seconds. Memory is bounded: the least popular entry that is not
// in use makes room for a new one, at a cost of O(log entries).
package popularity
