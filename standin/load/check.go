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

// Check checks the records of the callers against the journals of the stand-ins.
type Check struct {
	// Event is the time of the fault in Unix microseconds; zero means none.
	Event int64
	// MaxViolationsShown is the maximum number of violations printed in full.
	MaxViolationsShown int
	// Audited holds the attempts whose start is in the audit log; nil skips the
	// comparison with the audit log.
	Audited map[core.AttemptID]bool
}

// Verdict is the result of a check.
type Verdict struct {
	Requests   int
	Results    map[Result]int
	Codes      map[string]int
	Runs       int
	Audited    int `json:",omitempty"`
	Violations map[string]int
	// RecoverySeconds is the time in seconds from the event to the first request
	// from which 95 of 100 requests were answered; -1 if there is none.
	RecoverySeconds  float64 `json:",omitempty"`
	violationDetails []string
}

// The names under which a verdict counts violations. upstreamViolationPrefix precedes
// the detail of a violation that a stand-in recorded in its journal.
const (
	wrongAnswer             = "WrongAnswer"
	falseNotRun             = "FalseNotRun"
	repeatedCall            = "RepeatedCall"
	answerWithoutRun        = "AnswerWithoutRun"
	notAudited              = "RunWithoutAudit"
	upstreamViolationPrefix = "Upstream: "
)

// The system counts as recovered if recoveryAnswered of recoveryWindow consecutive
// requests are answered.
const (
	recoveryWindow   = 100
	recoveryAnswered = 95
)

// Evaluate returns the verdict. The entries must include those of every upstream.
func (check Check) Evaluate(records []Record, entries []journal.Entry) Verdict {
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
				verdict.addViolation(notAudited, fmt.Sprintf("%+v", entry))
			}
		case journal.Violation:
			verdict.addViolation(upstreamViolationPrefix+entry.Detail, fmt.Sprintf("%+v", entry))
		}
	}
	for _, record := range records {
		verdict.checkRecord(record, runs[record.Content])
	}
	verdict.Audited = len(check.Audited)
	if check.Event > 0 {
		verdict.RecoverySeconds = check.recovery(records)
	}
	return verdict
}

func (verdict *Verdict) addViolation(name, detail string) {
	verdict.Violations[name]++
	verdict.violationDetails = append(verdict.violationDetails, name+": "+detail)
}

func (verdict *Verdict) checkRecord(record Record, runs int) {
	verdict.Results[record.Result]++
	if record.Code != "" {
		verdict.Codes[string(record.Code)+" "+record.Outcome]++
	}
	detail := fmt.Sprintf("%+v", record)
	for _, fault := range record.Faults {
		verdict.addViolation(wrongAnswer, fault+" in "+detail)
	}
	if record.Outcome == core.NotRun.String() && runs > 0 && !record.Uncertain {
		verdict.addViolation(falseNotRun, fmt.Sprintf("ran %d times: %s", runs, detail))
	}
	if record.Kind == Call && runs > 1 {
		verdict.addViolation(repeatedCall, fmt.Sprintf("ran %d times: %s", runs, detail))
	}
	if (record.Result == Answered || record.Outcome == core.Ran.String()) && runs == 0 {
		verdict.addViolation(answerWithoutRun, detail)
	}
}

// recovery returns the time in seconds from the event to the first request, in
// order of sending, from which 95 of 100 consecutive requests were answered, or -1
// if there is none.
func (check Check) recovery(records []Record) float64 {
	after := slices.DeleteFunc(slices.Clone(records), func(record Record) bool { return record.Sent < check.Event })
	slices.SortFunc(after, func(one, other Record) int { return int(one.Sent - other.Sent) })
	for start := 0; start+recoveryWindow <= len(after); start++ {
		answered := 0
		for _, record := range after[start : start+recoveryWindow] {
			if record.Result == Answered {
				answered++
			}
		}
		if answered >= recoveryAnswered {
			return float64(after[start].Sent-check.Event) / 1e6
		}
	}
	return -1
}

// Print writes the verdict as JSON and the first violations, and reports whether
// there were no violations.
func (check Check) Print(writer io.Writer, verdict Verdict) (bool, error) {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(verdict); err != nil {
		return false, err
	}
	for _, detail := range verdict.violationDetails[:min(len(verdict.violationDetails), check.MaxViolationsShown)] {
		if _, err := fmt.Fprintln(writer, "violation:", detail); err != nil {
			return false, err
		}
	}
	return len(verdict.Violations) == 0, nil
}

// ReadAudit returns the attempts whose start is in an exported audit log, a
// sequence of JSON records.
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
