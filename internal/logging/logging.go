package logging

import (
	"io"
	stdlog "log"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
)

// TimeFormat is that of the time of a line. Lines of several processes are put in order
// by it, and a request takes some milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logs makes loggers that share a level. Use New; the zero value is not usable.
type Logs struct {
	out       io.Writer
	formatter log.Formatter

	// mutex guards level and parts and is held for no other lock.
	mutex sync.Mutex
	level log.Level
	parts map[string]*log.Logger
}

// New returns logs that write to out from a level on: debug, info, warn or error.
// Every occurrence of one of the secrets is left out of the lines.
func New(out io.Writer, level string, secrets ...string) (*Logs, error) {
	logs := &Logs{out: redact(out, secrets), parts: make(map[string]*log.Logger)}
	if err := logs.SetLevel(level); err != nil {
		return nil, err
	}
	return logs, nil
}

// NewStructured returns logs like New with one line of key=value pairs for each entry.
func NewStructured(out io.Writer, level string, secrets ...string) (*Logs, error) {
	logs, err := New(out, level, secrets...)
	if err != nil {
		return nil, err
	}
	logs.formatter = log.LogfmtFormatter
	return logs, nil
}

// Part returns the logger of a part. The same name gives the same logger.
func (logs *Logs) Part(name string) *log.Logger {
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	logger, ok := logs.parts[name]
	if !ok {
		logger = log.NewWithOptions(logs.out, log.Options{Prefix: name, Level: logs.level, ReportTimestamp: true, TimeFormat: TimeFormat, Formatter: logs.formatter})
		logs.parts[name] = logger
	}
	return logger
}

// Standard returns a logger of the standard library whose lines are warnings of a part.
func (logs *Logs) Standard(name string) *stdlog.Logger {
	return logs.Part(name).StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
}

// SetLevel changes the level of all loggers. It returns an error, and changes
// nothing, for an unknown level.
func (logs *Logs) SetLevel(text string) error {
	level, err := parseLevel(text)
	if err != nil {
		return err
	}
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	logs.level = level
	for _, logger := range logs.parts {
		logger.SetLevel(level)
	}
	return nil
}

func parseLevel(text string) (log.Level, error) {
	switch text {
	case "debug", "info", "warn", "error":
		return log.ParseLevel(text)
	default:
		return 0, errors.Errorf("level %q is none of debug, info, warn, error", text)
	}
}

// redactor replaces secrets in whole lines; the loggers write one line at a time.
type redactor struct {
	out      io.Writer
	replacer *strings.Replacer
}

func redact(out io.Writer, secrets []string) io.Writer {
	var pairs []string
	for _, secret := range secrets {
		if secret != "" {
			pairs = append(pairs, secret, "[secret]")
		}
	}
	if len(pairs) == 0 {
		return out
	}
	return redactor{out, strings.NewReplacer(pairs...)}
}

// Write writes a line without its secrets.
func (redactor redactor) Write(line []byte) (int, error) {
	if _, err := redactor.replacer.WriteString(redactor.out, string(line)); err != nil {
		return 0, errors.Wrap(err, "write log line")
	}
	return len(line), nil
}
