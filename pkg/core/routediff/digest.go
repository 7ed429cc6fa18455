package routediff

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Digest identifies the entries of a route table. The zero value is that of a table without any.
type Digest [sha256.Size]byte

// MarshalText returns the digest in lower-case hexadecimal digits.
func (digest Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, digest[:]), nil }

// UnmarshalText sets the digest from hexadecimal digits. It returns an error if their number is
// not that of a digest.
func (digest *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(digest)) {
		return fmt.Errorf("a digest of a route table has %d digits instead of %d", len(text), hex.EncodedLen(len(digest)))
	}
	if _, err := hex.Decode(digest[:], text); err != nil {
		return fmt.Errorf("decode a digest of a route table: %w", err)
	}
	return nil
}

// add adds the hash of an entry.
func (digest *Digest) add(hash Digest) {
	digest.combine(hash, func(a, b uint64) uint64 { return a + b })
}

// remove removes the hash of an entry that was added before.
func (digest *Digest) remove(hash Digest) {
	digest.combine(hash, func(a, b uint64) uint64 { return a - b })
}

func (digest *Digest) combine(hash Digest, operation func(a, b uint64) uint64) {
	for lane := 0; lane < len(digest); lane += 8 {
		sum := operation(binary.BigEndian.Uint64(digest[lane:]), binary.BigEndian.Uint64(hash[lane:]))
		binary.BigEndian.PutUint64(digest[lane:], sum)
	}
}

// hashEntry returns the hash of an entry of a list. Tables come from JSON, so an entry that JSON
// cannot represent, with a number that is not finite, exists only in memory.
func hashEntry(list string, entry any) Digest {
	data, err := json.Marshal(entry)
	if err != nil {
		data = fmt.Append(nil, entry)
	}
	return sha256.Sum256(append([]byte(list+"\n"), data...))
}
