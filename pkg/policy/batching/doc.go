// Package batching weighs load stalls, the waits of requests for adapter loads,
// against the fill of the engines' batches.
//
// The setting StallWeight balances the two. At 1, only the expected wait counts.
// At 0, a fuller batch is preferred as long as its engine has capacity.
package batching
