// Package ownership decides which control VM owns the engines of a zone.
package ownership
