package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// Check judges records and journals.
type Check struct {
	// Event is the time of the fault in Unix microseconds; zero means none.
	Event int64
	// MaxViolationsShown bounds the details that are printed.
	MaxViolationsShown int
	// Audited holds the attempts whose start is in the audit log; nil skips the
	// comparison.
	Audited map[core.AttemptID]bool
}

// Verdict is what the records and journals show.
type Verdict struct {
	Requests   int
	Results    map[Result]int
	Codes      map[string]int
	Runs       int
	Audited    int `json:",omitempty"`
	Violations map[string]int
	// RecoverySeconds is the time from the event until 95 of 100 requests were
	// served; negative if it was never reached.
	RecoverySeconds float64 `json:",omitempty"`
	details         []string
}

// The names of the violations.
const (
	wrongAnswer     = "WrongAnswer"
	falseNotRun     = "FalseNotRun"
	repeatedCall    = "RepeatedCall"
	answerWithout   = "AnswerWithoutRun"
	notAudited      = "RunWithoutAudit"
	standinObserved = "Upstream: "
)

// served is the share of a window of requests that counts as recovered.
const (
	recoveryWindow = 100
	recoveryServed = 95
)

// Judge returns the verdict. The journals must hold every upstream's entries.
func (check Check) Judge(records []Record, entries []journal.Entry) Verdict {
	verdict := Verdict{
		Requests: len(records), Results: make(map[Result]int), Codes: make(map[string]int), Violations: make(map[string]int),
	}
	runs := make(map[string]int)
	for _, entry := range entries {
		switch entry.Event {
		case journal.Run:
			runs[entry.Key]++
			verdict.Runs++
			if check.Audited != nil && !check.Audited[entry.Attempt] {
				verdict.add(notAudited, fmt.Sprintf("%+v", entry))
			}
		case journal.Violation:
			verdict.add(standinObserved+entry.Detail, fmt.Sprintf("%+v", entry))
		}
	}
	for _, record := range records {
		verdict.judge(record, runs[record.Content])
	}
	verdict.Audited = len(check.Audited)
	if check.Event > 0 {
		verdict.RecoverySeconds = check.recovery(records)
	}
	return verdict
}

func (verdict *Verdict) add(name, detail string) {
	verdict.Violations[name]++
	verdict.details = append(verdict.details, name+": "+detail)
}

func (verdict *Verdict) judge(record Record, runs int) {
	verdict.Results[record.Result]++
	if record.Code != "" {
		verdict.Codes[string(record.Code)+" "+record.Outcome]++
	}
	detail := fmt.Sprintf("%+v", record)
	for _, fault := range record.Faults {
		verdict.add(wrongAnswer, fault+" in "+detail)
	}
	if record.Outcome == core.NotRun.String() && runs > 0 && !record.Uncertain {
		verdict.add(falseNotRun, fmt.Sprintf("ran %d times: %s", runs, detail))
	}
	if record.Kind == Call && runs > 1 {
		verdict.add(repeatedCall, fmt.Sprintf("ran %d times: %s", runs, detail))
	}
	if (record.Result == Answered || record.Outcome == core.Ran.String()) && runs == 0 {
		verdict.add(answerWithout, detail)
	}
}

// recovery returns the time from the event to the first send after which 95 of
// the next 100 requests were served.
func (check Check) recovery(records []Record) float64 {
	after := slices.DeleteFunc(slices.Clone(records), func(record Record) bool { return record.Sent < check.Event })
	slices.SortFunc(after, func(one, other Record) int { return int(one.Sent - other.Sent) })
	for start := 0; start+recoveryWindow <= len(after); start++ {
		served := 0
		for _, record := range after[start : start+recoveryWindow] {
			if record.Result == Answered {
				served++
			}
		}
		if served >= recoveryServed {
			return float64(after[start].Sent-check.Event) / 1e6
		}
	}
	return -1
}

// Print writes the verdict as JSON and the first violations, and returns whether
// there were none.
func (check Check) Print(writer io.Writer, verdict Verdict) (bool, error) {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(verdict); err != nil {
		return false, err
	}
	for _, detail := range verdict.details[:min(len(verdict.details), check.MaxViolationsShown)] {
		if _, err := fmt.Fprintln(writer, "violation:", detail); err != nil {
			return false, err
		}
	}
	return len(verdict.Violations) == 0, nil
}

// ReadAudit returns the attempts whose start stands in an exported audit log, one
// record a line.
func ReadAudit(path string) (map[core.AttemptID]bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open audit log")
	}
	defer file.Close()
	attempts := make(map[core.AttemptID]bool)
	decoder := json.NewDecoder(file)
	for {
		var record struct {
			Event   string
			Attempt core.AttemptID
		}
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return attempts, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decode audit log")
		}
		if record.Event == "start" {
			attempts[record.Attempt] = true
		}
	}
}
