package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// loggedControl is a control VM whose log is measured.
type loggedControl struct {
	t       *testing.T
	folder  string
	control *Control
	stop    func()
	// document is the one that was accepted last.
	document []byte
}

func (logged *loggedControl) start() {
	logged.control, logged.stop = startControl(logged.t, logged.folder)
	awaitLeader(logged.t, logged.control)
}

// size returns the bytes of all files of the log.
func (logged *loggedControl) size() int64 {
	size := int64(0)
	err := filepath.WalkDir(logged.folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		size += info.Size()
		return err
	})
	if err != nil {
		logged.t.Fatal(err)
	}
	return size
}

func (logged *loggedControl) put(table core.RouteTable, changed int) string {
	document, err := json.Marshal(table)
	if err != nil {
		logged.t.Fatal(err)
	}
	before := logged.size()
	result, faults, err := logged.control.PutRoutes(logged.t.Context(), ledger.PutRoutes{Table: table, Document: document})
	if err != nil || len(faults) > 0 {
		logged.t.Fatal(err, faults)
	}
	if result.Changed {
		logged.document = document
	}
	grown := logged.size() - before
	text := fmt.Sprintf("in force: %d", result.Number)
	switch {
	case table.Number == 1:
	case changed > 10:
		text += fmt.Sprintf("; at most three eighths of the document: %t", grown*8 <= 3*int64(len(document)))
	default:
		text += fmt.Sprintf("; at most a hundredth of the document: %t", grown*100 <= int64(len(document)))
	}
	logged.t.Logf("number %d: %d bytes in the log, document %d", table.Number, grown, len(document))
	return text + "\n"
}

func (logged *loggedControl) restart() string {
	logged.stop()
	logged.start()
	number, document, err := logged.control.ConfirmedRoutes(logged.t.Context())
	if err != nil {
		logged.t.Fatal(err)
	}
	return fmt.Sprintf("in force: %d; the document is that of the operator: %t\n", number, bytes.Equal(document, logged.document))
}

// TestLogOfRouteChanges guards against a change of one route that writes the whole table and the
// document to the log of each control VM: twenty changes of 2,849 routes took 242 of 280 MB of
// memory, and a table of 8,400 routes could not be committed at all.
func TestLogOfRouteChanges(t *testing.T) {
	logged := &loggedControl{t: t, folder: t.TempDir()}
	logged.start()
	t.Cleanup(func() { logged.stop() })
	datadriven.RunTest(t, "testdata/logs/routes", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "restart" {
			return logged.restart()
		}
		var number, routes, changed int
		data.ScanArgs(t, "number", &number)
		data.ScanArgs(t, "routes", &routes)
		data.MaybeScanArgs(t, "changed", &changed)
		return logged.put(makeRoutes(core.ConfigNumber(number), routes, changed), changed)
	})
}
