package wal

import (
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// encodeSnapshot returns the content of a snapshot file: one frame that describes
// it and one with its data.
func encodeSnapshot(snapshot raft.Snapshot) []byte {
	head := appendNumbers(nil, uint64(snapshot.Index), uint64(snapshot.Term))
	head = appendBytes(head, snapshot.Membership.Encode())
	content := make([]byte, 0, len(head)+len(snapshot.Data)+2*frameHeaderSize)
	return appendFrame(appendFrame(content, head), snapshot.Data)
}

// decodeSnapshot is the inverse of encodeSnapshot. Its data shares memory with
// content.
func decodeSnapshot(file string, content []byte) (raft.Snapshot, error) {
	head, size, ok := readFrame(content)
	if !ok {
		return raft.Snapshot{}, &DamageError{file, 0, "the description of the snapshot fails its check"}
	}
	data, rest, ok := readFrame(content[size:])
	if !ok || size+rest != len(content) {
		return raft.Snapshot{}, &DamageError{file, int64(size), "the data of the snapshot fails its check"}
	}
	reader := payloadReader{rest: head}
	snapshot := raft.Snapshot{Index: raft.Index(reader.number()), Term: raft.Term(reader.number()), Data: data}
	members, err := raft.DecodeMembership(reader.bytes())
	if reader.err != nil || err != nil {
		return raft.Snapshot{}, &DamageError{file, frameHeaderSize, "the description of the snapshot cannot be decoded"}
	}
	snapshot.Membership = members
	return snapshot, nil
}

// SaveSnapshot makes a snapshot durable. It may run at the same time as Save. The
// log keeps its entries until Compact or Reset is called.
func (log *Log) SaveSnapshot(snapshot raft.Snapshot) error {
	if err := log.usable(); err != nil {
		return err
	}
	path := filepath.Join(log.directory, snapshotName(snapshot.Index))
	if err := writeDurable(log.system, path, encodeSnapshot(snapshot)); err != nil {
		return log.fail(errors.Wrap(err, "save snapshot"))
	}
	return nil
}

// Snapshot reads the last durable snapshot. It returns false if there is none.
func (log *Log) Snapshot() (raft.Snapshot, bool, error) {
	names, err := log.system.Names(log.directory)
	if err != nil {
		return raft.Snapshot{}, false, errors.Wrapf(err, "list %s", log.directory)
	}
	return log.lastSnapshot(names)
}

func (log *Log) lastSnapshot(names []string) (raft.Snapshot, bool, error) {
	snapshots := matching(names, snapshotSuffix)
	if len(snapshots) == 0 {
		return raft.Snapshot{}, false, nil
	}
	path := filepath.Join(log.directory, snapshots[len(snapshots)-1])
	content, err := log.system.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, false, errors.Wrapf(err, "read %s", path)
	}
	snapshot, err := decodeSnapshot(path, content)
	return snapshot, err == nil, err
}

// removeSnapshotsBefore deletes the snapshots that a later one replaces.
func (log *Log) removeSnapshotsBefore(index raft.Index) error {
	names, err := log.system.Names(log.directory)
	if err != nil {
		return errors.Wrapf(err, "list %s", log.directory)
	}
	for _, name := range matching(names, snapshotSuffix) {
		if name >= snapshotName(index) {
			break
		}
		if err := log.system.Remove(filepath.Join(log.directory, name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
