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
	// defaultSegmentBytes keeps the number of segments small and lets compaction
	// free room in steps.
	defaultSegmentBytes core.Bytes = 16 << 20
)

// Options set up a log. The zero value means the operating system's files and the
// default size of segments.
type Options struct {
	System FileSystem
	// SegmentBytes is the size after which a new segment is started.
	SegmentBytes core.Bytes
}

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the largest index of an entry in it.
	last raft.Index
	size core.Bytes
}

// Log is the log of one replica on disk. Save, Reset and Compact may be used by
// one goroutine at a time; SaveSnapshot and Snapshot by another.
type Log struct {
	system       FileSystem
	directory    string
	segmentBytes core.Bytes
	incarnation  core.Incarnation
	release      func() error
	segments     []segment
	file         File
	hard         raft.HardState
	syncs        atomic.Uint64

	lock   sync.Mutex // a leaf: nothing else is locked while it is held
	failed error
}

// Open locks the directory, makes the replica's identity if the directory is new,
// and reads the log. It returns a *DamageError for data that cannot be read.
func Open(directory string, options Options) (*Log, raft.Restored, error) {
	if options.System == nil {
		options.System = Disk{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	log := &Log{system: options.System, directory: directory, segmentBytes: options.SegmentBytes}
	if _, err := log.system.Names(directory); err != nil {
		return nil, raft.Restored{}, errors.Wrapf(err, "open %s", directory)
	}
	release, err := log.system.Lock(filepath.Join(directory, lockFile))
	if err != nil {
		return nil, raft.Restored{}, errors.Wrapf(err, "lock %s", directory)
	}
	log.release = release
	restored, err := log.load()
	if err != nil {
		return nil, raft.Restored{}, errors.Join(classify(err), log.Close())
	}
	return log, restored, nil
}

func (log *Log) load() (raft.Restored, error) {
	names, err := log.system.Names(log.directory)
	if err != nil {
		return raft.Restored{}, errors.Wrapf(err, "list %s", log.directory)
	}
	for _, name := range matching(names, temporarySuffix) {
		if err := log.system.Remove(filepath.Join(log.directory, name)); err != nil {
			return raft.Restored{}, errors.Wrapf(err, "remove %s", name)
		}
	}
	if !slices.Contains(names, identityFile) {
		return raft.Restored{}, log.create(names)
	}
	if err := log.readIdentity(); err != nil {
		return raft.Restored{}, err
	}
	return log.read(names)
}

// create makes the first segment and then the identity, so that a directory with
// an identity and without a segment has lost data.
func (log *Log) create(names []string) error {
	if len(matching(names, snapshotSuffix)) > 0 || len(matching(names, segmentSuffix)) > 1 {
		return &DamageError{filepath.Join(log.directory, identityFile), 0, "the file is missing beside a log"}
	}
	for _, name := range matching(names, segmentSuffix) {
		if err := log.removeUnused(name); err != nil {
			return err
		}
	}
	if err := log.startSegment(1); err != nil {
		return err
	}
	log.incarnation = core.Incarnation(strings.ToLower(rand.Text()))
	content := appendFrame(nil, []byte(log.incarnation))
	return writeDurable(log.system, filepath.Join(log.directory, identityFile), content)
}

// removeUnused deletes a segment that a crash left before the identity was made.
// It holds one write at most.
func (log *Log) removeUnused(name string) error {
	path := filepath.Join(log.directory, name)
	content, err := log.system.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	if unused := appendFrame(nil, (&batch{hard: &raft.HardState{}}).encode()); len(content) > len(unused) {
		return &DamageError{filepath.Join(log.directory, identityFile), 0, "the file is missing beside a log"}
	}
	if err := log.system.Remove(path); err != nil {
		return errors.Wrapf(err, "remove %s", path)
	}
	return nil
}

func (log *Log) readIdentity() error {
	path := filepath.Join(log.directory, identityFile)
	content, err := log.system.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	name, size, ok := readFrame(content)
	if !ok || size != len(content) || len(name) == 0 {
		return &DamageError{path, 0, "the identity fails its check"}
	}
	log.incarnation = core.Incarnation(name)
	return nil
}

// Incarnation returns the identity of the replica, made once per directory.
func (log *Log) Incarnation() core.Incarnation { return log.incarnation }

// Syncs returns the number of syncs of segments since the log was opened.
func (log *Log) Syncs() uint64 { return log.syncs.Load() }

// Save makes the hard state and entries durable with one write and one sync.
// Entries replace those with the same or a larger index.
func (log *Log) Save(hard raft.HardState, entries []raft.Entry) error {
	log.hard = hard
	return log.write(batch{hard: &hard, entries: entries})
}

// Reset starts the log anew behind a snapshot that SaveSnapshot has made durable,
// and deletes what the snapshot replaces.
func (log *Log) Reset(hard raft.HardState, snapshot raft.Snapshot) error {
	log.hard = hard
	if err := log.write(batch{hard: &hard, reset: &position{snapshot.Index, snapshot.Term}}); err != nil {
		return err
	}
	return log.Compact(snapshot.Index)
}

func (log *Log) write(batch batch) error {
	if err := log.usable(); err != nil {
		return err
	}
	frame := appendFrame(nil, batch.encode())
	active := &log.segments[len(log.segments)-1]
	if active.size > 0 && active.size+core.Bytes(len(frame)) > log.segmentBytes {
		if err := log.startSegment(active.number + 1); err != nil {
			return log.fail(err)
		}
		active = &log.segments[len(log.segments)-1]
	}
	if _, err := log.file.Write(frame); err != nil {
		return log.fail(errors.Wrap(err, "write log"))
	}
	log.syncs.Add(1)
	if err := log.file.Sync(); err != nil {
		return log.fail(errors.Join(ErrSync, errors.Wrap(err, "sync log")))
	}
	active.size += core.Bytes(len(frame))
	for _, entry := range batch.entries {
		active.last = max(active.last, entry.Index)
	}
	return nil
}

// startSegment makes a new segment. It begins with the hard state, so that earlier
// segments can be deleted.
func (log *Log) startSegment(number uint64) error {
	path := filepath.Join(log.directory, segmentName(number))
	file, err := log.system.Create(path)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	frame := appendFrame(nil, (&batch{hard: &log.hard}).encode())
	if _, err := file.Write(frame); err != nil {
		file.Close()
		return errors.Wrapf(err, "write %s", path)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return errors.Join(ErrSync, errors.Wrapf(err, "sync %s", path))
	}
	if err := log.system.SyncDirectory(log.directory); err != nil {
		file.Close()
		return errors.Wrapf(err, "sync %s", log.directory)
	}
	if log.file != nil {
		log.file.Close() // everything in it is synced
	}
	log.file = file
	log.segments = append(log.segments, segment{number: number, size: core.Bytes(len(frame))})
	return nil
}

// Compact deletes the segments and snapshots that a durable snapshot at index
// replaces.
func (log *Log) Compact(index raft.Index) error {
	if err := log.usable(); err != nil {
		return err
	}
	for len(log.segments) > 1 && log.segments[0].last <= index {
		path := filepath.Join(log.directory, segmentName(log.segments[0].number))
		if err := log.system.Remove(path); err != nil {
			return log.fail(errors.Wrapf(err, "remove %s", path))
		}
		log.segments = log.segments[1:]
	}
	if err := log.removeSnapshotsBefore(index); err != nil {
		return log.fail(err)
	}
	return nil
}

// Close releases the directory. It writes nothing: all that was saved is durable.
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
	if log.release == nil {
		return nil
	}
	release := log.release
	log.release = nil
	if err := release(); err != nil {
		return errors.Wrapf(err, "unlock %s", log.directory)
	}
	return nil
}

func (log *Log) usable() error {
	log.lock.Lock()
	defer log.lock.Unlock()
	return log.failed
}

// fail stops the log for good. A failed sync must not be tried again: the system
// may have dropped the pages and would report success.
func (log *Log) fail(err error) error {
	err = classify(err)
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

func matching(names []string, suffix string) []string {
	var found []string
	for _, name := range names {
		if strings.HasSuffix(name, suffix) {
			found = append(found, name)
		}
	}
	return found
}
