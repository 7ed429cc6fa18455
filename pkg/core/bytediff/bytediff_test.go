package bytediff

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestEdits guards against edits that make another text, and against an insertion that makes the
// rest of a text new. Each line of a text stands for 40 copies of it.
func TestEdits(t *testing.T) {
	var before []byte
	datadriven.RunTest(t, "testdata/edits", func(t *testing.T, data *datadriven.TestData) string {
		var text strings.Builder
		for line := range strings.Lines(data.Input) {
			text.WriteString(strings.Repeat(strings.TrimSuffix(line, "\n")+"\n", 40))
		}
		after := []byte(text.String())
		if data.Cmd == "from" {
			before = after
			return "ok\n"
		}
		edits := Between(before, after)
		made, err := Apply(before, edits, len(after))
		if err != nil {
			return err.Error() + "\n"
		}
		parts, added := 0, 0
		for _, edit := range edits {
			if edit.Length > 0 {
				parts++
			}
			added += len(edit.Data)
		}
		return fmt.Sprintf("%d bytes: %d parts, %d new bytes; same: %t\n", len(after), parts, added, bytes.Equal(made, after))
	})
}

// TestDrawnEdits guards against edits that make another text, for texts with few different bytes,
// in which blocks repeat.
func TestDrawnEdits(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		before := drawText(random, random.IntN(2000))
		after := bytes.Clone(before)
		for range random.IntN(5) {
			begin := random.IntN(len(after) + 1)
			end := begin + random.IntN(len(after)-begin+1)
			after = append(append(bytes.Clone(after[:begin]), drawText(random, random.IntN(100))...), after[end:]...)
		}
		made, err := Apply(before, Between(before, after), len(after))
		if err != nil || !bytes.Equal(made, after) {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func drawText(random *rand.Rand, size int) []byte {
	text := make([]byte, size)
	for i := range text {
		text[i] = "ab"[random.IntN(2)]
	}
	return text
}

// FuzzApply looks for edits from outside that read beyond the earlier text or take memory without a
// bound.
func FuzzApply(f *testing.F) {
	f.Add([]byte("abc"), 1, 2, []byte("x"))
	f.Add([]byte("abc"), -1, 2, []byte("x"))
	f.Add([]byte("abc"), 1<<62, 1<<62, []byte("x"))
	f.Fuzz(func(t *testing.T, before []byte, offset, length int, data []byte) {
		after, err := Apply(before, []Edit{{Offset: offset, Length: length, Data: data}, {Length: len(before)}}, 100)
		if err == nil && len(after) > 100 {
			t.Errorf("%d bytes", len(after))
		}
		if errors.Is(err, ErrTooLong) && length+len(data)+len(before) <= 100 {
			t.Errorf("%d bytes are too long", length+len(data)+len(before))
		}
	})
}
