package selection

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against choosing a failing, silent or full upstream, or one in another
// zone, although a better one is available.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var candidates []Candidate
			var names []string
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				names = append(names, fields[0])
				candidates = append(candidates, parseCandidate(fields[1:]))
			}
			index, cost := Choose(candidates, 0)
			if index < 0 {
				return "none\n"
			}
			return fmt.Sprintf("%s cost=%.2f\n", names[index], cost)
		})
	})
}

func parseCandidate(fields []string) Candidate {
	candidate := Candidate{Slots: 10}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "local":
			candidate.Local = true
		case "limited":
			candidate.Limited = true
		case "silent":
			candidate.Silent = true
		case "running":
			candidate.Running = int(number)
		case "others":
			candidate.Others = int(number)
		case "slots":
			candidate.Slots = int(number)
		case "faults":
			candidate.Faults = number
		}
	}
	return candidate
}
