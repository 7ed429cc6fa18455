// Package entry processes a request on the VM that received it, from admission to the
// end of the answer. It claims the idempotency key, writes the audit records, and
// sends the attempts to the owners of the upstream groups.
package entry
