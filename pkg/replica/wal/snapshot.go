package wal

import (
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// encodeSnapshot returns the content of a snapshot file: one frame with the header, which
// holds index, term and membership, and one frame with the data.
func encodeSnapshot(snapshot raft.Snapshot) []byte {
	header := appendUvarints(nil, uint64(snapshot.Index), uint64(snapshot.Term))
	header = appendBytes(header, snapshot.Membership.Encode())
	content := make([]byte, 0, len(header)+len(snapshot.Data)+2*frameHeaderSize)
	return appendFrame(appendFrame(content, header), snapshot.Data)
}

// decodeSnapshot decodes the content of a snapshot file. The data of the snapshot shares
// memory with content. It returns a *DamageError with the given file name if the content
// is invalid.
func decodeSnapshot(file string, content []byte) (raft.Snapshot, error) {
	header, size, ok := readFrame(content)
	if !ok {
		return raft.Snapshot{}, &DamageError{file, 0, "the snapshot header is not a valid frame"}
	}
	data, dataSize, ok := readFrame(content[size:])
	if !ok || size+dataSize != len(content) {
		return raft.Snapshot{}, &DamageError{file, int64(size), "the snapshot data is not one valid frame"}
	}
	reader := payloadReader{remaining: header}
	snapshot := raft.Snapshot{Index: raft.Index(reader.uvarint()), Term: raft.Term(reader.uvarint()), Data: data}
	members, err := raft.DecodeMembership(reader.bytes())
	if reader.err != nil || err != nil {
		return raft.Snapshot{}, &DamageError{file, frameHeaderSize, "the snapshot header cannot be decoded"}
	}
	snapshot.Membership = members
	return snapshot, nil
}

// SaveSnapshot makes a snapshot durable. It may run concurrently with Save. The log
// retains its entries until Compact or Reset is called. It returns ErrFailed or ErrClosed
// if the log is no longer usable.
func (log *Log) SaveSnapshot(snapshot raft.Snapshot) error {
	if err := log.checkUsable(); err != nil {
		return err
	}
	if err := checkPayloadSize(len(snapshot.Data)); err != nil {
		return err
	}
	path := filepath.Join(log.directory, snapshotName(snapshot.Index))
	if err := writeFileAtomically(log.fileSystem, path, encodeSnapshot(snapshot)); err != nil {
		return log.fail(errors.Wrap(err, "save snapshot"))
	}
	return nil
}

// Snapshot reads the durable snapshot with the largest index. It returns false if there
// is none, and a *DamageError if the file is invalid.
func (log *Log) Snapshot() (raft.Snapshot, bool, error) {
	names, err := log.fileSystem.ListDirectory(log.directory)
	if err != nil {
		return raft.Snapshot{}, false, errors.Wrapf(err, "list %s", log.directory)
	}
	return log.lastSnapshot(names)
}

func (log *Log) lastSnapshot(names []string) (raft.Snapshot, bool, error) {
	snapshots := withSuffix(names, snapshotSuffix)
	if len(snapshots) == 0 {
		return raft.Snapshot{}, false, nil
	}
	path := filepath.Join(log.directory, snapshots[len(snapshots)-1])
	content, err := log.fileSystem.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, false, errors.Wrapf(err, "read %s", path)
	}
	snapshot, err := decodeSnapshot(path, content)
	return snapshot, err == nil, err
}

// removeSnapshotsBefore durably deletes the snapshots whose index is smaller than index.
func (log *Log) removeSnapshotsBefore(index raft.Index) error {
	names, err := log.fileSystem.ListDirectory(log.directory)
	if err != nil {
		return errors.Wrapf(err, "list %s", log.directory)
	}
	for _, name := range withSuffix(names, snapshotSuffix) {
		if name >= snapshotName(index) {
			break
		}
		if err := log.removeDurably(name); err != nil {
			return err
		}
	}
	return nil
}
