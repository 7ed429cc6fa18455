// Package telemetry counts what the roles of a deployment decide, and serves the counts as
// text on an address of its own.
package telemetry
