// Package audit implements a tamper-evident audit log. It defines the records, which
// state what was run and under which configuration, stores them in hash-chained
// files, and verifies that no record was altered, dropped, duplicated or reordered.
//
// A Writer appends records to the files of one folder. Each group commit writes one
// block with one write and one fsync. Each record is stored with its index and the
// hash of the chain up to and including it. A head file, synced separately about
// once a second, holds the number of records and the hash of the last one.
//
// The head detects truncation, if the files end before the head's count, and
// rewriting, if the chain has another hash at that count. It detects neither the loss
// of records that were written after the last head, nor an attacker who rewrites the
// files, the head and every copy on other VMs. The copies cover the first case:
// Verify merges the files of all writers, reports gaps in the sequence numbers of a
// VM incarnation, and reports copies that differ. If the last records of an
// incarnation are missing from all copies, the loss cannot be detected.
package audit
