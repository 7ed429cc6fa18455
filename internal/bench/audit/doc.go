// Package audit measures what the audit log costs the request path, how many
// records one fsync carries, and how fast a log is verified.
package audit
