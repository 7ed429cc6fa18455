// Package restart measures the start of a replica from disk after many changes of
// the lists at their design size, and the memory of the state.
package restart
