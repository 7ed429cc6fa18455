// Package claims measures the idempotency claims per log sync, the claim throughput and
// the claim latency, with three replicas in one process that write to files on disk.
package claims
