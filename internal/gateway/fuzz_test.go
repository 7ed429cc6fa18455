package gateway

import (
	"bytes"
	"testing"
)

// FuzzEventSplitter guards against bytes of a stream that are lost, doubled or passed on
// before their event is complete, however the stream is divided into reads.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid"), uint8(3))
	f.Add([]byte("\n\n\n\n"), uint8(1))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\rid: 3\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var splitter eventSplitter
		var passed []byte
		for at, size := 0, int(step)+1; at < len(stream); at += size {
			whole, _, err := splitter.split(stream[at:min(len(stream), at+size)])
			passed = append(passed, whole...)
			if err != nil {
				return
			}
			if len(passed) > 0 && !emptyLineEnds(passed) {
				t.Fatalf("%q ends within an event", passed)
			}
		}
		if !bytes.HasPrefix(stream, passed) {
			t.Fatalf("%q is not the start of %q", passed, stream)
		}
		for _, end := range []string{"\n\n", "\r\r", "\r\n\r\n"} {
			if rest := stream[len(passed):]; bytes.Contains(rest, []byte(end)) {
				t.Fatalf("%q holds a complete event and was not passed on", rest)
			}
		}
		if splitter.AtBoundary() != (len(passed) == len(stream)) {
			t.Fatal("the splitter does not know whether an event is pending")
		}
	})
}

// emptyLineEnds reports whether a stream ends with an empty line.
func emptyLineEnds(stream []byte) bool {
	line, ok := bytes.CutSuffix(stream, []byte("\r\n"))
	if !ok {
		line = stream[:len(stream)-1]
		ok = bytes.HasSuffix(stream, []byte("\n")) || bytes.HasSuffix(stream, []byte("\r"))
	}
	line = bytes.TrimPrefix(line, []byte("\ufeff"))
	return ok && (len(line) == 0 || bytes.HasSuffix(line, []byte("\n")) || bytes.HasSuffix(line, []byte("\r")))
}
