package wal

import (
	"crypto/rand"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	lockFile        = "lock"
	identityFile    = "incarnation"
	// defaultSegmentBytes keeps the number of segments small and still lets compaction
	// free disk space in small steps.
	defaultSegmentBytes core.Bytes = 16 << 20
)

// Options configure a Log. The zero value selects the file system of the operating
// system and the default segment size.
type Options struct {
	System FileSystem
	// SegmentBytes is the size that a segment may not exceed unless it holds only one
	// write after its initial hard state. Zero means 16 MiB.
	SegmentBytes core.Bytes
}

// segment is one file of the log.
type segment struct {
	number uint64
	// lastIndex is the largest index of the entries in the segment, or 0 if it has none.
	lastIndex raft.Index
	size      core.Bytes
}

// Log is the log of one replica on disk. Save, Reset and Compact must not be called
// concurrently with each other. SaveSnapshot and Snapshot may be called by one other
// goroutine at the same time.
type Log struct {
	fileSystem   FileSystem
	directory    string
	segmentBytes core.Bytes
	incarnation  core.Incarnation
	unlock       func() error
	segments     []segment
	file         File
	hardState    raft.HardState
	syncs        atomic.Uint64

	lock   sync.Mutex // guards failed; no other lock is acquired while it is held
	failed error
}

