package wal

import (
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// TestFullDiskFoundBySync guards against a log that stays out of use for good because a sync
// found the full disk, and against one that reads back what this sync did not make durable.
func TestFullDiskFoundBySync(t *testing.T) {
	cases := []struct {
		name string
		run  func(log *Log) error
	}{
		{"segment", func(log *Log) error { return log.Save(raft.HardState{Term: 2}, entries(2, 2, 2)) }},
		{"new segment", func(log *Log) error { return log.startSegment(2) }},
		{"snapshot", func(log *Log) error { return log.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1}) }},
	}
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			is := is.New(t)
			system := newMemoryFileSystem()
			log, _ := open(t, system)
			is.NoErr(log.Save(raft.HardState{Term: 1}, entries(1, 1, 1)))
			system.fault = func(call, _ string) error {
				if call == "sync" {
					return syscall.ENOSPC
				}
				return nil
			}
			err := log.fail(entry.run(log))
			is.True(errors.Is(err, ErrDiskFull))
			is.True(!errors.Is(err, ErrSync))
			is.NoErr(log.Close())
			system.fault = nil
			reopened, restored := open(t, system)
			is.Equal(restored.Entries, entries(1, 1, 1))
			is.Equal(restored.HardState.Term, raft.Term(1))
			is.Equal(restored.Snapshot.Index, raft.Index(0))
			is.NoErr(reopened.Save(raft.HardState{Term: 3}, entries(2, 2, 3)))
			system.crash(0, func() bool { return false })
			_, restored = open(t, system)
			is.Equal(restored.Entries, append(entries(1, 1, 1), entries(2, 2, 3)...))
		})
	}
}

// TestFullDiskKeepsUncutSegment guards against a log that is opened again although the bytes
// that a sync did not make durable are still there.
func TestFullDiskKeepsUncutSegment(t *testing.T) {
	is := is.New(t)
	system := newMemoryFileSystem()
	log, _ := open(t, system)
	system.fault = func(call, _ string) error {
		switch call {
		case "sync":
			return syscall.ENOSPC
		case "append":
			return syscall.EIO
		}
		return nil
	}
	is.True(errors.Is(log.Save(raft.HardState{Term: 1}, entries(1, 1, 1)), ErrSync))
}

// TestSegmentNameIsDurable guards against entries that are lost with a power loss because the
// name of their segment was not synced: it was created on a full disk and used again later.
func TestSegmentNameIsDurable(t *testing.T) {
	is := is.New(t)
	system := newMemoryFileSystem()
	log, _ := open(t, system)
	is.NoErr(log.Save(raft.HardState{Term: 1}, entries(1, 1, 1)))
	system.fault = func(call, _ string) error {
		if call == "write" {
			return syscall.ENOSPC
		}
		return nil
	}
	is.True(errors.Is(log.startSegment(2), syscall.ENOSPC))
	is.NoErr(log.Close())
	system.fault = nil
	reopened, _ := open(t, system)
	is.NoErr(reopened.Save(raft.HardState{Term: 1}, entries(2, 2, 1)))
	system.crash(0, func() bool { return false })
	_, restored := open(t, system)
	is.Equal(restored.Entries, entries(1, 2, 1))
}
