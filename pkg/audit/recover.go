package audit

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
)

// tail is the end of a chain on disk.
type tail struct {
	header fileHeader
	path   string
	size   int64
	count  Index
	hash   Hash
	// cut is the number of bytes of a torn block that were removed.
	cut int64
}

// recoverTail reads the newest file of a folder up to its last sound block and
// truncates what a crash left behind it. Damage in front of a sound block or below
// the head's count is an error, since the writer syncs each block before the next.
func recoverTail(path string, synced head) (tail, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return tail{}, errors.Wrap(err, "read audit file")
	}
	header, at, err := decodeHeader(path, data)
	if err != nil {
		return tail{}, err
	}
	end := tail{header: header, path: path, count: header.First - 1, hash: Hash(header.Previous)}
	for at < len(data) {
		block, ok := decodeBlock(data[at:])
		if !ok || !block.sound {
			break
		}
		if err := end.follow(block, int64(at)); err != nil {
			return tail{}, err
		}
		at += block.size
	}
	if found := nextSound(data[min(at+1, len(data)):]); found >= 0 {
		return tail{}, &DamageError{path, int64(at), fmt.Sprintf("a sound block follows at offset %d", at+1+found)}
	}
	if end.count < synced.Count {
		return tail{}, &DamageError{path, int64(at), fmt.Sprintf("the chain ends at record %d, but %d were synced", end.count, synced.Count)}
	}
	end.size, end.cut = int64(at), int64(len(data)-at)
	return end, end.truncate()
}

func (end *tail) follow(block block, offset int64) error {
	entries, whole := block.entries()
	if !whole {
		return &DamageError{end.path, offset, "the block does not hold its entries"}
	}
	for _, entry := range entries {
		if entry.index != end.count+1 || entry.hash != end.hash.next(entry.index, entry.payload) {
			return &DamageError{end.path, offset, fmt.Sprintf("record %d does not follow record %d", entry.index, end.count)}
		}
		end.count, end.hash = entry.index, entry.hash
	}
	return nil
}

func (end *tail) truncate() error {
	if end.cut == 0 {
		return nil
	}
	if err := os.Truncate(end.path, end.size); err != nil {
		return errors.Wrap(err, "truncate audit file")
	}
	return nil
}
