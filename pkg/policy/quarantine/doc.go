// Package quarantine recognises requests that crash the upstreams that run them.
// A request that was in flight at a crash is a suspect and runs alone; after
// crashes of two incarnations it is convicted and refused for a time.
//
// The package holds the view of one VM. The replicated view is in package ledger;
// a VM follows the stricter of the two.
package quarantine
