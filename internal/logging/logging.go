package logging

import (
	"io"
	stdlog "log"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
)

// TimeFormat is the format of the time of a line. It has milliseconds because lines of
// several processes are sorted by time and a request takes only a few milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// LoggerSet creates loggers that share one level and one output. Use New or
// NewStructured; the zero value is not usable.
type LoggerSet struct {
	out       io.Writer
	formatter log.Formatter

	// mutex guards level and loggers. No other lock of this module is acquired while it is
	// held.
	mutex   sync.Mutex
	level   log.Level
	loggers map[string]*log.Logger
}

// New returns a LoggerSet that writes lines of at least the given level (debug, info,
// warn or error) to out. Each occurrence of a secret in a line is replaced with
// "[secret]". The error reports an unknown level.
func New(out io.Writer, level string, secrets ...string) (*LoggerSet, error) {
	loggers := &LoggerSet{out: newRedactor(out, secrets), loggers: make(map[string]*log.Logger)}
	if err := loggers.SetLevel(level); err != nil {
		return nil, err
	}
	return loggers, nil
}

// NewStructured is like New but writes each entry as one line of key=value pairs.
func NewStructured(out io.Writer, level string, secrets ...string) (*LoggerSet, error) {
	loggers, err := New(out, level, secrets...)
	if err != nil {
		return nil, err
	}
	loggers.formatter = log.LogfmtFormatter
	return loggers, nil
}

// Logger returns the logger of the component with the given name, which is the prefix of its
// lines. The same name returns the same logger.
func (loggers *LoggerSet) Logger(name string) *log.Logger {
	loggers.mutex.Lock()
	defer loggers.mutex.Unlock()
	logger, ok := loggers.loggers[name]
	if !ok {
		logger = log.NewWithOptions(loggers.out, log.Options{Prefix: name, Level: loggers.level, ReportTimestamp: true, TimeFormat: TimeFormat, Formatter: loggers.formatter})
		loggers.loggers[name] = logger
	}
	return logger
}

// StandardLogger returns a logger of the standard library whose lines become warnings of the
// component with the given name.
func (loggers *LoggerSet) StandardLogger(name string) *stdlog.Logger {
	return loggers.Logger(name).StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
}

// SetLevel changes the level of all loggers. For an unknown level it returns an error and
// changes nothing.
func (loggers *LoggerSet) SetLevel(text string) error {
	level, err := parseLevel(text)
	if err != nil {
		return err
	}
	loggers.mutex.Lock()
	defer loggers.mutex.Unlock()
	loggers.level = level
	for _, logger := range loggers.loggers {
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

// redactor replaces secrets in lines. It relies on the loggers to write each line with one
// call, because it does not find a secret that is split between calls.
type redactor struct {
	out      io.Writer
	replacer *strings.Replacer
}

func newRedactor(out io.Writer, secrets []string) io.Writer {
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

// Write writes the line with its secrets replaced.
func (redactor redactor) Write(line []byte) (int, error) {
	if _, err := redactor.replacer.WriteString(redactor.out, string(line)); err != nil {
		return 0, errors.Wrap(err, "write log line")
	}
	return len(line), nil
}
