package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
)

// Hash is the chain hash of a record: the SHA-256 of the previous record's hash, the
// index and the payload.
type Hash [sha256.Size]byte

// Index is the position of a record in the chain of one writer, starting at 1.
type Index uint64

// A block holds the records of one group commit. It consists of the magic bytes, a
// checksum, the length of the body, the number of entries, and the body. The checksum
// covers everything that follows it. The file header is a block with an entry count
// of 0.
const (
	blockHeaderSize = 16
	// entryHeaderSize is the size of the payload length, the index and the hash.
	entryHeaderSize = 4 + 8 + sha256.Size
	// maxBlockSize is the largest body length that a reader accepts; a larger one is
	// treated as damage.
	maxBlockSize = 16 << 20
)

// magic marks the start of a block. It is not valid UTF-8, so it cannot occur in a
// payload.
var magic = []byte{0xDA, 0xFE, 0xB1, 0x0C}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// extend returns the hash of the record that follows the one with hash previous.
func (previous Hash) extend(index Index, payload Payload) Hash {
	digest := sha256.New()
	digest.Write(previous[:])
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(index))
	digest.Write(number[:])
	digest.Write(payload)
	var hash Hash
	digest.Sum(hash[:0])
	return hash
}

// entry is one record in a block.
type entry struct {
	index   Index
	hash    Hash
	payload Payload
}

func appendEntry(body []byte, entry entry) []byte {
	body = binary.LittleEndian.AppendUint32(body, uint32(len(entry.payload)))
	body = binary.LittleEndian.AppendUint64(body, uint64(entry.index))
	body = append(body, entry.hash[:]...)
	return append(body, entry.payload...)
}

// startBlock appends space for a block header to buffer.
func startBlock(buffer []byte) []byte {
	return append(buffer, make([]byte, blockHeaderSize)...)
}

// finishBlock fills in the header of the block that occupies all of buffer.
func finishBlock(buffer []byte, count int) {
	copy(buffer, magic)
	binary.LittleEndian.PutUint32(buffer[8:], uint32(len(buffer)-blockHeaderSize))
	binary.LittleEndian.PutUint32(buffer[12:], uint32(count))
	binary.LittleEndian.PutUint32(buffer[4:], crc32.Checksum(buffer[8:], castagnoli))
}

// block is a decoded block. The field valid reports whether the checksum matches.
type block struct {
	valid bool
	count int
	body  []byte
	size  int
}

// decodeBlock decodes the block at the start of data. It returns false if data does
// not start with a complete block; it does not require a matching checksum.
func decodeBlock(data []byte) (block, bool) {
	if len(data) < blockHeaderSize || !bytes.HasPrefix(data, magic) {
		return block{}, false
	}
	length := int(binary.LittleEndian.Uint32(data[8:]))
	if length > maxBlockSize || len(data) < blockHeaderSize+length {
		return block{}, false
	}
	size := blockHeaderSize + length
	return block{
		valid: binary.LittleEndian.Uint32(data[4:]) == crc32.Checksum(data[8:size], castagnoli),
		count: int(binary.LittleEndian.Uint32(data[12:])),
		body:  data[blockHeaderSize:size],
		size:  size,
	}, true
}

// entries returns the entries of the block, and whether they fill the body exactly and
// their number matches the header.
func (block block) entries() ([]entry, bool) {
	var entries []entry
	for rest := block.body; len(rest) > 0; {
		if len(rest) < entryHeaderSize {
			return entries, false
		}
		end := entryHeaderSize + int(binary.LittleEndian.Uint32(rest))
		if end > len(rest) {
			return entries, false
		}
		entry := entry{index: Index(binary.LittleEndian.Uint64(rest[4:])), payload: rest[entryHeaderSize:end]}
		copy(entry.hash[:], rest[12:])
		entries = append(entries, entry)
		rest = rest[end:]
	}
	return entries, len(entries) == block.count
}

// nextValidBlock returns the offset of the first block in data with a matching checksum,
// or -1.
func nextValidBlock(data []byte) int {
	for at := 0; ; at++ {
		found := bytes.Index(data[at:], magic)
		if found < 0 {
			return -1
		}
		at += found
		if block, ok := decodeBlock(data[at:]); ok && block.valid {
			return at
		}
	}
}
