// Package caller speaks HTTP to callers: the completions interface of the field for
// models, and plain services under their own path.
package caller
