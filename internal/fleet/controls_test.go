package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestControlGroup guards against a majority of a list that a control VM has sent right after its
// start, and against VMs that left long ago and still count.
func TestControlGroup(t *testing.T) {
	var group *controlGroup
	datadriven.RunTest(t, "testdata/controls", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "new" {
			group = &controlGroup{}
		}
		now, source := 0, ""
		data.MaybeScanArgs(t, "at", &now)
		data.MaybeScanArgs(t, "source", &source)
		at := time.Duration(now) * time.Second
		var vms []ControlVM
		var seeds []core.VMID
		for _, field := range strings.Fields(data.Input) {
			name, zone, _ := strings.Cut(field, "@")
			vms = append(vms, ControlVM{VM: core.VMID(name), Zone: core.ZoneID(zone)})
			seeds = append(seeds, core.VMID(name))
		}
		switch data.Cmd {
		case "seed":
			group.seed(at, seeds)
		case "list":
			group.set(core.VMID(source), vms)
		case "end":
			group.end(at, core.VMID(source))
		}
		var text strings.Builder
		if len(group.all(at)) == 0 {
			return "none\n"
		}
		for _, vm := range group.all(at) {
			fmt.Fprintf(&text, "%s@%s ", vm.VM, vm.Zone)
		}
		return strings.TrimSpace(text.String()) + "\n"
	})
}
