package control

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestUsageTable guards against sums that differ from the sums of the last reports, after
// reports were replaced or have expired. Each of some hundred entry VMs reports twelve times
// a second, so the sums are not added up again at each report.
func TestUsageTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table usageTable
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond
			table.expire(now)
			key := usageKey{core.VMID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "vm")), core.ZoneID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))}
			table.replace(key, drawReport(t, now))
			want := make(map[core.UpstreamID]upstreamUse)
			for _, report := range table.reports {
				addNaively(want, report)
			}
			if len(want) != len(table.sums) {
				t.Fatalf("%d upstreams are in use, want %d", len(table.sums), len(want))
			}
			for id, sum := range want {
				if !reflect.DeepEqual(sum, table.sums[id]) {
					t.Fatalf("%s has %v, want %v", id, table.sums[id], sum)
				}
			}
			prompts := make(map[core.UpstreamID]core.Tokens)
			for _, report := range table.reports {
				for id, tokens := range report.prompts {
					prompts[id] += tokens
				}
			}
			if len(prompts) != len(table.prompts) || len(prompts) > 0 && !reflect.DeepEqual(prompts, table.prompts) {
				t.Fatalf("prompts of %v tokens are not read, want %v", table.prompts, prompts)
			}
		}
	})
}

func drawReport(t *rapid.T, now time.Duration) usageReport {
	report := usageReport{at: now, upstreams: make(map[core.UpstreamID]upstreamUse), prompts: make(map[core.UpstreamID]core.Tokens)}
	for range rapid.IntRange(0, 3).Draw(t, "upstreams") {
		use := make(upstreamUse)
		for range rapid.IntRange(1, 3).Draw(t, "weights") {
			key := core.WeightKey{Model: "m", Adapter: core.AdapterID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "adapter")))}
			use[key] += rapid.IntRange(1, 4).Draw(t, "count")
		}
		id := core.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 2).Draw(t, "upstream")))
		report.upstreams[id] = use
		if tokens := rapid.IntRange(0, 3).Draw(t, "tokens"); tokens > 0 {
			report.prompts[id] = core.Tokens(tokens)
		}
	}
	return report
}

func addNaively(sums map[core.UpstreamID]upstreamUse, report usageReport) {
	for id, use := range report.upstreams {
		if sums[id] == nil {
			sums[id] = make(upstreamUse)
		}
		for key, count := range use {
			sums[id][key] += count
		}
	}
}
