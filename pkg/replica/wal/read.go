package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// replay accumulates the hard state and the entries of the segments in order.
type replay struct {
	hardState raft.HardState
	// first is the index of the first of entries, which have no gaps, or 0 before the
	// first entry or reset.
	first   raft.Index
	entries []raft.Entry
}

// restore reads the state of the replica from its segments and its latest snapshot.
func (log *Log) restore(names []string) (raft.Restored, error) {
	snapshot, _, err := log.lastSnapshot(names)
	if err != nil {
		return raft.Restored{}, err
	}
	segments := withSuffix(names, segmentSuffix)
	if len(segments) == 0 {
		return raft.Restored{}, &DamageError{log.directory, 0, "the log has no segments"}
	}
	var replay replay
	reappeared, err := log.readSegments(&replay, segments, snapshot.Index)
	if err != nil {
		return raft.Restored{}, errors.Wrapf(err, "segments %s, snapshot %d", strings.Join(segments, " "), snapshot.Index)
	}
	entries, err := replay.entriesAfter(snapshot)
	if err == nil && len(reappeared) > 0 && len(entries) == 0 && replay.hardState.Commit > snapshot.Index {
		err = errors.Errorf("entries %d to %d are missing", snapshot.Index+1, replay.hardState.Commit)
	}
	if err != nil {
		return raft.Restored{}, &DamageError{log.directory, 0, err.Error()}
	}
	if err := log.removeReplaced(reappeared, snapshot.Index); err != nil {
		return raft.Restored{}, err
	}
	if log.segments[len(log.segments)-1].size == 0 {
		// The process crashed, or the disk was full, before the first frame of the segment was
		// durable.
		if err := log.write(batch{hardState: &log.hardState}); err != nil {
			return raft.Restored{}, err
		}
	}
	if len(entries) == 0 && replay.first != 0 {
		// The process may have crashed between SaveSnapshot and Reset. Without a reset,
		// later entries would be read as a continuation of the entries that the snapshot
		// replaced.
		if err := log.write(batch{hardState: &log.hardState, reset: &position{snapshot.Index, snapshot.Term}}); err != nil {
			return raft.Restored{}, err
		}
	}
	return raft.Restored{HardState: replay.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// readSegments adds the segments with the given names to the replay. It returns those before
// a gap, which are no part of the log any more.
func (log *Log) readSegments(replay *replay, names []string, snapshot raft.Index) ([]segment, error) {
	var reappeared []segment
	for i, name := range names {
		number, err := log.segmentNumber(name)
		if err != nil {
			return nil, err
		}
		if n := len(log.segments); n > 0 && number != log.segments[n-1].number+1 {
			if err := log.checkReappeared(snapshot); err != nil {
				return nil, err
			}
			reappeared, log.segments = append(reappeared, log.segments...), nil
			replay.first, replay.entries = 0, nil
		}
		if err := log.readSegment(replay, number, i == len(names)-1); err != nil {
			return nil, err
		}
		replay.discardBefore(snapshot)
	}
	return reappeared, nil
}

// segmentNumber returns the number of the segment file with the given name.
func (log *Log) segmentNumber(name string) (uint64, error) {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
	if err != nil || name != segmentName(number) {
		return 0, &DamageError{filepath.Join(log.directory, name), 0, "the file name is not a segment number"}
	}
	return number, nil
}

// checkReappeared returns nil if the segments before a gap may have been removed by Compact
// and have come back after a power loss because earlier versions did not sync removals.
// Compact removes only segments without an entry after the snapshot; a gap behind any
// other segment is damage.
func (log *Log) checkReappeared(snapshot raft.Index) error {
	for _, before := range log.segments {
		if before.lastIndex > snapshot {
			missing := log.segments[len(log.segments)-1].number + 1
			path := filepath.Join(log.directory, segmentName(missing))
			return &DamageError{path, 0, fmt.Sprintf("segment %d is missing and segment %d holds entries after snapshot %d", missing, before.number, snapshot)}
		}
	}
	return nil
}

// removeReplaced removes the segments that have reappeared and all other files that the snapshot
// replaces. A full disk has room again after that, before anything is written.
func (log *Log) removeReplaced(reappeared []segment, snapshot raft.Index) error {
	for _, segment := range reappeared {
		if err := log.removeDurably(segmentName(segment.number)); err != nil {
			return err
		}
	}
	if snapshot == 0 {
		return nil
	}
	return log.Compact(snapshot)
}

// readSegment adds one segment to the replay. It opens the last segment for appending,
// after it has truncated a torn frame at its end.
func (log *Log) readSegment(replay *replay, number uint64, isLast bool) error {
	path := filepath.Join(log.directory, segmentName(number))
	content, err := log.fileSystem.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	current := segment{number: number}
	size, err := replay.addSegment(path, content, isLast, &current)
	if err != nil {
		return err
	}
	current.size = core.Bytes(size)
	log.segments = append(log.segments, current)
	if !isLast {
		return nil
	}
	log.hardState = replay.hardState
	return log.reopenSegment(path, size)
}

// reopenSegment opens the last segment for appending and truncates it to size bytes. It
// syncs the truncation, so that a torn frame cannot reappear after later frames. This
// sync also covers frames that a crashed process wrote but did not sync.
func (log *Log) reopenSegment(path string, size int) error {
	file, err := log.fileSystem.OpenAppend(path, int64(size))
	if err != nil {
		return errors.Wrapf(err, "open %s", path)
	}
	log.file = file
	if err := file.Sync(); err != nil {
		return wrapSync(err, path)
	}
	if size == 0 && len(log.segments) == 1 {
		return &DamageError{path, 0, "the first frame of the log is missing"}
	}
	return nil
}

// addSegment adds the frames of a segment and returns the size of its valid part in
// bytes. Only the last segment may end with an invalid frame; it returns a *DamageError
// for any other one.
func (replay *replay) addSegment(path string, content []byte, isLast bool, current *segment) (int, error) {
	offset := 0
	for offset < len(content) {
		payload, size, ok := readFrame(content[offset:])
		if !ok {
			if !isLast || containsFrame(content[offset+1:]) {
				return 0, &DamageError{path, int64(offset), "invalid frame before the end of the log"}
			}
			return offset, nil
		}
		decoded, err := decodeBatch(payload)
		if err != nil {
			return 0, &DamageError{path, int64(offset), err.Error()}
		}
		if err := replay.addBatch(decoded, current); err != nil {
			return 0, &DamageError{path, int64(offset), err.Error()}
		}
		offset += size
	}
	if !isLast && offset == 0 {
		return 0, &DamageError{path, 0, "the segment is empty"}
	}
	return offset, nil
}

// addBatch applies one frame. It returns an error if entries are missing before those of
// the batch.
func (replay *replay) addBatch(batch batch, current *segment) error {
	if batch.hardState != nil {
		replay.hardState = *batch.hardState
	}
	if batch.reset != nil {
		replay.first, replay.entries = batch.reset.index+1, nil
	}
	for _, entry := range batch.entries {
		current.lastIndex = max(current.lastIndex, entry.Index)
		next := replay.first + raft.Index(len(replay.entries))
		switch {
		case replay.first == 0:
			replay.first = entry.Index
		case entry.Index > next:
			return errors.Errorf("entry %d follows entry %d, the entries between them are missing", entry.Index, next-1)
		case entry.Index < replay.first:
			// The segments with the entries before first were deleted, because a snapshot
			// replaced them.
			replay.first, replay.entries = entry.Index, nil
		default:
			replay.entries = replay.entries[:entry.Index-replay.first]
		}
		replay.entries = append(replay.entries, entry)
	}
	return nil
}

// discardBefore drops the entries before index, which a snapshot replaces. It frees their
// memory, which would otherwise hold all segments of the directory at once.
func (replay *replay) discardBefore(index raft.Index) {
	if replay.first == 0 || replay.first >= index {
		return
	}
	count := min(int(index-replay.first), len(replay.entries))
	replay.entries = slices.Clone(replay.entries[count:])
	replay.first += raft.Index(count)
}

// entriesAfter returns the entries that follow a snapshot. It returns none if the log
// conflicts with the snapshot: the process then crashed after it had installed the
// snapshot and before Reset. It returns an error if entries between the snapshot and the
// log are missing.
func (replay *replay) entriesAfter(snapshot raft.Snapshot) ([]raft.Entry, error) {
	if len(replay.entries) == 0 {
		return nil, nil
	}
	last := replay.first + raft.Index(len(replay.entries)) - 1
	if replay.first > snapshot.Index+1 {
		return nil, errors.Errorf("entries %d to %d are missing", snapshot.Index+1, replay.first-1)
	}
	if last <= snapshot.Index {
		return nil, nil
	}
	if replay.first <= snapshot.Index && replay.entries[snapshot.Index-replay.first].Term != snapshot.Term {
		return nil, nil
	}
	return replay.entries[snapshot.Index+1-replay.first:], nil
}
