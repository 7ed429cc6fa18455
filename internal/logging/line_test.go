package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParseLine guards against accepting lines of other programs and truncated lines.
// Cases are read from testdata/lines.
func TestParseLine(t *testing.T) {
	datadriven.RunTest(t, "testdata/lines", func(_ *testing.T, data *datadriven.TestData) string {
		var out strings.Builder
		for text := range strings.Lines(data.Input) {
			line, ok := ParseLine(text)
			if !ok {
				out.WriteString("not read\n")
				continue
			}
			fmt.Fprintf(&out, "%s part=%s message=%q fields=%v\n", line.Time.Format(TimeFormat), line.Part, line.Message, line.Fields)
		}
		return out.String()
	})
}

// TestLinesAreRead guards against structured log lines that ParseLine cannot parse.
func TestLinesAreRead(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	loggers, err := NewStructured(&out, "info")
	is.NoErr(err)
	loggers.Logger("gateway").Info("A request ended.", "request", "r1", "reason", `a "quoted" = one`, "tried", []string{"u1", "u2"})
	line, ok := ParseLine(out.String())
	is.True(ok)
	is.Equal(line.Part, "gateway")
	is.Equal(line.Message, "A request ended.")
	is.Equal(line.Get(RequestField), "r1")
	is.Equal(line.Get("reason"), `a "quoted" = one`)
	is.Equal(line.Get("tried"), "[u1 u2]")
	is.Equal(line.Get("absent"), "")
}
