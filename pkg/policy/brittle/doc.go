// Package brittle keeps the requests that a brittle upstream has no room for below the number
// a second from which it falls over. Each VM decides for itself, from what it knows of the
// requests at the upstream, with a Guard for each upstream.
package brittle
