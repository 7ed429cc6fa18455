// Package batching weighs load stalls against the fill of the engines' batches.
//
// One setting, StallWeight, moves between the two: at 1 only the expected wait
// counts, at 0 a fuller batch is preferred as long as its engine has room.
package batching
