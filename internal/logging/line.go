package logging

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// RequestField is the key of the field with the id of the request that a line concerns.
const RequestField = "request"

// Field is a key and its value.
type Field struct{ Key, Value string }

// Line is a parsed line of a structured log.
type Line struct {
	Time time.Time
	// Part and Message are the values of the fields prefix and msg.
	Part    string
	Message string
	// Fields are the other fields except level, in the order of the line.
	Fields []Field
	// Text is the line without leading text such as a machine name and without the line
	// break.
	Text string
}

// Get returns the value of the first field with the given key, or an empty string if there
// is none.
func (line Line) Get(key string) string {
	for _, field := range line.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// ParseLine parses a line of a structured log. It ignores text before the time, such as a
// machine name. It returns false for a line of another format or a truncated line.
func ParseLine(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Text: strings.TrimRight(text[start:], "\r\n")}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				parsed, err := time.Parse(TimeFormat, value)
				if err != nil {
					return Line{}, false
				}
				line.Time = parsed
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
