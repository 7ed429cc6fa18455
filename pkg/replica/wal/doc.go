// Package wal keeps one replica of a log on disk: its identity, its entries and
// hard state in append-only segment files with a checksum per write, and its last
// snapshot.
//
// Save and SaveSnapshot return after the data is durable. A write or sync that
// fails is final: the log refuses all further work, because nobody can tell what
// reached the disk. A torn write at the end of the last segment is cut off when
// the log is opened; damage anywhere else is reported with its file and offset.
package wal
