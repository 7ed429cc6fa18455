package upstream

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// BenchmarkRelay measures an answer of 20 tokens that arrives at once, as in scripts/bench path.
func BenchmarkRelay(b *testing.B) {
	answer := []byte(strings.Repeat(`data: {"choices":[{"index":0,"delta":{"content":"01234567 "}}]}`+"\n\n", 20) + "data: [DONE]\n\n")
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	b.ReportAllocs()
	for b.Loop() {
		tokens, err := relayEvents(bytes.NewReader(answer), core.Call{}, &core.Head{}, timer, func(core.Chunk) error { return nil })
		if tokens != 20 || err != nil {
			b.Fatal(tokens, err)
		}
	}
}
