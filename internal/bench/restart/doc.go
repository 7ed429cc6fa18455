// Package restart measures how long a replica takes to start from disk after many
// changes to lists at the size that the system is designed for, and the heap and disk
// space that its state uses.
package restart
