// Package routediff computes what changed between two route tables, and applies it to the earlier
// one. Most changes of a table with thousands of routes concern a few of them, so a Change is much
// smaller than the table.
//
// The entries of a table are its routes, services, workspaces and limits. A Digest identifies the
// set of entries. It is a sum of the hashes of the entries, so it follows a change without the
// entries that stay, and does not depend on their order: a VM that applies changes may hold them in
// another order than one that got the whole table. Digests that agree prove to both ends of a link
// that they hold the same table.
//
// The sum is the additive hash of M. Bellare and D. Micciancio, "A New Paradigm for Collision-Free
// Hashing: Incrementality at Reduced Cost", EUROCRYPT 1997, in four lanes of 64 bits. It detects
// faults; it does not resist somebody who chooses the entries.
package routediff
