package gateway

import (
	"strings"
	"testing"
)

// BenchmarkEvents measures what the gateway does with the bytes of a stream beside reading and
// writing them: reads of one event each, as engines write them, and of 8 KiB.
func BenchmarkEvents(b *testing.B) {
	const event = "id: 1234\ndata: " + `{"choices":[{"index":0,"delta":{"content":"01234567 "}}],"model":"daka510000/a3"}` + "\n\n"
	for name, read := range map[string]string{"one": event, "many": strings.Repeat(event, readSize/len(event))} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(read)))
			var splitter eventSplitter
			attempt := &attempt{call: &call{}}
			chunk, passed := []byte(read), 0
			for b.Loop() {
				whole, events, _ := splitter.split(chunk)
				count, _ := attempt.advance(events)
				passed += len(whole) + count
			}
			if passed == 0 {
				b.Fatal("no event was found")
			}
		})
	}
}
