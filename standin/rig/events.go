package rig

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Piece is the data of an event of a stream. It names the run that wrote it.
type Piece struct {
	Writer  string
	Version core.SoftwareVersion
	Number  int
	Of      int
}

// LineEnd names the end of the lines of a stream.
type LineEnd string

// The ends of lines that a stream may have. The zero value is LF.
const (
	LF   LineEnd = "lf"
	CRLF LineEnd = "crlf"
	CR   LineEnd = "cr"
)

// text returns the characters of the line end.
func (end LineEnd) text() string {
	switch end {
	case CRLF:
		return "\r\n"
	case CR:
		return "\r"
	}
	return "\n"
}

// eventText returns the event of a piece.
func eventText(piece Piece, end LineEnd) string {
	data, err := json.Marshal(piece)
	if err != nil {
		return "" // a piece has no field that cannot be encoded
	}
	lines := end.text()
	return "id: " + strconv.Itoa(piece.Number) + lines + "data: " + string(data) + lines + lines
}

// commentText returns a comment, which is no event.
func commentText(end LineEnd) string { return ": keep" + end.text() + end.text() }

// eventParser splits a stream into its events. A line ends with CR LF, CR or LF, and
// different events may have different ends. The zero value is ready to use.
type eventParser struct {
	line []byte
	// returned is set after a CR: an LF that follows belongs to the same end of a line.
	returned bool
	id, data string
	hasData  bool
}

// feed reads the next bytes of the stream and calls found for each event that ends in them.
func (parser *eventParser) feed(bytes []byte, found func(id, data string)) {
	for _, char := range bytes {
		if char == '\n' && parser.returned {
			parser.returned = false
			continue
		}
		parser.returned = char == '\r'
		if char != '\r' && char != '\n' {
			parser.line = append(parser.line, char)
			continue
		}
		parser.endLine(found)
	}
}

// unfinished returns the bytes of an event that has not ended.
func (parser *eventParser) unfinished() bool { return len(parser.line) > 0 || parser.hasData }

func (parser *eventParser) endLine(found func(id, data string)) {
	line := string(parser.line)
	parser.line = parser.line[:0]
	if line == "" {
		if parser.hasData {
			found(parser.id, parser.data)
		}
		parser.data, parser.hasData = "", false
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		parser.id = value
	case "data":
		parser.data, parser.hasData = parser.data+value, true
	}
}
