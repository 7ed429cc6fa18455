// Package attempt decides over the life of one request: which state it is in,
// which chunks of which attempt reach the caller, whether a failed attempt is
// repeated or resumed, and what is known about its run.
//
// It is the only place that turns a state into an outcome. Times and random
// numbers are passed in.
package attempt
