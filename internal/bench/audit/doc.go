// Package audit measures the throughput and processor time that the audit log costs
// the request path, the records written per fsync, and the speed of log verification.
package audit
