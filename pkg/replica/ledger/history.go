package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sort"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// version is the JSON content of a list entry from a configuration number on. The
// content of a removed entry is nil.
type version struct {
	number  core.ConfigNumber
	content []byte
}

// versionsPerBlock is the number of versions that are compressed together. Versions of
// one entry usually differ in a few bytes, so all but the first add little to the
// compressed size.
const versionsPerBlock = 16

// block holds consecutive versions of one entry, compressed.
type block struct {
	// First is the configuration number of the first version.
	First core.ConfigNumber
	Data  []byte
}

// entryHistory holds all versions of one entry, oldest first. The zero value is empty.
type entryHistory struct {
	blocks []block
	// recent holds the versions after those in blocks. The last one is current.
	recent []version
}

func (entry *entryHistory) current() []byte {
	if len(entry.recent) == 0 {
		return nil
	}
	return entry.recent[len(entry.recent)-1].content
}

func (entry *entryHistory) add(next version) {
	entry.recent = append(entry.recent, next)
	if len(entry.recent) <= versionsPerBlock {
		return
	}
	entry.blocks = append(entry.blocks, compressVersions(entry.recent[:versionsPerBlock]))
	entry.recent = append([]version(nil), entry.recent[versionsPerBlock:]...)
}

// at returns the content as of a configuration number, and nil if there was no entry. It
// returns an error if a block cannot be decompressed.
func (entry *entryHistory) at(number core.ConfigNumber) ([]byte, error) {
	if len(entry.recent) > 0 && entry.recent[0].number <= number {
		return contentAt(entry.recent, number), nil
	}
	later := sort.Search(len(entry.blocks), func(i int) bool { return entry.blocks[i].First > number })
	if later == 0 {
		return nil, nil
	}
	versions, err := entry.blocks[later-1].decompress()
	if err != nil {
		return nil, err
	}
	return contentAt(versions, number), nil
}

func contentAt(versions []version, number core.ConfigNumber) []byte {
	later := sort.Search(len(versions), func(i int) bool { return versions[i].number > number })
	if later == 0 {
		return nil
	}
	return versions[later-1].content
}

// compressVersions returns the versions as a block. The data before compression holds,
// for each version, its number and its length plus one as varints, and the content. The
// length field is zero if the entry was removed.
func compressVersions(versions []version) block {
	var plain []byte
	for _, version := range versions {
		plain = binary.AppendUvarint(plain, uint64(version.number))
		if version.content == nil {
			plain = binary.AppendUvarint(plain, 0)
			continue
		}
		plain = binary.AppendUvarint(plain, uint64(len(version.content))+1)
		plain = append(plain, version.content...)
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		panic(errCompression)
	}
	if _, err := writer.Write(plain); err != nil {
		panic(errCompression)
	}
	if err := writer.Close(); err != nil {
		panic(errCompression)
	}
	return block{First: versions[0].number, Data: bytes.Clone(buffer.Bytes())}
}

// decompress is the inverse of compressVersions. It returns an error if the data is
// damaged or truncated.
func (block block) decompress() ([]version, error) {
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(block.Data)))
	if err != nil {
		return nil, errors.Wrapf(err, "decompress versions from number %d", block.First)
	}
	var versions []version
	for len(plain) > 0 {
		number, numberSize := binary.Uvarint(plain)
		length, lengthSize := binary.Uvarint(plain[max(numberSize, 0):])
		headerSize := numberSize + lengthSize
		if numberSize <= 0 || lengthSize <= 0 || length > uint64(len(plain)-headerSize)+1 {
			return nil, errors.Errorf("versions from number %d end early", block.First)
		}
		next := version{number: core.ConfigNumber(number)}
		plain = plain[headerSize:]
		if length > 0 {
			next.content = plain[: length-1 : length-1]
			plain = plain[length-1:]
		}
		versions = append(versions, next)
	}
	return versions, nil
}
