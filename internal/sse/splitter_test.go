package sse

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSplitter guards against events that are found or not found, or have another ID, depending
// on how the stream is divided into reads: each stream is read in one piece, in two pieces at
// every position, and byte by byte.
func TestSplitter(t *testing.T) {
	datadriven.RunTest(t, "testdata/splitter", func(t *testing.T, data *datadriven.TestData) string {
		stream, err := strconv.Unquote(`"` + strings.ReplaceAll(data.Input, "\n", "") + `"`)
		if err != nil {
			t.Fatal(err)
		}
		whole := splitAt(stream, len(stream))
		for at := range len(stream) {
			if split := splitAt(stream, at); split != whole {
				t.Errorf("split at byte %d:\n%s\nin one piece:\n%s", at, split, whole)
			}
		}
		var steps []int
		for at := range len(stream) {
			steps = append(steps, at)
		}
		if split := splitAt(stream, steps...); split != whole {
			t.Errorf("split at each byte:\n%s\nin one piece:\n%s", split, whole)
		}
		return whole
	})
}

// splitAt returns the events of a stream that is read in pieces which end at the positions.
func splitAt(stream string, positions ...int) string {
	var splitter Splitter
	// What a stream before it has left does not change the result.
	splitter.Split([]byte("\ufeffid: 1\ndata: x\r\rid: 2\r"))
	splitter.Reset(1 << 10)
	var out strings.Builder
	passed := ""
	add := func(whole []byte, events []Event) {
		start := 0
		for _, event := range events {
			text := string(whole[start:event.End])
			// The LF of a CR LF may come after the event that the CR has ended.
			if strings.HasSuffix(passed, "\r") {
				text = strings.TrimPrefix(text, "\n")
			}
			if strings.HasSuffix(text, "\r\r\n") {
				text = strings.TrimSuffix(text, "\n")
			}
			fmt.Fprintf(&out, "%q", text)
			passed += string(whole[start:event.End])
			if event.HasID {
				fmt.Fprintf(&out, " id=%q", event.ID)
			}
			if event.HasData {
				out.WriteString(" data")
			}
			out.WriteByte('\n')
			start = event.End
		}
		passed += string(whole[start:])
	}
	before := 0
	for _, at := range append(positions, len(stream)) {
		add(splitter.Split([]byte(stream[before:at])))
		before = at
	}
	fmt.Fprintf(&out, "boundary=%t pending=%q\n", splitter.AtBoundary(), splitter.Pending())
	if passed+string(splitter.Pending()) != stream {
		fmt.Fprintf(&out, "changed to %q\n", passed)
	}
	return out.String()
}
