// Package core defines the types shared by all other packages: identifiers and
// units, the plans and grants lists and the route table that operators maintain,
// descriptions of upstreams, calls and their answers, and the outcome of a request.
//
// The package imports no other package of this repository and performs no input or
// output. Each kind of identifier has its own type so that a customer cannot be passed
// where an adapter is expected, and the types of sizes, token counts and rates are named
// after their units.
package core
