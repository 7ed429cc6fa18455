// Package selection chooses the upstream of one request among those that can serve it.
package selection
