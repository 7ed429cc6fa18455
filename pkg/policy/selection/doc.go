// Package selection chooses the upstream that receives a request among those that can
// serve it.
package selection
