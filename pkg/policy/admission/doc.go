// Package admission decides whether a request may run at all: it finds the plan of
// a bearer key, resolves the adapter version that a model request is pinned to, and
// bounds rates and concurrency per plan.
package admission
