package handover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against requests for a VM that cannot take them over, against bytes between
// zones that are not needed, and against one VM that gets the requests of all others. Each line
// of a script is a time in milliseconds and an event; "choose" lists the VMs that were tried.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			table := &Table{}
			var targets []Target
			var out strings.Builder
			for _, arg := range data.CmdArgs { // VM=(zone)
				targets = append(targets, Target{VM: core.VMID(arg.Key), Zone: core.ZoneID(arg.Vals[0])})
			}
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				now, err := time.ParseDuration(fields[0] + "ms")
				if err != nil {
					t.Fatal(err)
				}
				var vms []core.VMID
				for _, field := range fields[2:] {
					vms = append(vms, core.VMID(field))
				}
				switch fields[1] {
				case "choose":
					target, ok := table.Choose(now, "a", "s", targets, vms)
					fmt.Fprintln(&out, target.VM, ok)
				case "finish":
					table.Finish(vms[0])
				case "failed":
					table.Failed(now, vms[0])
				case "declined":
					table.Declined(now, vms[0], "s")
				case "declined-other":
					table.Declined(now, vms[0], "other")
				default:
					t.Fatalf("unknown event %q", fields[1])
				}
			}
			return out.String()
		})
	})
}
