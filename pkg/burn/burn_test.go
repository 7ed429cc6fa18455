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

// records returns the records of lines such as "20 age=2m first=100ms whole".
func records(t *testing.T, input string) []audit.Record {
	is := is.New(t)
	var result []audit.Record
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		count, err := strconv.Atoi(words[0])
		is.NoErr(err)
		for range count {
			record := audit.Record{Event: audit.EventEnd, Plan: "gold", Customer: "one", Zone: "a", Outcome: "ran", Whole: true}
			record.Request = core.RequestID(fmt.Sprintf("r%d", len(result)))
			record.Attempt = core.AttemptID(fmt.Sprintf("t%d", len(result)))
			for _, word := range words[1:] {
				apply(t, &record, word)
			}
			result = append(result, record)
		}
	}
	return result
}

func apply(t *testing.T, record *audit.Record, word string) {
	key, value, _ := strings.Cut(word, "=")
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
		t.Fatalf("unknown word %q", word)
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

// TestKnownFigures guards against burn rates, causes or alerts that differ from
// what the records hold. The figures in testdata/figures were worked out by hand.
func TestKnownFigures(t *testing.T) {
	var report Report
	datadriven.RunTest(t, "testdata/figures", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "records" {
			plans := []core.Plan{{Plan: "gold", Customer: "one", Objectives: core.Objectives{FirstTokenMillis: 500, BetweenTokenMillis: 100, Target: 0.9}}}
			var err error
			report, err = Compute(sequence(records(t, data.Input)), Options{Plans: plans, Now: testNow})
			is.New(t).NoErr(err)
			return ""
		}
		for _, plan := range report.Plans {
			for _, objective := range plan.Objectives {
				if string(plan.Plan) == data.CmdArgs[0].Key && string(objective.Objective) == data.CmdArgs[1].Key {
					return show(objective)
				}
			}
		}
		return "none\n"
	})
}

func show(objective ObjectiveReport) string {
	var text strings.Builder
	for _, window := range objective.Windows {
		fmt.Fprintf(&text, "%s: %d of %d, rate %.3f\n", window.Window, window.Bad, window.Requests, window.BurnRate)
	}
	if objective.Alert != "" {
		fmt.Fprintln(&text, "alert", objective.Alert)
	}
	for _, use := range objective.UsedBy {
		fmt.Fprintf(&text, "%s %s: %d, %.0f%%\n", use.By, use.Name, use.Bad, 100*use.Share)
	}
	return text.String()
}

// TestForms guards against a form of the report that cannot be read, and against a
// page that needs other files.
func TestForms(t *testing.T) {
	is := is.New(t)
	report, err := Compute(sequence(records(t, "3 age=2m first=2s zone=<b>\n5 age=1h first=10ms")), Options{Now: testNow})
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
