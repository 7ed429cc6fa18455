package control

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestChooseOwner guards against two owners of a zone's engines with a lease, and against
// a zone that stays without an owner.
func TestChooseOwner(t *testing.T) {
	datadriven.RunTest(t, "testdata/owner", func(t *testing.T, data *datadriven.TestData) string {
		var owner ledger.Ownership
		leading := time.Hour
		for _, arg := range data.CmdArgs {
			switch arg.Key {
			case "owner":
				owner.VM = core.VMID(arg.Vals[0])
			case "leading":
				leading = millis(arg.Vals[0])
			}
		}
		const now = 100 * time.Second
		var standings []standing
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			next := standing{Peer: Peer{VM: core.VMID(fields[0]), Zone: core.ZoneID(fields[1])}}
			for _, field := range fields[2:] {
				name, value, _ := strings.Cut(field, "=")
				switch name {
				case "granted":
					next.granted = now - millis(value)
				case "steady":
					next.steady = millis(value)
				}
			}
			standings = append(standings, next)
		}
		vm, live, ok := chooseOwner("z1", owner, standings, now, leading)
		if !ok {
			return "stays\n"
		}
		return fmt.Sprintf("%s live=%t\n", vm, live)
	})
}

func millis(text string) time.Duration {
	value, _ := strconv.Atoi(text)
	return time.Duration(value) * time.Millisecond
}
