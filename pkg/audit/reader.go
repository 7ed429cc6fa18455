package audit

import (
	"iter"
	"os"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/go-faster/errors"
)

// Entry is a record together with its position in the chain and in the files.
type Entry struct {
	Writer string
	VM     core.VMID
	File   string
	Offset int64
	Index  Index
	Hash   Hash
	Record Record
	// Problem describes damage at this position, and is empty if there is none. Record may
	// be empty if it is set.
	Problem string

	payload Payload
}

// Reader reads the records of one folder in the order of its files. It is read-only and
// may be used while a Writer appends: it ignores an incomplete block at the end of a file.
type Reader struct {
	folder string
}

// NewReader returns a Reader of the audit files in folder.
func NewReader(folder string) *Reader {
	return &Reader{folder: folder}
}

// Entries returns every entry. Damaged content is returned as an entry with Problem set;
// an error means that a file cannot be listed or read.
func (reader *Reader) Entries() iter.Seq2[Entry, error] {
	return func(yield func(Entry, error) bool) {
		files, err := Files(reader.folder)
		if err != nil {
			yield(Entry{}, err)
			return
		}
		for _, path := range files {
			if !readFile(path, nil, yield) {
				return
			}
		}
	}
}

// Records returns every record that can be decoded, without its position.
func (reader *Reader) Records() iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		for entry, err := range reader.Entries() {
			if err == nil && entry.Problem != "" {
				continue
			}
			if !yield(entry.Record, err) {
				return
			}
		}
	}
}

// Newest returns the records of the newest files that can be decoded, at most the given number
// of files, the newest file first. It decodes only the payloads for which wanted returns true.
func (reader *Reader) Newest(files int, wanted func(Payload) bool) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		paths, err := Files(reader.folder)
		if err != nil {
			yield(Record{}, err)
			return
		}
		for _, path := range slices.Backward(paths[max(0, len(paths)-files):]) {
			if !readWanted(path, wanted, yield) {
				return
			}
		}
	}
}

// readWanted yields the records of a file for which wanted returns true. It returns false if
// yield has returned false.
func readWanted(path string, wanted func(Payload) bool, yield func(Record, error) bool) bool {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return true // removed by retention after the files were listed
	}
	if err != nil {
		return yield(Record{}, errors.Wrap(err, "read audit file"))
	}
	_, at, err := decodeHeader(path, data)
	if err != nil {
		return yield(Record{}, err)
	}
	for at < len(data) {
		block, ok := decodeBlock(data[at:])
		if !ok {
			return true // a torn block, or one that is being written
		}
		at += block.size
		entries, _ := block.entries()
		for _, entry := range entries {
			if !wanted(entry.payload) {
				continue
			}
			if record, err := Decode(entry.payload); err == nil && !yield(record, nil) {
				return false
			}
		}
	}
	return true
}

// readFile yields the entries of a file, after it has called begin with the file header.
// It returns false if yield has returned false.
func readFile(path string, begin func(fileHeader), yield func(Entry, error) bool) bool {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return true // removed by retention after the files were listed
	}
	if err != nil {
		return yield(Entry{}, errors.Wrap(err, "read audit file"))
	}
	return readData(path, data, begin, yield)
}

func readData(path string, data []byte, begin func(fileHeader), yield func(Entry, error) bool) bool {
	header, at, err := decodeHeader(path, data)
	position := Entry{Writer: header.Writer, VM: header.VM, File: path}
	if err != nil {
		position.Problem = err.Error()
		return yield(position, nil)
	}
	if begin != nil {
		begin(header)
	}
	for at < len(data) {
		next, ok := readBlock(position, data, at, yield)
		if !ok {
			return false
		}
		at = next
	}
	return true
}

// readBlock yields the entries of the block at an offset and returns the offset of the
// next block. It returns false if yield has returned false.
func readBlock(position Entry, data []byte, at int, yield func(Entry, error) bool) (int, bool) {
	position.Offset = int64(at)
	block, ok := decodeBlock(data[at:])
	if !ok {
		skip := nextValidBlock(data[at+1:])
		if skip < 0 {
			return len(data), true // a torn block, or one that is being written
		}
		position.Problem = "no block begins here"
		return at + 1 + skip, yield(position, nil)
	}
	entries, complete := block.entries()
	for _, entry := range entries {
		if !yield(decodeEntry(position, entry), nil) {
			return 0, false
		}
	}
	if !block.valid || !complete {
		position.Problem = "the block's checksum or count does not fit"
		return at + block.size, yield(position, nil)
	}
	return at + block.size, true
}

func decodeEntry(position Entry, entry entry) Entry {
	position.Index, position.Hash, position.payload = entry.index, entry.hash, entry.payload
	record, err := Decode(entry.payload)
	if err != nil {
		position.Problem = err.Error()
	}
	position.Record = record
	return position
}
