// Package operator implements the HTTP and JSON API for operators, both server and
// client. It reads and replaces the lists of plans and grants, and reads the history of
// their changes, the status of the deployment and the log level. docs/interfaces.md
// describes the endpoints.
package operator
