package audit

import (
	"iter"
	"os"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/go-faster/errors"
)

// Entry is a record with its place.
type Entry struct {
	Writer string
	VM     core.VMID
	File   string
	Offset int64
	Index  Index
	Hash   Hash
	Record Record
	// Problem is set if the place is not sound; Record may then be empty.
	Problem string

	payload Payload
}

// Reader reads the records of one folder in the order of its files. It changes
// nothing and may run beside the writer: it ignores a block that is not complete.
type Reader struct {
	folder string
}

// NewReader returns a reader of the audit files in folder.
func NewReader(folder string) *Reader {
	return &Reader{folder: folder}
}

// Entries returns every entry. Places that are not sound are entries with a
// Problem; an error means that the files cannot be read at all.
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

// Records returns every record that can be read, without its place.
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

// readFile yields the entries of a file. It calls begin with the header first.
func readFile(path string, begin func(fileHeader), yield func(Entry, error) bool) bool {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return true // retention removed it after the files were listed
	}
	if err != nil {
		return yield(Entry{}, errors.Wrap(err, "read audit file"))
	}
	return readData(path, data, begin, yield)
}

func readData(path string, data []byte, begin func(fileHeader), yield func(Entry, error) bool) bool {
	header, at, err := decodeHeader(path, data)
	place := Entry{Writer: header.Writer, VM: header.VM, File: path}
	if err != nil {
		place.Problem = err.Error()
		return yield(place, nil)
	}
	if begin != nil {
		begin(header)
	}
	for at < len(data) {
		next, ok := readBlock(place, data, at, yield)
		if !ok {
			return false
		}
		at = next
	}
	return true
}

// readBlock yields the entries of the block at an offset and returns the offset
// behind it.
func readBlock(place Entry, data []byte, at int, yield func(Entry, error) bool) (int, bool) {
	place.Offset = int64(at)
	block, ok := decodeBlock(data[at:])
	if !ok {
		skip := nextSound(data[at+1:])
		if skip < 0 {
			return len(data), true // a torn tail, or a block that is being written
		}
		place.Problem = "no block begins here"
		return at + 1 + skip, yield(place, nil)
	}
	entries, whole := block.entries()
	for _, entry := range entries {
		if !yield(decodeEntry(place, entry), nil) {
			return 0, false
		}
	}
	if !block.sound || !whole {
		place.Problem = "the block's checksum or count does not fit"
		return at + block.size, yield(place, nil)
	}
	return at + block.size, true
}

func decodeEntry(place Entry, entry entry) Entry {
	place.Index, place.Hash, place.payload = entry.index, entry.hash, entry.payload
	record, err := Decode(entry.payload)
	if err != nil {
		place.Problem = err.Error()
	}
	place.Record = record
	return place
}
