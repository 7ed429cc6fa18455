// Package retry decides whether a request may be sent again, and limits the retries of
// one entry VM so that those of all entry VMs stay within the budget of a service.
package retry
