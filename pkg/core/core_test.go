package core

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestChecks guards against accepting an invalid list, announcement or model name, and
// against faults that are reported without their place.
func TestChecks(t *testing.T) {
	datadriven.RunTest(t, "testdata/lists", func(t *testing.T, line *datadriven.TestData) string {
		switch line.Cmd {
		case "plans":
			return checkInput(t, line.Input, CheckPlans)
		case "grants":
			return checkInput(t, line.Input, CheckGrants)
		case "routes":
			return checkInput(t, line.Input, func(table RouteTable) []ValidationError { return table.Check() })
		case "instance":
			return checkInput(t, line.Input, Instance.Check)
		case "announcement":
			return checkInput(t, line.Input, Announcement.Check)
		default:
			return parseModels(line.Input)
		}
	})
}

func checkInput[T any](t *testing.T, input string, check func(T) []ValidationError) string {
	t.Helper()
	var value T
	if err := json.Unmarshal([]byte(input), &value); err != nil {
		t.Fatal(err)
	}
	faults := check(value)
	if len(faults) == 0 {
		return "no faults"
	}
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func parseModels(input string) string {
	var lines []string
	for text := range strings.SplitSeq(input, "\n") {
		parsed, err := ParseAdapterVersion(text)
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		lines = append(lines, parsed.String())
	}
	return strings.Join(lines, "\n")
}

// TestOutcome guards against an outcome that String and ParseOutcome do not convert
// back to the same value.
func TestOutcome(t *testing.T) {
	is := is.New(t)
	for _, outcome := range []Outcome{NotRun, Ran, Unknown} {
		parsed, ok := ParseOutcome(outcome.String())
		is.True(ok)
		is.Equal(parsed, outcome)
	}
	_, ok := ParseOutcome("invalid")
	is.True(!ok)
}
