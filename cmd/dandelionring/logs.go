package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/logging"
)

// logsCommand prints the lines about one request from several logs.
type logsCommand struct {
	request string
	files   []string
}

func (logs *logsCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("logs")
	command.Description = "print the lines of one request from the logs of several processes"
	command.AdditionalHelpAppend = `
  Lines of other programs and truncated lines are counted and left out. Lines are sorted
  by their timestamps, which come from the clocks of the machines.

  Examples:
    dandelionring logs 183a382d0533e5ca --file entry-1.log --file control-1.log`
	command.AddPositionalValue(&logs.request, "request", 1, true, "id of the request")
	command.StringSlice(&logs.files, "f", "file", "log of one process; may be repeated")
	return command
}

// logMatch is a log line with the path of its file.
type logMatch struct {
	file string
	line logging.Line
}

func (logs *logsCommand) run() error {
	if len(logs.files) == 0 {
		return usageError("name at least one log with --file")
	}
	var matches []logMatch
	for _, file := range logs.files {
		lines, unparsed, err := logs.read(file)
		if err != nil {
			return &exitError{codeUsage, err}
		}
		if unparsed > 0 {
			fmt.Fprintf(os.Stderr, "dandelionring: %s: %d lines are of another form or were cut off\n", file, unparsed)
		}
		matches = append(matches, lines...)
	}
	if len(matches) == 0 {
		return errors.Errorf("no line names request %s", logs.request)
	}
	slices.SortStableFunc(matches, func(a, b logMatch) int { return a.line.Time.Compare(b.line.Time) })
	for _, match := range matches {
		fmt.Printf("%s: %s\n", match.file, match.line.Text)
	}
	return nil
}

// maxLogLine is the largest length of a log line, in bytes. Reading a longer line fails.
const maxLogLine = 1 << 20

// read returns the lines about the request and the number of lines that cannot be
// parsed: lines of other programs and truncated ones.
func (logs *logsCommand) read(path string) ([]logMatch, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer file.Close()
	var lines []logMatch
	unparsed := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line, ok := logging.ParseLine(scanner.Text())
		switch {
		case !ok:
			unparsed++
		case line.Get(logging.RequestField) == logs.request:
			lines = append(lines, logMatch{path, line})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrapf(err, "read %s", path)
	}
	return lines, unparsed, nil
}
