// Package core holds the types that every other package speaks in: named
// identifiers and units, the operators' two lists, the description of an
// upstream, and the outcome of a request.
//
// The package imports nothing else of this project and holds no input or
// output. Identifiers are distinct types so that a customer cannot be passed
// where an adapter is expected, and units are part of the type name.
package core
