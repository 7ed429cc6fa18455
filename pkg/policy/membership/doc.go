// Package membership keeps the upstreams that announce themselves. Announcements may
// arrive late, twice or out of order, from an earlier life of an upstream, or after its
// address went to another one.
package membership
