package sse

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSplitterLikeReference guards against events that another reader of the format finds
// elsewhere or with another ID: any stream, divided into reads at any positions, has the events
// that are found in the whole stream after all line ends were replaced by LF.
func TestSplitterLikeReference(t *testing.T) {
	part := rapid.SampledFrom([]string{"\r", "\n", "\r\n", "\n\n", "\r\r", "id", "data", "event", ":", " ", "1", "x", "\x00", Mark})
	rapid.Check(t, func(t *rapid.T) {
		// The last byte shows whether a CR before it is a line end of its own.
		stream := strings.Join(rapid.SliceOfN(part, 0, 60).Draw(t, "parts"), "") + "x"
		var found []string
		var splitter Splitter
		for rest := stream; rest != ""; {
			size := rapid.IntRange(1, min(len(rest), 9)).Draw(t, "size")
			_, events := splitter.Split([]byte(rest[:size]))
			for _, event := range events {
				found = append(found, describe(event.HasID, string(event.ID), event.HasData))
			}
			rest = rest[size:]
		}
		if expected := readWhole(stream); fmt.Sprint(found) != fmt.Sprint(expected) {
			t.Fatalf("%q has the events %v, found %v", stream, expected, found)
		}
	})
}

func describe(hasID bool, id string, hasData bool) string {
	return fmt.Sprintf("id=%t %q data=%t", hasID, id, hasData)
}

// readWhole returns the events of a stream that has arrived whole.
func readWhole(stream string) []string {
	stream = strings.ReplaceAll(strings.ReplaceAll(stream, "\r\n", "\n"), "\r", "\n")
	lines := strings.Split(strings.TrimPrefix(stream, Mark), "\n")
	var events []string
	hasID, id, hasData := false, "", false
	for _, line := range lines[:len(lines)-1] {
		if line == "" {
			events = append(events, describe(hasID, id, hasData))
			hasID, id, hasData = false, "", false
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		switch field {
		case "id":
			hasID, id = true, strings.TrimPrefix(value, " ")
		case "data":
			hasData = true
		}
	}
	return events
}
