package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLogs guards against secrets in lines, lines without the prefix of their component,
// and level changes that affect only some components.
func TestLogs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs, err := New(&out, "info", "hunter2hunter2", "")
	is.NoErr(err)
	entry, peer := logs.Logger("entry"), logs.Logger("peer")
	entry.Debug("Not shown.")
	entry.Info("Started.", "token", "hunter2hunter2")
	is.NoErr(logs.SetLevel("debug"))
	peer.Debug("Shown.")
	logs.Logger("late").Debug("Shown as well.")
	is.True(logs.SetLevel("loud") != nil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	for i, want := range []string{"INFO entry: Started. token=[secret]", "DEBU peer: Shown.", "DEBU late: Shown as well."} {
		is.True(strings.HasSuffix(lines[i], want))
	}
}
