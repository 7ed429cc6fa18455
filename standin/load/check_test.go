package load

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/engine"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// TestEvaluate guards against a check that misses a violation or reports an allowed
// answer as a violation.
func TestEvaluate(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, line *datadriven.TestData) string {
		is := is.New(t)
		var records []Record
		var entries []journal.Entry
		for _, text := range strings.Split(line.Input, "\n") {
			kind, content, _ := strings.Cut(text, " ")
			if kind == "record" {
				var record Record
				is.NoErr(json.Unmarshal([]byte(content), &record))
				records = append(records, record)
				continue
			}
			var entry journal.Entry
			is.NoErr(json.Unmarshal([]byte(content), &entry))
			entries = append(entries, entry)
		}
		verdict := Check{}.Evaluate(records, entries)
		return fmt.Sprintf("runs=%d violations=%v\n", verdict.Runs, verdict.Violations)
	})
}

// TestRecovery guards against a recovery time that is measured to a window with
// fewer than 95 answered requests.
func TestRecovery(t *testing.T) {
	is := is.New(t)
	var records []Record
	for i := range 500 {
		result := Answered
		if i >= 100 && i < 200 {
			result = Refused
		}
		records = append(records, Record{Sent: int64(i) * 10_000, Result: result})
	}
	// Requests 195 to 294 are the first 100 of which 95 are answered.
	is.Equal(Check{Event: 1_000_000}.recovery(records), 0.95)
	is.Equal(Check{Event: 4_500_000}.recovery(records), -1.0) // fewer than 100 requests follow
}

// TestStream guards against undetected duplicate, missing or wrong tokens in a
// stream.
func TestStream(t *testing.T) {
	av := core.AdapterVersion{Adapter: "x", Version: "1"}
	planned := &plannedRequest{av: av, software: []core.SoftwareVersion{"1", "2"}, prompt: engine.Prompt{Text: "p", Tokens: 3}}
	datadriven.RunTest(t, "testdata/stream", func(t *testing.T, line *datadriven.TestData) string {
		var body strings.Builder
		for _, argument := range line.CmdArgs {
			switch argument.Key {
			case "done":
				body.WriteString("data: [DONE]\n\n")
			case "error":
				body.WriteString("event: error\ndata: {\"error\":{\"code\":\"stream_broken\",\"outcome\":\"ran\"}}\n\n")
			default:
				number, software, found := strings.Cut(argument.Key, "@")
				if !found {
					software = "1"
				}
				var offset core.Tokens
				_, err := fmt.Sscan(number, &offset)
				is.New(t).NoErr(err)
				fmt.Fprintf(&body, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", engine.Token(av, core.SoftwareVersion(software), "p", offset))
			}
		}
		var record Record
		readStream(strings.NewReader(body.String()), planned, &record)
		return fmt.Sprintf("%s faults=%d\n", record.Result, len(record.Faults))
	})
}
