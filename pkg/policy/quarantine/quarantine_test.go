package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestTable guards against a third run of a request that crashes upstreams, and against
// the conviction of a request that was in flight at only one crash.
func TestTable(t *testing.T) {
	table := &Table{}
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, line *datadriven.TestData) string {
		timeArgument := func(name string) time.Time {
			var value int
			line.ScanArgs(t, name, &value)
			return time.Unix(int64(1_000_000+value), 0)
		}
		var names, incarnation string
		line.ScanArgs(t, "of", &names)
		var fingerprints []core.Fingerprint
		for _, name := range strings.Split(names, ",") {
			fingerprints = append(fingerprints, core.Fingerprint(name))
		}
		switch line.Cmd {
		case "report":
			line.ScanArgs(t, "incarnation", &incarnation)
			table.Report(core.Incarnation(incarnation), fingerprints, timeArgument("at"))
		case "merge":
			var crashes int
			line.ScanArgs(t, "crashes", &crashes)
			table.Merge(fingerprints[0], crashes, timeArgument("until"), timeArgument("at"))
		}
		var text strings.Builder
		for _, fingerprint := range fingerprints {
			fmt.Fprintf(&text, "%s %s\n", fingerprint, table.Status(fingerprint, timeArgument("at")))
		}
		return text.String()
	})
}

// TestFingerprint guards against a caller that evades a conviction by sending the same
// content with other identifiers, and against equal fingerprints for requests of
// different customers.
func TestFingerprint(t *testing.T) {
	datadriven.RunTest(t, "testdata/fingerprint", func(_ *testing.T, line *datadriven.TestData) string {
		numbers := make(map[core.Fingerprint]int)
		var text strings.Builder
		for _, input := range strings.Split(line.Input, "\n") {
			parts := strings.SplitN(input, " ", 4)
			fingerprint := Fingerprint(Content{
				Customer: core.CustomerID(parts[0]), Method: parts[1], Path: parts[2], Body: []byte(parts[3]),
			})
			if numbers[fingerprint] == 0 {
				numbers[fingerprint] = len(numbers) + 1
			}
			fmt.Fprintln(&text, numbers[fingerprint])
		}
		return text.String()
	})
}
