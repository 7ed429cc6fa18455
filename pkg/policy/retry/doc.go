// Package retry decides whether a request may be sent again, and limits the retries of
// one entry VM to its share of the retry budget that all entry VMs have together.
package retry
