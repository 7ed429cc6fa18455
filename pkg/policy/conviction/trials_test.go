package conviction

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxTrials is the number of requests with content that crashes upstreams which the operators
// accept after the conviction, over all entry VMs.
const maxTrials = 3

// TestTrials guards against more trials of convicted content than the operators accept, over all
// entry VMs: a trial that several VMs take for their own, or a VM that starts again and repeats it.
func TestTrials(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders/trials", func(t *testing.T, data *datadriven.TestData) string {
		var vms, traits int
		var untilText, restartText string
		data.ScanArgs(t, "vms", &vms)
		data.ScanArgs(t, "traits", &traits)
		data.ScanArgs(t, "until", &untilText)
		data.MaybeScanArgs(t, "restart", &restartText)
		until, err := time.ParseDuration(untilText)
		if err != nil {
			t.Fatal(err)
		}
		restart, _ := time.ParseDuration(restartText)
		over, worst := 0, 0
		for i := range traits {
			trials := countTrials(Trait(fmt.Sprint("part:", i)), vms, until, restart)
			worst = max(worst, trials)
			if trials > maxTrials {
				over++
			}
		}
		var out strings.Builder
		fmt.Fprintf(&out, "%d traits with more than %d trials", over, maxTrials)
		if over > 0 {
			fmt.Fprintf(&out, ", the worst has %d", worst)
		}
		return out.String() + "\n"
	})
}

// countTrials returns the number of requests that pass until a time after the conviction of a
// trait, of which each VM gets a request a second. A positive restart is the time at which each
// VM starts again and learns of the conviction.
func countTrials(trait Trait, vms int, until, restart time.Duration) int {
	trials := 0
	names := make([]core.VMID, vms)
	for vm := range names {
		names[vm] = core.VMID(fmt.Sprint("entry-", vm))
	}
	trier := ChooseTrier(trait, names)
	for vm, name := range names {
		start := func(now time.Duration) *Bans {
			bans := &Bans{VM: name}
			bans.Apply(now, Verdict{Trait: trait, Status: Convicted, Age: now, Left: Term - now, Trier: trier})
			return bans
		}
		bans := start(0)
		for now := time.Duration(0); now < until; now += time.Second {
			if restart > 0 && now == restart {
				bans = start(now)
			}
			request := Request{Content: Trait(fmt.Sprint("content:", vm, now)), Parts: []Trait{trait}}
			if _, refused := bans.Refuse(now, request); !refused && !bans.Refused(now, request) {
				trials++
			}
		}
	}
	return trials
}
