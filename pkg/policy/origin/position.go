package origin

import "bytes"

// Position is the place in a stream up to which its caller has the events. The IDs of a stream
// increase, so an event whose ID is not behind the last one repeats a part of the stream. The
// zero value is the start of a stream. A Position is not safe for concurrent use.
type Position struct {
	// last is the last ID, empty if no event had one.
	last []byte
	// unnamed is set if the caller has an event behind that ID which has none.
	unnamed bool
	// disordered is set for good if an event was passed on whose ID is not behind the one
	// before it: no ID shows then what the caller has.
	disordered bool
}

// PositionAfter returns the position after the event with an ID, and the start if the ID is
// empty.
func PositionAfter(id string) Position { return Position{last: []byte(id)} }

// Precedes reports whether an event with the ID may follow. Two numbers are compared as numbers;
// of other IDs only the last one is known not to follow.
func (position *Position) Precedes(id []byte) bool {
	last := position.last
	if !isNumber(last) || !isNumber(id) {
		return len(last) == 0 || !bytes.Equal(last, id)
	}
	last, id = bytes.TrimLeft(last, "0"), bytes.TrimLeft(id, "0")
	if len(last) != len(id) {
		return len(last) < len(id)
	}
	return bytes.Compare(last, id) < 0
}

// Pass notes that the caller has received an event with the ID, and that it has none if the ID
// is empty.
func (position *Position) Pass(id []byte) {
	if len(id) == 0 {
		position.unnamed = true
		return
	}
	position.disordered = position.disordered || !position.Precedes(id)
	position.last, position.unnamed = append(position.last[:0], id...), false
}

// ID returns the ID after which the stream goes on, and "" if there is none: the stream is at
// its start, or no ID shows what the caller has.
func (position *Position) ID() string {
	if position.unnamed || position.disordered {
		return ""
	}
	return string(position.last)
}

// isNumber reports whether an ID consists of decimal digits.
func isNumber(id []byte) bool {
	for _, char := range id {
		if char < '0' || char > '9' {
			return false
		}
	}
	return len(id) > 0
}
