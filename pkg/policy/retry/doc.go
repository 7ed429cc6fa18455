// Package retry decides whether a request is sent once more, and keeps the share of this
// VM in the budget of repeated sends that all entry VMs have together.
package retry
