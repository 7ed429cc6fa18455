// Package quarantine identifies requests that crash the upstreams that run them. A
// request that was in flight when an upstream crashed is suspect: it may run only while
// no other request runs on the same upstream. A request that was in flight at the
// crashes of two incarnations is convicted: it is refused for a limited time.
//
// The package holds the crashes known to one VM. Package ledger holds the replicated
// ones; a VM applies the stricter of the two statuses.
package quarantine
