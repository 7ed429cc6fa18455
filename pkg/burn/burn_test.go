package burn

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"iter"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

var testNow = time.Unix(1_800_000_000, 0)

// parseRecords returns the records described by lines such as "20 age=2m first=100ms whole".
func parseRecords(t *testing.T, input string) []audit.Record {
	is := is.New(t)
	var result []audit.Record
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		count, err := strconv.Atoi(fields[0])
		is.NoErr(err)
		for range count {
			record := audit.Record{Event: audit.EventEnd, Plan: "gold", Customer: "one", Zone: "a", Outcome: "ran", Whole: true}
			record.Request = core.RequestID(fmt.Sprintf("r%d", len(result)))
			record.Attempt = core.AttemptID(fmt.Sprintf("t%d", len(result)))
			for _, field := range fields[1:] {
				setField(t, &record, field)
			}
			result = append(result, record)
		}
	}
	return result
}

func setField(t *testing.T, record *audit.Record, field string) {
	key, value, _ := strings.Cut(field, "=")
	duration, _ := time.ParseDuration(value)
	switch key {
	case "age":
		record.At = testNow.Add(-duration).UnixMilli()
	case "first":
		record.FirstByteMicros = duration.Microseconds()
	case "gap":
		record.LongestGapMicros = duration.Microseconds()
	case "stall":
		record.StallMicros = duration.Microseconds()
	case "plan":
		record.Plan = core.PlanID(value)
	case "zone":
		record.Zone = core.ZoneID(value)
	case "upstream":
		record.Upstream = core.UpstreamID(value)
	case "adapter":
		record.Adapter = core.AdapterID(value)
	case "broken":
		record.Whole, record.Outcome, record.Code = false, "unknown", core.RefusalCode(value)
	case "refused":
		record.Whole, record.Outcome, record.Code = false, "not_run", core.RefusalCode(value)
	case "request":
		record.Request = core.RequestID(value)
	case "start":
		record.Event = audit.EventStart
	default:
		t.Fatalf("unknown field %q", field)
	}
}

func sequence(records []audit.Record) iter.Seq2[audit.Record, error] {
	return func(yield func(audit.Record, error) bool) {
		for _, record := range records {
			if !yield(record, nil) {
				return
			}
		}
	}
}

// TestKnownFigures guards against wrong burn rates, contributions or alerts. The
// expected values in testdata/figures were calculated by hand.
func TestKnownFigures(t *testing.T) {
	var report Report
	datadriven.RunTest(t, "testdata/figures", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "records" {
			plans := []core.Plan{{Plan: "gold", Customer: "one", Objectives: core.Objectives{FirstTokenMillis: 500, BetweenTokenMillis: 100, Target: 0.9}}}
			var err error
			report, err = Compute(sequence(parseRecords(t, data.Input)), Options{Plans: plans, Now: testNow})
			is.New(t).NoErr(err)
			return ""
		}
		for _, plan := range report.Plans {
			for _, objective := range plan.Objectives {
				if string(plan.Plan) == data.CmdArgs[0].Key && string(objective.Objective) == data.CmdArgs[1].Key {
					return formatObjective(objective)
				}
			}
		}
		return "none\n"
	})
}

func formatObjective(objective ObjectiveReport) string {
	var text strings.Builder
	for _, window := range objective.Windows {
		fmt.Fprintf(&text, "%s: %d of %d, rate %.3f\n", window.Window, window.Bad, window.Requests, window.BurnRate)
	}
	if objective.Alert != "" {
		fmt.Fprintln(&text, "alert", objective.Alert)
	}
	for _, contribution := range objective.UsedBy {
		fmt.Fprintf(&text, "%s %s: %d, %.0f%%\n", contribution.By, contribution.Name, contribution.Bad, 100*contribution.Share)
	}
	return text.String()
}

// TestFormats guards against report output that cannot be parsed, and against an HTML
// page that refers to other files.
func TestFormats(t *testing.T) {
	is := is.New(t)
	report, err := Compute(sequence(parseRecords(t, "3 age=2m first=2s zone=<b>\n5 age=1h first=10ms")), Options{Now: testNow})
	is.NoErr(err)
	var text, object, page bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.True(strings.Contains(text.String(), "first-token"))
	is.NoErr(report.WriteJSON(&object))
	var decoded Report
	is.NoErr(json.Unmarshal(object.Bytes(), &decoded))
	is.Equal(decoded.Plans, report.Plans)
	is.NoErr(report.WriteHTML(&page))
	is.True(strings.Contains(page.String(), "<svg"))
	is.True(!strings.Contains(page.String(), "<b>")) // names are escaped
	for _, reference := range []string{"src=", "href=", "@import", "<?xml"} {
		is.True(!strings.Contains(page.String(), reference))
	}
	_, svg, _ := strings.Cut(page.String(), "<svg")
	svg, _, _ = strings.Cut(svg, "</svg>")
	decoder := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>"))
	for err = nil; err == nil; {
		_, err = decoder.Token()
	}
	is.True(errors.Is(err, io.EOF)) // the plot is well-formed
}
