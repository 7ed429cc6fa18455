package rig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestJudge guards against a judge that misses a breach of a rule, or reports what a rule
// allows or excuses. Each line of a script is a time, an event and the fields of a record;
// copies=N every=D repeats it, with # in its fields replaced by the number of the copy.
func TestJudge(t *testing.T) {
	datadriven.Walk(t, "testdata/judge", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, script *datadriven.TestData) string {
			is := is.New(t)
			figures := Figures{Ratio: 0.1, Extra: 1000, Window: 10 * time.Second, Contact: 2 * time.Second, Control: []string{"c1", "c2", "c3"}}
			if script.HasArg("extra") {
				var extra int
				script.ScanArgs(t, "extra", &extra)
				figures.Extra = float64(extra)
			}
			var records []Record
			for _, line := range strings.Split(script.Input, "\n") {
				records = append(records, parseRecords(is, line)...)
			}
			var output strings.Builder
			verdict := Judge(records, figures)
			for _, rule := range slices.Sorted(maps.Keys(verdict.Counts)) {
				fmt.Fprintln(&output, rule, verdict.Counts[rule])
			}
			for _, violation := range verdict.Violations[:min(len(verdict.Violations), 2)] {
				fmt.Fprintf(&output, "%v %d records %s\n", time.Duration(violation.At)*time.Microsecond, len(violation.Records), violation.Detail)
			}
			return output.String()
		})
	})
}

func parseRecords(is *is.I, line string) []Record {
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0])
	is.NoErr(err)
	copies, every := 1, time.Duration(0)
	fields := map[string]any{"Event": words[1]}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		if name == "copies" {
			copies, err = strconv.Atoi(value)
		} else if name == "every" {
			every, err = time.ParseDuration(value)
		} else if number, notNumber := strconv.Atoi(value); notNumber == nil {
			fields[name] = number
		} else if value == "true" {
			fields[name] = true
		} else {
			fields[name] = value
		}
		is.NoErr(err)
	}
	text, err := json.Marshal(fields)
	is.NoErr(err)
	records := make([]Record, copies)
	for i := range records {
		is.NoErr(json.Unmarshal([]byte(strings.ReplaceAll(string(text), "#", strconv.Itoa(i))), &records[i]))
		records[i].At = (at + time.Duration(i)*every).Microseconds()
	}
	return records
}
