package origin

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a stream that goes on at another software version than the one
// that began it.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			return runRule(data)
		})
	})
}

// runRule applies a Requirement to a software version.
func runRule(data *datadriven.TestData) string {
	requirement := Requirement{Continues: data.HasArg("continues"), Software: core.SoftwareVersion(textArg(data, "continues"))}
	result := fmt.Sprint(requirement.Allows(core.SoftwareVersion(textArg(data, "software"))))
	if !requirement.Possible() {
		result += " (impossible)"
	}
	return result + "\n"
}

// textArg returns the first value of an argument, or "" if it is missing or has none.
func textArg(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}
