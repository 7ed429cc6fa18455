// Package claims measures how many idempotency claims one sync of the log carries,
// with three replicas in one process that write real files.
package claims
