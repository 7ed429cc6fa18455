// Package queue implements the bounded queue of the calls that wait at the owner of
// an upstream group.
//
// Calls of one adapter version form a lane. A lane serves calls of higher priority
// first, and calls of equal priority in the order of arrival. So no call passes its
// deadline while a later one of equal priority is served in the same lane. Between
// lanes, customers are served by start-time fair queueing. Once the queue is half
// full, a customer that fills its share of it is refused.
package queue
