package ownership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestChoose guards against two VMs that hold a lease for the engines of one zone, and
// against a zone that remains without an owner.
func TestChoose(t *testing.T) {
	datadriven.RunTest(t, "testdata/owner", func(t *testing.T, data *datadriven.TestData) string {
		timing := Timing{Lease: 2 * time.Second, Margin: 1500 * time.Millisecond, Steady: 6 * time.Second}
		zone := Zone{Zone: "z1", Leading: time.Hour}
		for _, arg := range data.CmdArgs {
			switch arg.Key {
			case "owner":
				zone.Owner = core.VMID(arg.Vals[0])
			case "leading":
				zone.Leading = parseMillis(arg.Vals[0])
			}
		}
		const now = 100 * time.Second
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			state := VMState{VM: core.VMID(fields[0]), Zone: core.ZoneID(fields[1])}
			for _, field := range fields[2:] {
				name, value, _ := strings.Cut(field, "=")
				switch name {
				case "granted":
					state.Granted = now - parseMillis(value)
				case "steady":
					state.Steady = parseMillis(value)
				}
			}
			zone.Standings = append(zone.Standings, state)
		}
		vm, live, ok := timing.ChooseOwner(now, zone)
		if !ok {
			return "unchanged\n"
		}
		return fmt.Sprintf("%s live=%t\n", vm, live)
	})
}

func parseMillis(text string) time.Duration {
	value, _ := strconv.Atoi(text)
	return time.Duration(value) * time.Millisecond
}
