package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLoggerSet guards against secrets in lines, lines without the prefix of their
// component, and level changes that affect only some components.
func TestLoggerSet(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	loggers, err := New(&out, "info", "hunter2hunter2", "")
	is.NoErr(err)
	entry, peer := loggers.Logger("entry"), loggers.Logger("peer")
	entry.Debug("Not shown.")
	entry.Info("Started.", "token", "hunter2hunter2")
	is.NoErr(loggers.SetLevel("debug"))
	peer.Debug("Shown.")
	loggers.Logger("late").Debug("Shown as well.")
	is.True(loggers.SetLevel("loud") != nil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	for i, want := range []string{"INFO entry: Started. token=[secret]", "DEBU peer: Shown.", "DEBU late: Shown as well."} {
		is.True(strings.HasSuffix(lines[i], want))
	}
}
