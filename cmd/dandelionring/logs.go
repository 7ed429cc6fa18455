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

// logsCommand prints the lines of several logs that are about one request.
type logsCommand struct {
	request string
	files   []string
}

func (logs *logsCommand) attach() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("logs")
	command.Description = "print the life of one request from the logs of several processes"
	command.AdditionalHelpAppend = `
  Lines of other programs and lines that were cut off are counted and left out. The order
  is that of the clocks of the machines.

  Examples:
    dandelionring logs 183a382d0533e5ca --file entry-1.log --file control-1.log`
	command.AddPositionalValue(&logs.request, "request", 1, true, "id of the request")
	command.StringSlice(&logs.files, "f", "file", "log of one process; may be repeated")
	return command
}

// found is a line with the log that holds it.
type found struct {
	file string
	line logging.Line
}

func (logs *logsCommand) run() error {
	if len(logs.files) == 0 {
		return usageError("name at least one log with --file")
	}
	var life []found
	for _, file := range logs.files {
		lines, unread, err := logs.read(file)
		if err != nil {
			return &exitError{codeUsage, err}
		}
		if unread > 0 {
			fmt.Fprintf(os.Stderr, "dandelionring: %s: %d lines are of another form or were cut off\n", file, unread)
		}
		life = append(life, lines...)
	}
	if len(life) == 0 {
		return errors.Errorf("no line names request %s", logs.request)
	}
	slices.SortStableFunc(life, func(a, b found) int { return a.line.Time.Compare(b.line.Time) })
	for _, found := range life {
		fmt.Printf("%s: %s\n", found.file, found.line.Text)
	}
	return nil
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// read returns the lines about the request, and the number of lines that are not ours.
func (logs *logsCommand) read(path string) ([]found, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer file.Close()
	var lines []found
	unread := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line, ok := logging.ParseLine(scanner.Text())
		switch {
		case !ok:
			unread++
		case line.Get(logging.RequestField) == logs.request:
			lines = append(lines, found{path, line})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrapf(err, "read %s", path)
	}
	return lines, unread, nil
}
