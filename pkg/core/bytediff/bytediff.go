package bytediff

import (
	"errors"
	"fmt"
)

// Edit is a part of a text: Length bytes of the earlier text from Offset on, or Data if that is set.
type Edit struct {
	Offset int    `json:",omitempty"`
	Length int    `json:",omitempty"`
	Data   []byte `json:",omitempty"`
}

// blockBytes is the least length of a part that is found in the earlier text.
const blockBytes = 64

// multiplier is the base of the polynomial hash, which is computed modulo 2^64.
const multiplier = 0x9E3779B97F4A7C15

// leaving is the factor of the byte that leaves a block: multiplier to the power of blockBytes-1.
var leaving = func() uint64 {
	factor := uint64(1)
	for range blockBytes - 1 {
		factor *= multiplier
	}
	return factor
}()

// Between returns the edits that make the text after out of the text before. It returns none for an
// empty text.
func Between(before, after []byte) []Edit {
	blocks := make(map[uint64]int, len(before)/blockBytes)
	for offset := 0; offset+blockBytes <= len(before); offset += blockBytes {
		hash := hashBlock(before[offset:])
		if _, known := blocks[hash]; !known {
			blocks[hash] = offset
		}
	}
	var edits []Edit
	// unmatched is the start of the bytes that are in no part yet, and expected the offset at which
	// the earlier text would go on. Most texts go on there after a short insertion or deletion.
	unmatched, expected := 0, 0
	for at := 0; at+blockBytes <= len(after); {
		offset, length, next := find(before, after, blocks, at, unmatched, expected)
		if length == 0 {
			break
		}
		begin := next - length
		edits = appendData(edits, after[unmatched:begin])
		edits = append(edits, Edit{Offset: offset, Length: length})
		unmatched, expected, at = next, offset+length, next
	}
	return appendData(edits, after[unmatched:])
}

// find returns the first part of after from the position at on that begins with a block of before,
// extended in both directions: its offset and length in before, and the position after it. The
// length is zero if there is none. The part does not begin before unmatched. A part at the expected
// offset is preferred.
func find(before, after []byte, blocks map[uint64]int, at, unmatched, expected int) (offset, length, next int) {
	hash := hashBlock(after[at:])
	for {
		if expected+blockBytes <= len(before) && equalBlocks(before[expected:], after[at:]) {
			return extend(before, after, expected, at, unmatched)
		}
		if offset, known := blocks[hash]; known && equalBlocks(before[offset:], after[at:]) {
			return extend(before, after, offset, at, unmatched)
		}
		if at+blockBytes >= len(after) {
			return 0, 0, 0
		}
		hash = (hash-uint64(after[at])*leaving)*multiplier + uint64(after[at+blockBytes])
		at++
	}
}

// extend returns the longest equal part around two equal blocks: its offset and length in before,
// and the position after it.
func extend(before, after []byte, offset, at, unmatched int) (begin, length, next int) {
	begin, next = offset, at
	for begin > 0 && next > unmatched && before[begin-1] == after[next-1] {
		begin--
		next--
	}
	start := next
	end := offset + blockBytes
	next = at + blockBytes
	for end < len(before) && next < len(after) && before[end] == after[next] {
		end++
		next++
	}
	return begin, next - start, next
}

func equalBlocks(a, b []byte) bool { return string(a[:blockBytes]) == string(b[:blockBytes]) }

func hashBlock(data []byte) uint64 {
	hash := uint64(0)
	for _, value := range data[:blockBytes] {
		hash = hash*multiplier + uint64(value)
	}
	return hash
}

func appendData(edits []Edit, data []byte) []Edit {
	if len(data) == 0 {
		return edits
	}
	return append(edits, Edit{Data: data})
}

// ErrTooLong is returned for edits that make a longer text than allowed.
var ErrTooLong = errors.New("the text is too long")

// Apply returns the text that the edits make out of the text before, of at most limit bytes. It
// returns an error if an edit refers to bytes that before does not have.
func Apply(before []byte, edits []Edit, limit int) ([]byte, error) {
	size := 0
	for i, edit := range edits {
		if edit.Offset < 0 || edit.Length < 0 || edit.Length > len(before) || edit.Offset > len(before)-edit.Length {
			return nil, fmt.Errorf("edit %d refers to bytes %d to %d of %d", i, edit.Offset, edit.Offset+edit.Length, len(before))
		}
		if size += edit.Length + len(edit.Data); size > limit {
			return nil, ErrTooLong
		}
	}
	after := make([]byte, 0, size)
	for _, edit := range edits {
		after = append(after, before[edit.Offset:edit.Offset+edit.Length]...)
		after = append(after, edit.Data...)
	}
	return after, nil
}
