package audit

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
)

// tail describes the newest file of a chain and the last record in it.
type tail struct {
	header fileHeader
	path   string
	size   int64
	count  Index
	hash   Hash
	// tornBytes is the size of a torn block at the end of the file.
	tornBytes int64
}

// recoverTail reads the newest file of a folder up to its last valid block and truncates
// the incomplete block that a crash may have left after it. It returns a DamageError if a
// valid block follows damage, or if the chain ends before the head's count: the writer
// syncs each block before it writes the next one, so a crash leads to neither.
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
		if !ok || !block.valid {
			break
		}
		if err := end.addBlock(block, int64(at)); err != nil {
			return tail{}, err
		}
		at += block.size
	}
	if found := nextValidBlock(data[min(at+1, len(data)):]); found >= 0 {
		return tail{}, &DamageError{path, int64(at), fmt.Sprintf("a sound block follows at offset %d", at+1+found)}
	}
	if end.count < synced.Count {
		return tail{}, &DamageError{path, int64(at), fmt.Sprintf("the chain ends at record %d, but %d were synced", end.count, synced.Count)}
	}
	end.size, end.tornBytes = int64(at), int64(len(data)-at)
	return end, end.truncate()
}

func (end *tail) addBlock(block block, offset int64) error {
	entries, complete := block.entries()
	if !complete {
		return &DamageError{end.path, offset, "the block does not hold its entries"}
	}
	for _, entry := range entries {
		if entry.index != end.count+1 || entry.hash != end.hash.extend(entry.index, entry.payload) {
			return &DamageError{end.path, offset, fmt.Sprintf("record %d does not follow record %d", entry.index, end.count)}
		}
		end.count, end.hash = entry.index, entry.hash
	}
	return nil
}

func (end *tail) truncate() error {
	if end.tornBytes == 0 {
		return nil
	}
	if err := os.Truncate(end.path, end.size); err != nil {
		return errors.Wrap(err, "truncate audit file")
	}
	return nil
}
