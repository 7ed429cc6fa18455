// Package queue holds the calls that wait at the owner of an upstream group.
//
// Calls of one adapter version form a lane. A lane serves the higher priority
// first and calls of equal priority in the order of arrival, so no call passes
// its deadline while a later one of equal priority is served in the same lane.
// Customers share fairly between lanes by start-time fair queueing, and a
// customer above its share of a nearly full queue is refused.
package queue
