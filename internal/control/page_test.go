package control

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/wire"
)

// TestOperationsPage guards against a procedure in docs/OPERATIONS.md that refers to a log
// line which an owner does not write, or writes without the request id.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	loggers, err := logging.NewStructured(&out, "info")
	is.NoErr(err)
	control := New(Options{VM: "c1", Zone: "z", Logger: loggers.Logger("control")}, NewPeers(Peer{VM: "c1", Zone: "z"}))
	control.place(t.Context(), &wire.Place{Service: "s", Model: "m", Adapter: "a490", Request: "r1", WaitMillis: 679})
	line, ok := logging.ParseLine(out.String())
	is.True(ok)
	is.Equal(line.Get(logging.RequestField), "r1")
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	samples := 0
	for sample := range strings.Lines(string(page)) {
		_, fields, ok := strings.Cut(sample, `msg="`+line.Message+`" `)
		if !ok {
			continue
		}
		samples++
		for _, field := range line.Fields {
			is.True(strings.Contains(" "+fields, " "+field.Key+"=")) // the page omits a field of this log line
		}
	}
	is.True(samples > 0)
}
