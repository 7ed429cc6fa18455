package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
)

// TestPaceScripts guards against requests that go to slow upstreams as to fast ones, against a VM
// that takes all slots of an upstream that has just started, against values of an owner that
// outlive it, and against reports without what was observed.
func TestPaceScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/pace", func(t *testing.T, path string) {
		table := NewTable("a")
		table.setVM("entry")
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			text := ""
			data.ScanArgs(t, "at", &text)
			now, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			zone := "a"
			data.MaybeScanArgs(t, "zone", &zone)
			switch data.Cmd {
			case "upstreams":
				for line := range strings.Lines(data.Input) {
					id, args := parseLine(t, line)
					table.SetInstance(now, core.Instance{
						Upstream: id, Born: int64(args["born"]), Sequence: uint64(now), Service: "s", Address: string(id), Zone: core.ZoneID(zone), Slots: int(args["slots"]), Silent: args["silent"] == 1,
					})
				}
			case "vms":
				table.SetEntryVMs(int(parseNumber(t, data.Input)))
			case "result":
				result := &wire.UsageResult{Paced: true, Times: data.HasArg("times")}
				for line := range strings.Lines(data.Input) {
					id, args := parseLine(t, line)
					result.Upstreams = append(result.Upstreams, &wire.UpstreamUse{
						Upstream: string(id), OpenPermille: uint32(args["open"]), PauseMicros: uint32(args["pause"]), AnswerMicros: uint32(args["answer"]),
					})
				}
				table.setPace(now, core.ZoneID(zone), result)
			case "observe":
				for line := range strings.Lines(data.Input) {
					id, args := parseLine(t, line)
					observe(t, table, now, id, args)
				}
			case "report":
				return reportText(table.collectUsage(now, "entry", core.ZoneID(zone)))
			case "select":
				return selectMany(t, table, now, data)
			}
			table.refreshPace(now)
			return paceText(table)
		})
	})
}

func parseNumber(t *testing.T, text string) float64 {
	number, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// parseLine reads the ID of an upstream and numbers with names.
func parseLine(t *testing.T, line string) (core.UpstreamID, map[string]float64) {
	fields := strings.Fields(line)
	args := map[string]float64{"born": 1, "slots": 24}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		args[name] = parseNumber(t, value)
	}
	return core.UpstreamID(fields[0]), args
}

// observe sends a request to an upstream, which had so many others, and observes the answer.
func observe(t *testing.T, table *Table, now time.Duration, id core.UpstreamID, args map[string]float64) {
	table.upstreams[id].otherRunning = int(args["others"])
	selected, ok := table.Reserve(now, id, Query{Service: "s"})
	if !ok {
		t.Fatalf("%s takes no request", id)
	}
	table.ObserveAnswer(now, selected, pace.Answers{Count: 1, Total: time.Duration(args["answer"]) * time.Microsecond})
	if pauses := int(args["pauses"]); pauses > 0 {
		table.ObserveAnswer(now, selected, pace.Answers{Pauses: pauses, PauseTotal: time.Duration(pauses) * time.Duration(args["pause"]) * time.Microsecond})
	}
	if args["rejected"] == 1 {
		table.Observe(now, selected, Rejected)
	}
	if args["unreachable"] == 1 {
		table.Observe(now, selected, Unreachable)
	}
	table.Finish(selected)
	table.upstreams[id].otherRunning = 0
}

// selectMany selects upstreams and counts them.
func selectMany(t *testing.T, table *Table, now time.Duration, data *datadriven.TestData) string {
	count, tokens := 0, 0
	data.ScanArgs(t, "count", &count)
	data.MaybeScanArgs(t, "tokens", &tokens)
	counts := make(map[core.UpstreamID]int)
	var selections []Selection
	load := 0.0
	for range count {
		selected, ok := table.Select(now, Query{Service: "s", Tokens: core.Tokens(tokens)})
		if !ok {
			return "none\n"
		}
		counts[selected.Upstream]++
		selections = append(selections, selected)
		candidate := table.pacedCandidate(table.upstreams[selected.Upstream])
		candidate.Running-- // the load counts the request itself
		load = candidate.Load()
	}
	for _, selected := range selections {
		table.Finish(selected)
	}
	var out strings.Builder
	for _, known := range table.services["s"] {
		fmt.Fprintf(&out, "%s %d\n", known.instance.Upstream, counts[known.instance.Upstream])
	}
	last := selections[len(selections)-1]
	fmt.Fprintf(&out, "last: %s load=%.2f service=%v\n", last.Upstream, load, last.Service.Round(100*time.Microsecond))
	return out.String()
}

// paceText returns the speeds and shares of all upstreams.
func paceText(table *Table) string {
	var out strings.Builder
	for _, known := range table.services["s"] {
		fmt.Fprintf(&out, "%s speed=%.2f open=%.2f\n", known.instance.Upstream, known.speed, known.open)
	}
	return out.String()
}

// reportText returns what a report states of answers and times.
func reportText(usage *wire.Usage) string {
	if usage == nil {
		return "none\n"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "times=%t\n", usage.GetTimes())
	for _, median := range usage.GetMedians() {
		fmt.Fprintf(&out, "median %s answer=%d pause=%d\n", median.GetService(), median.GetAnswerMicros(), median.GetPauseMicros())
	}
	uses := slices.SortedFunc(slices.Values(usage.GetUpstreams()), func(a, b *wire.UpstreamUse) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	for _, use := range uses {
		answers := use.GetAnswers()
		fmt.Fprintf(&out, "%s running=%d count=%d/%d untimed=%d pauses=%d/%d rejections=%d failures=%d\n", use.GetUpstream(), use.GetRunning(),
			answers.GetCount(), answers.GetTotalMicros(), answers.GetUntimed(), answers.GetPauses(), answers.GetPauseMicros(), answers.GetRejections(), answers.GetFailures())
	}
	return out.String()
}
