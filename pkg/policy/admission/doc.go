// Package admission decides whether a request is allowed to run: it finds the plan of
// a bearer key, resolves the adapter version that a model request is pinned to, and
// limits the request rate and the concurrency of each customer.
package admission
