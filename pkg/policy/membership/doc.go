// Package membership tracks the upstreams that announce themselves. Announcements may
// arrive late, twice or out of order, from an earlier process of an upstream, or after
// another upstream has taken over its address.
package membership
