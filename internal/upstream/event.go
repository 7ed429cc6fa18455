package upstream

import (
	"bytes"

	"github.com/dandelionring/dandelionring/internal/sse"
)

// The parts of the events of engines.
var (
	plainData = []byte("data: ")
	endMarker = []byte("[DONE]")
	colon     = []byte(":")
	space     = []byte(" ")
)

// appendToken appends an event with data in the form in which VMs pass answers on: each line
// ends with LF, a space follows "data:", and the only empty line is the last one. It returns
// false for an event of another type, which is no token.
func appendToken(to, event []byte) ([]byte, bool) {
	if isPlain(event) {
		return append(to, event...), true
	}
	before := len(to)
	for line := range eventLines(event) {
		field, value, _ := bytes.Cut(line, colon)
		switch string(field) {
		case "event":
			if len(bytes.TrimSpace(value)) > 0 {
				return to[:before], false
			}
			continue
		case "data":
			to = append(append(to, plainData...), bytes.TrimPrefix(value, space)...)
		default:
			to = append(to, line...)
		}
		to = append(to, '\n')
	}
	return append(to, '\n'), true
}

// isPlain reports whether an event is a single line of data in the form in which VMs pass
// answers on.
func isPlain(event []byte) bool {
	return bytes.HasPrefix(event, plainData) && bytes.IndexByte(event, '\n') == len(event)-2 && bytes.IndexByte(event, '\r') < 0
}

// eventLines returns the lines of an event that are not empty, without their ends and without a
// byte order mark.
func eventLines(event []byte) func(yield func([]byte) bool) {
	event = bytes.TrimPrefix(event, []byte(sse.Mark))
	return func(yield func([]byte) bool) {
		for line := range bytes.FieldsFuncSeq(event, func(char rune) bool { return char == '\n' || char == '\r' }) {
			if !yield(line) {
				return
			}
		}
	}
}

// endsAnswer reports whether an event, of which only the first bytes may have arrived, has the
// end marker in a line that is complete.
func endsAnswer(event []byte) bool {
	if !bytes.Contains(event, endMarker) {
		return false
	}
	if last := bytes.LastIndexAny(event, "\r\n"); last >= 0 {
		event = event[:last]
	} else {
		return false
	}
	for line := range eventLines(event) {
		field, value, _ := bytes.Cut(line, colon)
		if string(field) == "data" && bytes.HasPrefix(bytes.TrimSpace(value), endMarker) {
			return true
		}
	}
	return false
}