// Open locks the directory, creates the identity of the replica if the directory is new,
// and reads the log. It returns ErrLocked if another process uses the directory, and a
// *DamageError for data that is missing or cannot be read.
func Open(directory string, options Options) (*Log, raft.Restored, error) {
	if options.System == nil {
		options.System = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	log := &Log{fileSystem: options.System, directory: directory, segmentBytes: options.SegmentBytes}
	if err := log.createDirectory(); err != nil {
		return nil, raft.Restored{}, err
	}
	unlock, err := log.fileSystem.Lock(filepath.Join(directory, lockFile))
	if err != nil {
		return nil, raft.Restored{}, errors.Wrapf(err, "lock %s", directory)
	}
	log.unlock = unlock
	restored, err := log.load()
	if err == nil {
		err = log.syncNames()
	}
	if err != nil {
		return nil, raft.Restored{}, errors.Join(joinDiskFull(err), log.Close())
	}
	return log, restored, nil
}

// syncNames makes the names of the files durable. The last segment may have been created on a
// full disk: it is used from now on, but startSegment has returned before it synced its name,
// and a power loss would remove it with all entries that are saved to it.
func (log *Log) syncNames() error {
	if err := log.fileSystem.SyncDirectory(log.directory); err != nil {
		return wrapSync(err, log.directory)
	}
	return nil
}

// createDirectory creates the directory if it does not exist. It makes its name and that of
// its parent, which is created as well, durable: without them a replica whose files are all
// synced would return with an empty disk after a power loss.
func (log *Log) createDirectory() error {
	if _, err := log.fileSystem.ListDirectory(log.directory); err != nil {
		return errors.Wrapf(err, "open %s", log.directory)
	}
	parent := filepath.Dir(log.directory)
	for _, changed := range []string{parent, filepath.Dir(parent)} {
		if err := log.fileSystem.SyncDirectory(changed); err != nil {
			return wrapSync(err, changed)
		}
	}
	return nil
}

func (log *Log) load() (raft.Restored, error) {
	names, err := log.fileSystem.ListDirectory(log.directory)
	if err != nil {
		return raft.Restored{}, errors.Wrapf(err, "list %s", log.directory)
	}
	for _, name := range withSuffix(names, temporarySuffix) {
		if err := log.fileSystem.Remove(filepath.Join(log.directory, name)); err != nil {
			return raft.Restored{}, errors.Wrapf(err, "remove %s", name)
		}
	}
	if !slices.Contains(names, identityFile) {
		return raft.Restored{}, log.createIdentity(names)
	}
	if err := log.readIdentity(); err != nil {
		return raft.Restored{}, err
	}
	return log.restore(names)
}

// createIdentity creates the first segment and then the identity file. A directory that
// has an identity file but no segment has therefore lost data.
func (log *Log) createIdentity(names []string) error {
	if len(withSuffix(names, snapshotSuffix)) > 0 || len(withSuffix(names, segmentSuffix)) > 1 {
		return &DamageError{filepath.Join(log.directory, identityFile), 0, "the identity file is missing although a log exists"}
	}
	for _, name := range withSuffix(names, segmentSuffix) {
		if err := log.removeUnusedSegment(name); err != nil {
			return err
		}
	}
	if err := log.startSegment(1); err != nil {
		return err
	}
	log.incarnation = core.Incarnation(strings.ToLower(rand.Text()))
	content := appendFrame(nil, []byte(log.incarnation))
	return writeFileAtomically(log.fileSystem, filepath.Join(log.directory, identityFile), content)
}

// removeUnusedSegment deletes a segment that remained after a crash before the identity
// file was created. Such a segment is not larger than the initial frame of a segment; a
// larger one holds data, and a *DamageError is returned.
func (log *Log) removeUnusedSegment(name string) error {
	path := filepath.Join(log.directory, name)
	content, err := log.fileSystem.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	if firstFrame := appendFrame(nil, (&batch{hardState: &raft.HardState{}}).encode()); len(content) > len(firstFrame) {
		return &DamageError{filepath.Join(log.directory, identityFile), 0, "the identity file is missing although a log exists"}
	}
	if err := log.fileSystem.Remove(path); err != nil {
		return errors.Wrapf(err, "remove %s", path)
	}
	return nil
}

func (log *Log) readIdentity() error {
	path := filepath.Join(log.directory, identityFile)
	content, err := log.fileSystem.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	identity, size, ok := readFrame(content)
	if !ok || size != len(content) || len(identity) == 0 {
		return &DamageError{path, 0, "the identity file does not contain one valid frame"}
	}
	log.incarnation = core.Incarnation(identity)
	return nil
}

// Incarnation returns the identity of the replica, which is generated once per directory.
func (log *Log) Incarnation() core.Incarnation { return log.incarnation }

// Syncs returns the number of frames that Save, Reset and Open have synced or tried to
// sync. It does not count the syncs that start a segment or open an existing one.
func (log *Log) Syncs() uint64 { return log.syncs.Load() }

// Save makes the hard state and entries durable with one write and one sync, or with two
// of each if it starts a new segment. The entries replace all stored entries from the
// index of the first one on. The error is ErrFailed or ErrClosed if the log is no longer
// usable, ErrTooLarge if the entries are too large together, ErrDiskFull if the disk is
// full, and ErrSync if a sync failed.
func (log *Log) Save(hardState raft.HardState, entries []raft.Entry) error {
	log.hardState = hardState
	return log.write(batch{hardState: &hardState, entries: entries})
}

// Reset discards all entries, so that the log continues after a snapshot that
// SaveSnapshot has made durable, and calls Compact. It returns the same errors as Save.
func (log *Log) Reset(hardState raft.HardState, snapshot raft.Snapshot) error {
	log.hardState = hardState
	if err := log.write(batch{hardState: &hardState, reset: &position{snapshot.Index, snapshot.Term}}); err != nil {
		return err
	}
	return log.Compact(snapshot.Index)
}

// write appends a batch to the active segment and syncs it. It starts a new segment if
// the active one would become too large.
func (log *Log) write(batch batch) error {
	if err := log.checkUsable(); err != nil {
		return err
	}
	payload := batch.encode()
	if err := checkPayloadSize(len(payload)); err != nil {
		return err
	}
	frame := appendFrame(nil, payload)
	active := &log.segments[len(log.segments)-1]
	if active.size > 0 && active.size+core.Bytes(len(frame)) > log.segmentBytes {
		if err := log.startSegment(active.number + 1); err != nil {
			return log.fail(err)
		}
		active = &log.segments[len(log.segments)-1]
	}
	if _, err := log.file.Write(frame); err != nil {
		return log.fail(errors.Wrap(err, "write the active segment"))
	}
	log.syncs.Add(1)
	if err := log.file.Sync(); err != nil {
		return log.fail(log.discardUnsynced(err, active.number, active.size))
	}
	active.size += core.Bytes(len(frame))
	for _, entry := range batch.entries {
		active.lastIndex = max(active.lastIndex, entry.Index)
	}
	return nil
}

// startSegment creates a new segment and makes it the active one. It begins with the hard
// state, so that earlier segments can be deleted.
func (log *Log) startSegment(number uint64) error {
	path := filepath.Join(log.directory, segmentName(number))
	file, err := log.fileSystem.Create(path)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	frame := appendFrame(nil, (&batch{hardState: &log.hardState}).encode())
	if _, err := file.Write(frame); err != nil {
		file.Close()
		return errors.Wrapf(err, "write %s", path)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return log.discardUnsynced(err, number, 0)
	}
	if err := log.fileSystem.SyncDirectory(log.directory); err != nil {
		file.Close()
		return wrapSync(err, log.directory)
	}
	if log.file != nil {
		log.file.Close() // its content is already synced
	}
	log.file = file
	log.segments = append(log.segments, segment{number: number, size: core.Bytes(len(frame))})
	return nil
}

// discardUnsynced returns the error of a failed sync of a segment of which size bytes are
// durable. File systems that assign space late find a full disk only then. What was not synced
// is cut off in that case, so that it is never read back and taken for durable; the log can be
// opened again. Any other failure, and one to cut, is ErrSync.
func (log *Log) discardUnsynced(err error, number uint64, size core.Bytes) error {
	path := filepath.Join(log.directory, segmentName(number))
	if !isDiskFull(err) {
		return wrapSync(err, path)
	}
	file, cutErr := log.fileSystem.OpenAppend(path, int64(size))
	if cutErr != nil {
		return errors.Join(wrapSync(err, path), errors.Wrapf(cutErr, "cut %s", path))
	}
	file.Close()
	return errors.Wrapf(err, "sync %s, cut to %d bytes", path, size)
}

// Compact deletes the snapshots before index, and the segments before the active one that
// hold no entry after index. A durable snapshot at index must exist. It returns ErrFailed
// or ErrClosed if the log is no longer usable, and ErrSync if a sync failed.
func (log *Log) Compact(index raft.Index) error {
	if err := log.checkUsable(); err != nil {
		return err
	}
	kept := 1
	if log.segments[len(log.segments)-1].size == 0 {
		kept = 2 // the hard state is in the segment before the active one
	}
	for len(log.segments) > kept && log.segments[0].lastIndex <= index {
		if err := log.removeDurably(segmentName(log.segments[0].number)); err != nil {
			return log.fail(err)
		}
		log.segments = log.segments[1:]
	}
	if err := log.removeSnapshotsBefore(index); err != nil {
		return log.fail(err)
	}
	return nil
}

// removeDurably removes a file and syncs the directory. After a power loss each removal
// that was not synced may be undone independently, so that files which are removed in
// order and without a sync between them could come back with gaps.
func (log *Log) removeDurably(name string) error {
	path := filepath.Join(log.directory, name)
	if err := log.fileSystem.Remove(path); err != nil {
		return errors.Wrapf(err, "remove %s", path)
	}
	if err := log.fileSystem.SyncDirectory(log.directory); err != nil {
		return wrapSync(err, log.directory)
	}
	return nil
}

// Close closes the files and unlocks the directory. It writes nothing: saved data is
// already durable.
func (log *Log) Close() error {
	log.lock.Lock()
	if log.failed == nil {
		log.failed = ErrClosed
	}
	log.lock.Unlock()
	if log.file != nil {
		log.file.Close()
		log.file = nil
	}
	if log.unlock == nil {
		return nil
	}
	unlock := log.unlock
	log.unlock = nil
	if err := unlock(); err != nil {
		return errors.Wrapf(err, "unlock %s", log.directory)
	}
	return nil
}

// checkUsable returns ErrFailed after a failed write, ErrClosed after Close, and nil
// otherwise.
func (log *Log) checkUsable() error {
	log.lock.Lock()
	defer log.lock.Unlock()
	return log.failed
}

// fail makes all further writes fail with ErrFailed and returns err. A failed sync must
// not be retried: the operating system may have dropped the dirty pages, and the retry
// would succeed although the data is lost.
func (log *Log) fail(err error) error {
	err = joinDiskFull(err)
	log.lock.Lock()
	defer log.lock.Unlock()
	if log.failed == nil {
		log.failed = errors.Join(ErrFailed, err)
	}
	return err
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%020d%s", number, segmentSuffix)
}

func snapshotName(index raft.Index) string {
	return fmt.Sprintf("%020d%s", index, snapshotSuffix)
}

func withSuffix(names []string, suffix string) []string {
	var found []string
	for _, name := range names {
		if strings.HasSuffix(name, suffix) {
			found = append(found, name)
		}
	}
	return found
}
