package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// ReadRecords reads all records in a folder. A last line without an end, of a process that was
// killed, is left out.
func ReadRecords(folder string) ([]Record, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.records"))
	if err != nil {
		return nil, errors.Wrap(err, "list the files of records")
	}
	var records []Record
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open records")
		}
		defer file.Close()
		reader := bufio.NewReader(file)
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				break
			}
			var record Record
			if err := json.Unmarshal(line, &record); err != nil {
				return nil, errors.Wrap(err, path)
			}
			records = append(records, record)
		}
	}
	return records, nil
}

// Figures returns the figures of the rules for the play.
func (play *Play) Figures() Figures {
	figures := Figures{
		Ratio: play.Bounds.BudgetRatio, Extra: play.Bounds.BudgetExtra, Window: time.Duration(play.Bounds.BudgetWindowSeconds * float64(time.Second)),
		Contact: time.Duration(play.Bounds.ContactMillis) * time.Millisecond,
	}
	for _, zone := range play.Zones {
		for i := range zone.Controls {
			figures.Control = append(figures.Control, controlName(zone, i))
		}
	}
	return figures
}

// controlName returns the name of the control VM with an index in its zone.
func controlName(zone Zone, index int) string {
	return fmt.Sprintf("control-%s-%d", zone.Zone, index+1)
}

// sentences are all sentences that Judge counts, by rule.
var sentences = []struct {
	rule      Rule
	sentences []Sentence
}{
	{Budget, []Sentence{Repeats, Attempts, TimeLeft, CrashingContent, CrashingPart}},
	{Order, []Sentence{Missing, Repeated, JoinedRuns, JoinedVersions, EarlyCompletion}},
	{Mixed, []Sentence{UnreadableAnswer, IncompleteAnswer}},
	{Twice, []Sentence{SecondRun}},
}

// Lines returns one line for each sentence with its count.
func (verdict *Verdict) Lines() []string {
	var lines []string
	for _, rule := range sentences {
		for _, sentence := range rule.sentences {
			lines = append(lines, fmt.Sprintf("%-6s %-18s %d", rule.rule, sentence, verdict.Counts[rule.rule][sentence]))
		}
	}
	return lines
}
