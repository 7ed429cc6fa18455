package logging

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// RequestField is the field that holds the id of the request that a line is about.
const RequestField = "request"

// Field is one key and its value.
type Field struct{ Key, Value string }

// Line is one line of a structured log.
type Line struct {
	Time time.Time
	// Part and Message are the fields prefix and msg.
	Part    string
	Message string
	// Fields are the others, in the order of the line.
	Fields []Field
	// Text is the line itself, without what stood in front of it.
	Text string
}

// Get returns the value of a field, empty if the line has none of that name.
func (line Line) Get(key string) string {
	for _, field := range line.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// ParseLine reads a line of a structured log. Text in front of it, such as the name of a
// machine, is left out. It returns false for a line of another program or one that was cut
// off.
func ParseLine(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	line := Line{Text: strings.TrimRight(text[at:], "\r\n")}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(TimeFormat, value)
				if err != nil {
					return Line{}, false
				}
				line.Time = at
			case "prefix":
				line.Part = value
			case "msg":
				line.Message = value
			case "level":
			default:
				line.Fields = append(line.Fields, Field{key, value})
			}
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero() && line.Message != ""
}
