// Package audit defines the records that state what was run and under which
// configuration, the files that hold them in a hash chain, and the verification
// that finds an altered, dropped, doubled or reordered record.
//
// A Writer appends records to files in one folder. Each group commit is one block
// of one write and one fsync, and each record carries its index and the hash of
// the chain up to it. A head file, synced separately about once a second, holds
// the number of records and the hash of the last one.
//
// What the head can show: files that end before the head's count were truncated,
// and a chain that has another hash at that count was rewritten. What it cannot
// show: the loss of records that are younger than the last head, and a forger who
// rewrites the files, the head and every copy on other VMs. The copies cover the
// first case: Verify joins the files of all writers, finds gaps in the sequence of
// a VM incarnation, and finds copies that differ. The loss of the very last
// records of an incarnation from all copies leaves no trace.
package audit
