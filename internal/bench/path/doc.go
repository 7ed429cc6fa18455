// Package path measures what an entry VM adds to a request: the real path from the
// callers' HTTP to the engine, with the audit log on, against a bare reverse proxy in
// the same run.
package path
