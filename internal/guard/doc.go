// Package guard keeps what the clients of a process hold within the limits of package intake, at
// all its listeners: it counts connections and heads, and closes the connections of clients that
// make no progress.
package guard
