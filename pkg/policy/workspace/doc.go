// Package workspace identifies the workspace of a caller by its API key.
package workspace
