// Package wal stores the write-ahead log of one Raft replica on disk: the identity of
// the replica, its entries and hard state in append-only segment files with a checksum
// per write, and its latest snapshot.
//
// Save and SaveSnapshot return after the data is durable. After a failed write or sync,
// all further calls that write fail, because it is unknown which data reached the disk.
// A torn write at the end of the last segment is truncated when the log is opened;
// damage anywhere else is reported with its file and offset.
package wal
