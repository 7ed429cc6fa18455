package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// replay collects the entries of the segments in their order.
type replay struct {
	hard raft.HardState
	// entries has no gaps; its first index is first.
	first   raft.Index
	entries []raft.Entry
}

// read restores the replica from its segments and its snapshot.
func (log *Log) read(names []string) (raft.Restored, error) {
	snapshot, _, err := log.lastSnapshot(names)
	if err != nil {
		return raft.Restored{}, err
	}
	segments := matching(names, segmentSuffix)
	if len(segments) == 0 {
		return raft.Restored{}, &DamageError{log.directory, 0, "no segment of the log is left"}
	}
	var replay replay
	for i, name := range segments {
		if err := log.readSegment(&replay, name, i == len(segments)-1); err != nil {
			return raft.Restored{}, err
		}
	}
	entries, err := replay.behind(snapshot)
	if err != nil {
		return raft.Restored{}, &DamageError{log.directory, 0, err.Error()}
	}
	if len(entries) == 0 && replay.first != 0 {
		// A crash may have hit between SaveSnapshot and Reset. Later entries must not
		// be read as a continuation of what the snapshot replaced.
		if err := log.write(batch{hard: &log.hard, reset: &position{snapshot.Index, snapshot.Term}}); err != nil {
			return raft.Restored{}, err
		}
	}
	return raft.Restored{HardState: replay.hard, Snapshot: snapshot, Entries: entries}, nil
}

// readSegment adds one segment to the replay. The last segment is opened for
// writing, without a torn frame at its end.
func (log *Log) readSegment(replay *replay, name string, isLast bool) error {
	path := filepath.Join(log.directory, name)
	number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
	if err != nil {
		return &DamageError{path, 0, "the name is not that of a segment"}
	}
	if n := len(log.segments); n > 0 && number != log.segments[n-1].number+1 {
		return &DamageError{path, 0, fmt.Sprintf("segment %d is missing before it", log.segments[n-1].number+1)}
	}
	content, err := log.system.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	current := segment{number: number}
	size, err := replay.segment(path, content, isLast, &current)
	if err != nil {
		return err
	}
	current.size = core.Bytes(size)
	log.segments = append(log.segments, current)
	if !isLast {
		return nil
	}
	log.hard = replay.hard
	return log.continueSegment(path, size)
}

// continueSegment opens the last segment for writing. A torn frame is cut off and
// the cut is synced, so that the frame cannot come back behind later ones. The
// first sync also covers frames that a crashed process had written but not synced.
func (log *Log) continueSegment(path string, size int) error {
	file, err := log.system.Append(path, int64(size))
	if err != nil {
		return errors.Wrapf(err, "open %s", path)
	}
	log.file = file
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", path)
	}
	if size > 0 {
		return nil
	}
	if len(log.segments) == 1 {
		return &DamageError{path, 0, "the first write of the log is missing"}
	}
	// A crash hit the segment before its first frame was durable.
	return log.write(batch{hard: &log.hard})
}

// segment adds the frames of a segment and returns the size of its correct part.
func (replay *replay) segment(path string, content []byte, isLast bool, current *segment) (int, error) {
	at := 0
	for at < len(content) {
		payload, size, ok := readFrame(content[at:])
		if !ok {
			if !isLast || findFrame(content[at+1:]) {
				return 0, &DamageError{path, int64(at), "a write fails its check and is not the last one"}
			}
			return at, nil
		}
		decoded, err := decodeBatch(payload)
		if err != nil {
			return 0, &DamageError{path, int64(at), err.Error()}
		}
		if err := replay.add(decoded, current); err != nil {
			return 0, &DamageError{path, int64(at), err.Error()}
		}
		at += size
	}
	if !isLast && at == 0 {
		return 0, &DamageError{path, 0, "the segment is empty"}
	}
	return at, nil
}

func (replay *replay) add(batch batch, current *segment) error {
	if batch.hard != nil {
		replay.hard = *batch.hard
	}
	if batch.reset != nil {
		replay.first, replay.entries = batch.reset.index+1, nil
	}
	for _, entry := range batch.entries {
		current.last = max(current.last, entry.Index)
		next := replay.first + raft.Index(len(replay.entries))
		switch {
		case replay.first == 0:
			replay.first = entry.Index
		case entry.Index > next:
			return errors.Errorf("entry %d follows entry %d", entry.Index, next-1)
		case entry.Index < replay.first:
			// It replaces entries in segments that a snapshot made obsolete.
			replay.first, replay.entries = entry.Index, nil
		default:
			replay.entries = replay.entries[:entry.Index-replay.first]
		}
		replay.entries = append(replay.entries, entry)
	}
	return nil
}

// behind returns the entries that follow a snapshot. If the log contradicts the
// snapshot, which was then installed before a crash, no entry follows it.
func (replay *replay) behind(snapshot raft.Snapshot) ([]raft.Entry, error) {
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
