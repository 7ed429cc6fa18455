// Package operator speaks to operators: HTTP with JSON for the two lists, their
// history, the status of the deployment and the log level. docs/interfaces.md
// describes the calls.
package operator
