// Package entry runs the life of a request on the VM that received it: admission,
// the claim of an idempotency key, the audit record, the attempts at the owners of
// upstream groups, and the end.
package entry
