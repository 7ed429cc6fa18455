package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
)

// Hash is a link of the chain: the SHA-256 of the previous link, the index and the
// payload of a record.
type Hash [sha256.Size]byte

// Index numbers the records of one writer from 1.
type Index uint64

// A block is what one group commit writes: magic, checksum, length of the body,
// number of entries, body. The checksum covers everything behind it. The header of
// a file is a block without entries.
const (
	blockHeader = 16
	// entryHeader is the length of the payload, the index and the hash.
	entryHeader = 4 + 8 + sha256.Size
	// maxBlock bounds what a damaged length can make a reader allocate.
	maxBlock = 16 << 20
)

// magic starts a block. It is no valid UTF-8, so it cannot occur in a payload.
var magic = []byte{0xDA, 0xFE, 0xB1, 0x0C}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// next returns the link that follows previous.
func (previous Hash) next(index Index, payload Payload) Hash {
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

// startBlock reserves the header of a block in buffer.
func startBlock(buffer []byte) []byte {
	return append(buffer, make([]byte, blockHeader)...)
}

// sealBlock fills in the header of the block that takes up all of buffer.
func sealBlock(buffer []byte, count int) {
	copy(buffer, magic)
	binary.LittleEndian.PutUint32(buffer[8:], uint32(len(buffer)-blockHeader))
	binary.LittleEndian.PutUint32(buffer[12:], uint32(count))
	binary.LittleEndian.PutUint32(buffer[4:], crc32.Checksum(buffer[8:], castagnoli))
}

// block is a decoded block. Sound is set if its checksum fits.
type block struct {
	sound bool
	count int
	body  []byte
	size  int
}

// decodeBlock decodes the block at the start of data. It returns false if there is
// no complete block.
func decodeBlock(data []byte) (block, bool) {
	if len(data) < blockHeader || !bytes.HasPrefix(data, magic) {
		return block{}, false
	}
	length := int(binary.LittleEndian.Uint32(data[8:]))
	if length > maxBlock || len(data) < blockHeader+length {
		return block{}, false
	}
	size := blockHeader + length
	return block{
		sound: binary.LittleEndian.Uint32(data[4:]) == crc32.Checksum(data[8:size], castagnoli),
		count: int(binary.LittleEndian.Uint32(data[12:])),
		body:  data[blockHeader:size],
		size:  size,
	}, true
}

// entries returns the entries of the block and whether they fill it exactly.
func (block block) entries() ([]entry, bool) {
	var entries []entry
	for rest := block.body; len(rest) > 0; {
		if len(rest) < entryHeader {
			return entries, false
		}
		end := entryHeader + int(binary.LittleEndian.Uint32(rest))
		if end > len(rest) {
			return entries, false
		}
		entry := entry{index: Index(binary.LittleEndian.Uint64(rest[4:])), payload: rest[entryHeader:end]}
		copy(entry.hash[:], rest[12:])
		entries = append(entries, entry)
		rest = rest[end:]
	}
	return entries, len(entries) == block.count
}

// nextSound returns the offset of the first sound block in data, or -1.
func nextSound(data []byte) int {
	for at := 0; ; at++ {
		found := bytes.Index(data[at:], magic)
		if found < 0 {
			return -1
		}
		at += found
		if block, ok := decodeBlock(data[at:]); ok && block.sound {
			return at
		}
	}
}
