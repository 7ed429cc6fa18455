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

// version is one entry of a list from a number on. A removed entry has no content.
type version struct {
	number  core.ConfigNumber
	content []byte
}

// blockVersions is the number of versions that are compressed together. Versions
// of one entry differ in a few bytes, so that all but the first cost little.
const blockVersions = 16

// block holds consecutive versions of one entry, compressed.
type block struct {
	// First is the number of the first version.
	First core.ConfigNumber
	Data  []byte
}

// entryHistory holds all versions of one entry, oldest first. The zero value has
// none.
type entryHistory struct {
	blocks []block
	// recent follows the blocks and holds the version in force.
	recent []version
}

func (entry *entryHistory) now() []byte {
	if len(entry.recent) == 0 {
		return nil
	}
	return entry.recent[len(entry.recent)-1].content
}

func (entry *entryHistory) add(next version) {
	entry.recent = append(entry.recent, next)
	if len(entry.recent) <= blockVersions {
		return
	}
	entry.blocks = append(entry.blocks, pack(entry.recent[:blockVersions]))
	entry.recent = append([]version(nil), entry.recent[blockVersions:]...)
}

// at returns the content at a number, and nil if there was no entry.
func (entry *entryHistory) at(number core.ConfigNumber) ([]byte, error) {
	if len(entry.recent) > 0 && entry.recent[0].number <= number {
		return contentAt(entry.recent, number), nil
	}
	later := sort.Search(len(entry.blocks), func(i int) bool { return entry.blocks[i].First > number })
	if later == 0 {
		return nil, nil
	}
	versions, err := entry.blocks[later-1].unpack()
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

// pack compresses versions. Each is its number, its length plus one, or zero if the
// entry was removed, and its content.
func pack(versions []version) block {
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

// unpack is the inverse of pack.
func (block block) unpack() ([]version, error) {
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(block.Data)))
	if err != nil {
		return nil, errors.Wrapf(err, "decompress versions from number %d", block.First)
	}
	var versions []version
	for len(plain) > 0 {
		number, first := binary.Uvarint(plain)
		length, second := binary.Uvarint(plain[max(first, 0):])
		head := first + second
		if first <= 0 || second <= 0 || length > uint64(len(plain)-head)+1 {
			return nil, errors.Errorf("versions from number %d end early", block.First)
		}
		next := version{number: core.ConfigNumber(number)}
		plain = plain[head:]
		if length > 0 {
			next.content = plain[: length-1 : length-1]
			plain = plain[length-1:]
		}
		versions = append(versions, next)
	}
	return versions, nil
}
