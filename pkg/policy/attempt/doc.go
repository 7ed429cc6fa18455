// Package attempt implements the state machine of one request: its state, which
// chunks of which attempt reach the caller, whether a failed attempt is retried or
// resumed, and whether an upstream ran the request.
//
// No other package derives an outcome from a request state. Times and random
// numbers are arguments.
package attempt
