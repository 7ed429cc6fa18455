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
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var splitter eventSplitter
		var passed []byte
		for at, size := 0, int(step)+1; at < len(stream); at += size {
			whole, err := splitter.split(stream[at:min(len(stream), at+size)])
			passed = append(passed, whole...)
			if err != nil {
				return
			}
			if len(passed) > 0 && !bytes.HasSuffix(passed, eventEnd) {
				t.Fatalf("%q ends within an event", passed)
			}
		}
		if !bytes.HasPrefix(stream, passed) {
			t.Fatalf("%q is not the start of %q", passed, stream)
		}
		if rest := stream[len(passed):]; bytes.Contains(rest, eventEnd) {
			t.Fatalf("%q holds a complete event and was not passed on", rest)
		}
		if splitter.atBoundary() != (len(passed) == len(stream)) {
			t.Fatal("the splitter does not know whether an event is pending")
		}
	})
}
