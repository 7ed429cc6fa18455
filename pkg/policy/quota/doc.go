// Package quota keeps the requests of a workspace on all entry VMs together within a rate and a
// burst of tokens. One VM holds a Grantor and grants tokens; each entry VM holds a Lease on the
// tokens that it was granted. Each entry VM has a share of all rates: while the VM is in contact
// with the grantor its share belongs to the grantor's buckets, and otherwise to the buckets of the
// VM itself.
//
// Times are readings of a clock that continues while the machine is suspended. Readings of two
// machines are never compared: an entry VM sends a reading of the grantor's clock back to it.
package quota
