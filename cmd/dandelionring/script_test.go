package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dandelionring": main})
}

// raceOptions shortens the exit delay of programs built with the race detector, by
// default 1 s. With the default the scripts took 38 s, with this value 5 to 7 s.
const raceOptions = "atexit_sleep_ms=10"

// TestScripts runs the scripts of testdata/scripts. It guards against subcommands whose
// output, arguments or exit code differ from their help.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			examples, err := os.Getwd()
			env.Setenv("EXAMPLES", examples+"/../../examples")
			env.Setenv("GORACE", raceOptions)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"operators": startOperatorServer, "records": writeRecords, "alter": alterFile, "exits": checkExitCode,
		},
	})
}

// checkExitCode implements "exits CODE COMMAND...": it runs the command and checks its
// exit code.
func checkExitCode(script *testscript.TestScript, _ bool, args []string) {
	err := script.Exec(args[1], args[2:]...)
	if got := fmt.Sprint(err); !strings.Contains(got, "exit status "+args[0]) {
		script.Fatalf("got %s, want exit status %s", got, args[0])
	}
}

// backend implements the interfaces of the operator server on one in-memory state
// machine.
type backend struct {
	mutex sync.Mutex
	state *ledger.State
	index uint64
}

// PutList applies a change to the state and returns its result.
func (backend *backend) PutList(_ context.Context, put ledger.PutList) (ledger.PutListResult, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.index++
	return *backend.state.Apply(backend.index, ledger.Command{At: 1000, PutList: &put}).PutList, nil
}

// Config returns the configuration with the number, or the current one for 0.
func (backend *backend) Config(_ context.Context, number core.ConfigNumber) (core.Config, bool, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if number == 0 {
		number = backend.state.Number()
	}
	return backend.state.ConfigAt(number)
}

// History returns up to limit changes after a number.
func (backend *backend) History(_ context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.state.History(after, limit), nil
}

// Status returns the status of a deployment with one VM.
func (backend *backend) Status(context.Context) operator.Status {
	return operator.Status{VM: "vm-1", Zone: "a", Leader: "vm-1", VMs: []operator.VMStatus{{VM: "vm-1", Zone: "a", Disk: true, Reachable: true}}}
}

// Unconfirmed always returns zone d.
func (backend *backend) Unconfirmed(context.Context, core.ConfigNumber) []core.ZoneID {
	return []core.ZoneID{"d"}
}

// startOperatorServer implements "operators": it starts an operator server and sets its
// address in the environment of the script.
func startOperatorServer(script *testscript.TestScript, _ bool, _ []string) {
	backend := &backend{state: ledger.New(ledger.Limits{})}
	loggers, err := logging.New(io.Discard, "info")
	script.Check(err)
	server := httptest.NewServer(operator.New(operator.Options{
		TokenHashes: []core.KeyHash{settings.HashToken(settings.DevelopmentToken)},
		Lists:       backend, Configurations: backend, Statuses: backend, Levels: loggers, Logger: log.New(io.Discard),
	}))
	script.Defer(server.Close)
	script.Setenv(addressVariable, strings.TrimPrefix(server.URL, "http://"))
}

// writeRecords implements "records FOLDER FILE": it appends the records of the file, one
// JSON object per line, to the audit log of the folder.
func writeRecords(script *testscript.TestScript, _ bool, args []string) {
	writer, closeWriter, err := audit.Open(script.MkAbs(args[0]), audit.Options{VM: "vm-1"})
	script.Check(err)
	defer closeWriter()
	for line := range strings.Lines(script.ReadFile(args[1])) {
		record := audit.Record{VM: "vm-1", Incarnation: "i1", At: time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC).UnixMilli()}
		script.Check(json.Unmarshal([]byte(line), &record))
		payload, err := audit.Encode(record)
		script.Check(err)
		script.Check(writer.Append(context.Background(), payload))
	}
}

// alterFile implements "alter FOLDER OLD NEW": it replaces the first OLD in the first
// audit file of the folder. NEW has the same length.
func alterFile(script *testscript.TestScript, _ bool, args []string) {
	files, err := audit.Files(script.MkAbs(args[0]))
	script.Check(err)
	data, err := os.ReadFile(files[0])
	script.Check(err)
	script.Check(os.WriteFile(files[0], bytes.Replace(data, []byte(args[1]), []byte(args[2]), 1), 0o600))
}
