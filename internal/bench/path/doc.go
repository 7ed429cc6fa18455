// Package path measures the latency and the throughput cost that an entry VM adds to a
// request. It compares the production path from the callers' HTTP interface to the
// engine, with the audit log enabled, with a plain reverse proxy in the same run.
package path
