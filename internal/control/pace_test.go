package control

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestPaceScripts guards against an owner that states no times or shares, states them to all
// reports although few ask for them, or states them about upstreams of other zones or former
// processes, and against changes that are not logged.
func TestPaceScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/pace", func(t *testing.T, path string) {
		var log bytes.Buffer
		loggers, err := logging.NewStructured(&log, "info")
		if err != nil {
			t.Fatal(err)
		}
		control := New(Options{VM: "c", Zone: "a", Logger: loggers.Logger("control")}, NewPeers(Peer{VM: "c", Zone: "a"}))
		zone := &ownedZone{zone: "a", token: 1}
		control.owned["a"] = zone
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			text := ""
			data.ScanArgs(t, "at", &text)
			now, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			log.Reset()
			usage := &wire.Usage{Vm: "e", Zone: "a", Times: data.HasArg("times")}
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				args := map[string]uint64{"born": 1}
				for _, field := range fields[1:] {
					name, value, _ := strings.Cut(field, "=")
					if args[name], err = strconv.ParseUint(value, 10, 64); err != nil {
						t.Fatal(err)
					}
				}
				switch data.Cmd {
				case "upstreams":
					control.lock.Lock()
					control.setUpstream(now, core.Instance{
						Upstream: core.UpstreamID(fields[0]), Born: int64(args["born"]), Service: "s", Zone: "a", Slots: 24, Leaving: args["leaving"] == 1,
					})
					control.lock.Unlock()
				case "medians":
					usage.Medians = append(usage.Medians, &wire.ServiceTimes{Service: fields[0], AnswerMicros: uint32(args["answer"]), PauseMicros: uint32(args["pause"])})
				default:
					usage.Upstreams = append(usage.Upstreams, &wire.UpstreamUse{Upstream: fields[0], Answers: &wire.AnswerTimes{
						BornUnixMillis: int64(args["born"]), Count: uint32(args["count"]), TotalMicros: args["count"] * args["answer"],
						Pauses: uint32(args["pauses"]), PauseMicros: args["pauses"] * args["pause"], Failures: uint32(args["failures"]),
					}})
				}
			}
			result := &wire.UsageResult{}
			if data.Cmd != "upstreams" {
				zone.paces.observe(now, usage)
				zone.paces.state(now, result, usage.GetTimes())
			}
			control.notePace(now)
			return paceResult(result) + paceLog(&log)
		})
	})
}

// paceResult returns the result of a report.
func paceResult(result *wire.UsageResult) string {
	var out strings.Builder
	slices.SortFunc(result.GetUpstreams(), func(a, b *wire.UpstreamUse) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	for _, use := range result.GetUpstreams() {
		fmt.Fprintf(&out, "%s open=%d answer=%d pause=%d\n", use.GetUpstream(), use.GetOpenPermille(), use.GetAnswerMicros(), use.GetPauseMicros())
	}
	return out.String()
}

// paceLog returns the lines of the log without their times.
func paceLog(log *bytes.Buffer) string {
	var out strings.Builder
	for text := range strings.Lines(log.String()) {
		if line, ok := logging.ParseLine(text); ok {
			fmt.Fprintf(&out, "log: %s upstream=%s cause=%s class=%s\n", line.Message, line.Get("upstream"), line.Get("cause"), line.Get("class"))
		}
	}
	return out.String()
}
