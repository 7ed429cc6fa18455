// Package logging makes the loggers of a VM's parts. Each part has a fixed prefix,
// all share one level that can change at run time, and no line holds a secret.
package logging
