package sse

import "bytes"

// Event is a part of a stream that ends with an empty line. A part without ID and data, such as
// a comment, is no event to a reader of the stream.
type Event struct {
	// End is the offset of the end of the event in the bytes that were returned with it.
	End int
	// ID is the ID that the event states, empty if it states none or an empty one.
	ID []byte
	// HasID and HasData are set if the event has an ID and data.
	HasID, HasData bool
}

// Counts reports whether the event changes what a reader of the stream has: its data, or the ID
// after which it continues.
func (event Event) Counts() bool { return event.HasID || event.HasData }

// lineEnd is how a line has ended. The zero value is that of no line.
type lineEnd uint8

const (
	endLF lineEnd = iota + 1
	endCR
	endCRLF
)

// Mark is the byte order mark, which may precede the first line of a stream.
const Mark = "\ufeff"

// Splitter splits a stream of server-sent events at the ends of events. The result does not
// depend on how the stream is divided into reads. The zero value is at the start of a stream.
type Splitter struct {
	// pending holds the bytes of the stream that were not returned yet, and returned the
	// number of bytes at its start that the last call returned.
	pending  []byte
	returned int
	// lineStart is the offset in pending of the line that has not ended, and searched that of
	// the first byte that was not searched for its end.
	lineStart, searched int
	// last is how the line before it has ended.
	last lineEnd
	// skipLF is set if the last byte was a CR that ended an event. A LF after it belongs to
	// the same line end.
	skipLF bool
	// begun is set once the first line has ended.
	begun bool
	// current holds what the lines since the last empty one state. idStart and idEnd are the
	// offsets of its ID in pending.
	current        Event
	idStart, idEnd int
	events         []Event
	// nextLF and nextCR are the offsets in pending of the next LF and CR from searched on, or
	// its length if there is none. They are found again once they are below searched.
	nextLF, nextCR int
}

// Split appends chunk to the stream. It returns the bytes up to the end of the last event that
// is complete now, and the events in them. The results are valid until the next call.
//
// An empty line that ends with CR ends its event at once if the line before ended with CR too.
// Otherwise a LF is expected behind the CR, and the next byte decides.
func (splitter *Splitter) Split(chunk []byte) ([]byte, []Event) {
	splitter.shift(chunk)
	if splitter.skipLF && len(chunk) > 0 {
		splitter.skipLF = false
		if splitter.pending[0] == '\n' {
			splitter.returned, splitter.lineStart, splitter.searched, splitter.last = 1, 1, 1, endCRLF
		}
	}
	for splitter.nextLine() {
	}
	return splitter.pending[:splitter.returned], splitter.events
}

// Reset begins a new stream. It keeps the buffer if that has at most the given capacity in bytes.
func (splitter *Splitter) Reset(capacity int) {
	kept, events := splitter.pending[:0], splitter.events[:0]
	if cap(kept) > capacity {
		kept = nil
	}
	*splitter = Splitter{pending: kept, events: events}
}

// AtBoundary reports whether no part of an event is pending.
func (splitter *Splitter) AtBoundary() bool { return len(splitter.pending) == splitter.returned }

// Pending returns the bytes of the event that is not complete. They are valid until the next
// call of Split.
func (splitter *Splitter) Pending() []byte { return splitter.pending[splitter.returned:] }

// Capacity returns the size in bytes of the buffer that the splitter holds.
func (splitter *Splitter) Capacity() int { return cap(splitter.pending) }

// shift removes the bytes that were returned and appends chunk.
func (splitter *Splitter) shift(chunk []byte) {
	rest := copy(splitter.pending, splitter.pending[splitter.returned:])
	splitter.pending = append(splitter.pending[:rest], chunk...)
	splitter.lineStart -= splitter.returned
	splitter.searched -= splitter.returned
	splitter.idStart -= splitter.returned
	splitter.idEnd -= splitter.returned
	splitter.returned, splitter.events = 0, splitter.events[:0]
	splitter.nextLF, splitter.nextCR = -1, -1
}

// nextLine reads the next line. It returns false if its end is not there, or not known.
func (splitter *Splitter) nextLine() bool {
	lf, cr := splitter.find(&splitter.nextLF, '\n'), splitter.find(&splitter.nextCR, '\r')
	length := len(splitter.pending)
	switch {
	case lf < cr:
		splitter.endLine(lf, endLF)
	case cr == length:
		splitter.searched = length
		return false
	case cr+1 < length && splitter.pending[cr+1] == '\n':
		splitter.endLine(cr, endCRLF)
	case cr+1 < length:
		splitter.endLine(cr, endCR)
	case cr == splitter.lineStart && splitter.last == endCR:
		splitter.endLine(cr, endCR)
		splitter.skipLF = true
	default:
		splitter.searched = cr
		return false
	}
	return true
}

// find returns the offset of the next byte with a value, from searched on, and keeps it in known.
func (splitter *Splitter) find(known *int, value byte) int {
	if *known >= splitter.searched {
		return *known
	}
	*known = len(splitter.pending)
	if at := bytes.IndexByte(splitter.pending[splitter.searched:], value); at >= 0 {
		*known = splitter.searched + at
	}
	return *known
}

// endLine reads the line that ends at an offset.
func (splitter *Splitter) endLine(end int, how lineEnd) {
	line := splitter.pending[splitter.lineStart:end]
	if !splitter.begun {
		splitter.begun = true
		line = bytes.TrimPrefix(line, []byte(Mark))
	}
	next := end + 1
	if how == endCRLF {
		next++
	}
	if len(line) > 0 {
		splitter.readField(line, end)
	} else {
		splitter.endEvent(next)
	}
	splitter.lineStart, splitter.searched, splitter.last = next, next, how
}

// readField reads a line that is not empty and ends at an offset.
func (splitter *Splitter) readField(line []byte, end int) {
	switch line[0] {
	case 'd':
		if field, _, _ := bytes.Cut(line, colon); string(field) == "data" {
			splitter.current.HasData = true
		}
	case 'i':
		if field, value, _ := bytes.Cut(line, colon); string(field) == "id" {
			value = bytes.TrimPrefix(value, space)
			splitter.current.HasID = true
			splitter.idStart, splitter.idEnd = end-len(value), end
		}
	}
}

var colon, space = []byte(":"), []byte(" ")

// endEvent adds the event that ends at an offset.
func (splitter *Splitter) endEvent(end int) {
	event := splitter.current
	event.End = end
	if event.HasID {
		event.ID = splitter.pending[splitter.idStart:splitter.idEnd]
	}
	splitter.events = append(splitter.events, event)
	splitter.current, splitter.returned = Event{}, end
}
