package source

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestChoices guards against fetches that all go to one control VM, that go to one which has not
// stated the number, and that go again to one which has failed while another one could be asked.
func TestChoices(t *testing.T) {
	datadriven.RunTest(t, "testdata/choices", func(t *testing.T, data *datadriven.TestData) string {
		var set Set
		held := core.ConfigNumber(5)
		var out strings.Builder
		for line := range strings.Lines(data.Input) {
			var millis int
			var verb, name string
			var number core.ConfigNumber
			fields := strings.Fields(line)
			if _, err := fmt.Sscan(fields[0], &millis); err != nil {
				t.Fatal(err)
			}
			verb = fields[1]
			if len(fields) > 2 {
				name = fields[2]
				_, _ = fmt.Sscan(fields[len(fields)-1], &number) // a name leaves zero
			}
			now := time.Duration(millis) * time.Millisecond
			vm, zone, _ := strings.Cut(name, "@")
			switch verb {
			case "state":
				set.State(now, core.VMID(vm), core.ZoneID(zone), number)
			case "hold":
				held = number
			case "leave":
				set.Leave(core.VMID(vm))
			case "begin":
				set.Begin(core.VMID(vm))
			case "answer":
				set.Answer(now, core.VMID(vm), number)
			case "fail":
				set.Fail(now, core.VMID(vm))
			case "next":
				chosen, wait := set.Next(now, "entry", "a", held)
				switch {
				case chosen != "":
					fmt.Fprintf(&out, "%d: %s\n", millis, chosen)
				case wait > 0:
					fmt.Fprintf(&out, "%d: wait %d\n", millis, wait.Milliseconds())
				default:
					fmt.Fprintf(&out, "%d: nothing newer\n", millis)
				}
			default:
				t.Fatalf("unknown line %q", line)
			}
		}
		return out.String()
	})
}

// TestSpread guards against entry VMs of one zone that all ask the same control VM.
func TestSpread(t *testing.T) {
	asked := make(map[core.VMID]int)
	for i := range 300 {
		var set Set
		for _, vm := range []core.VMID{"10.1.0.1:7780", "10.1.0.2:7780", "10.1.0.3:7780"} {
			set.State(0, vm, "a", 6)
		}
		set.State(0, "10.2.0.1:7780", "b", 6)
		vm, _ := set.Next(0, core.VMID(fmt.Sprintf("10.1.1.%d:7780", i)), "a", 5)
		asked[vm]++
	}
	if len(asked) != 3 || asked["10.2.0.1:7780"] > 0 {
		t.Errorf("asked: %v", asked)
	}
	for vm, count := range asked {
		if count < 50 || count > 150 {
			t.Errorf("%s was asked by %d of 300", vm, count)
		}
	}
}
