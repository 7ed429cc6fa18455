package retry

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a second run of a request that is not repeatable, and
// against retries beyond this VM's share of the budget.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		budget := &Budget{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			now := time.Duration(number(data, "at") * float64(time.Second))
			switch data.Cmd {
			case "may":
				return evaluateAllowed(data.Input)
			case "limits":
				window := 10 * time.Second
				if seconds := number(data, "window"); seconds > 0 {
					window = time.Duration(seconds * float64(time.Second))
				}
				budget.SetLimits(Limits{Ratio: number(data, "ratio"), Extra: number(data, "extra"), Zones: int(number(data, "zones")), Window: window})
				return "ok\n"
			case "requests":
				for range int(number(data, "count")) {
					budget.AddRequest(now)
				}
				return "ok\n"
			case "retries":
				allowed := 0
				for range int(number(data, "count")) {
					if budget.Allow(now, int(number(data, "vms"))) {
						allowed++
					}
				}
				return fmt.Sprintf("allowed %d\n", allowed)
			default:
				return "unknown command\n"
			}
		})
	})
}

func number(data *datadriven.TestData, name string) float64 {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			value, _ := strconv.ParseFloat(arg.Vals[0], 64)
			return value
		}
	}
	return 0
}

// evaluateAllowed evaluates Allowed for each line of kind, maximum number of attempts,
// sends and runs.
func evaluateAllowed(input string) string {
	kinds := map[string]core.Route{
		"idempotent": {Kind: core.Idempotent}, "non-idempotent": {Kind: core.NonIdempotent},
		"stream": {Kind: core.Stream}, "resumable": {Kind: core.Stream, Resumable: true},
	}
	var out strings.Builder
	for line := range strings.Lines(input) {
		var kind string
		var attempts, sends, runs int
		if _, err := fmt.Sscanf(line, "%s attempts=%d sends=%d runs=%d", &kind, &attempts, &sends, &runs); err != nil {
			return err.Error() + "\n"
		}
		route := kinds[kind]
		route.MaxAttempts = attempts
		fmt.Fprintf(&out, "%s %t\n", strings.TrimSpace(line), Allowed(&route, SendCounts{Sends: sends, Runs: runs}))
	}
	return out.String()
}
