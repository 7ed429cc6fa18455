package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionring/dandelionring/internal/settings"
)

// TestDocuments guards against a documented command that does not run as printed. It
// runs the commands of the sh blocks of the pages in their order, against the VM that
// one of them starts.
func TestDocuments(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/documents",
		Setup: func(env *testscript.Env) error {
			root, err := os.Getwd()
			env.Setenv("ROOT", root+"/../..")
			env.Setenv("GORACE", raceOptions)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"records": writeRecords, "document": runDocument,
		},
	})
}

// documentRun is the state of a page's commands.
type documentRun struct {
	// callers is the address for callers of the VM that the page starts.
	callers string
}

// runDocument runs the commands of a page. A VM in the foreground is started with the
// settings free.jsonc, which take free ports, and ended with the script.
func runDocument(script *testscript.TestScript, _ bool, args []string) {
	run := &documentRun{}
	commands := commandsOf(script.ReadFile(args[0]))
	if len(commands) == 0 {
		script.Fatalf("%s holds no commands", args[0])
	}
	for _, line := range commands {
		script.Logf("document: %s", line)
		line = strings.ReplaceAll(line, ".bin/dandelionring", "dandelionring")
		line = strings.ReplaceAll(line, settings.Default().CallerAddress, run.callers)
		if strings.Contains(line, "dandelionring serve") {
			run.serve(script)
			continue
		}
		script.Check(script.Exec("sh", "-c", line))
	}
}

// commandsOf returns the lines of the sh blocks without the build of the program,
// which the test itself is.
func commandsOf(page string) []string {
	var commands []string
	inside := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```sh"
		case inside && !strings.HasPrefix(line, "go build"):
			commands = append(commands, line)
		}
	}
	return commands
}

// serve runs a VM until the script ends.
func (run *documentRun) serve(script *testscript.TestScript) {
	program := ""
	for _, folder := range filepath.SplitList(script.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(folder, "dandelionring")); err == nil && program == "" {
			program = filepath.Join(folder, "dandelionring")
		}
	}
	command := exec.Command(program, "serve", "--settings", script.MkAbs("free.jsonc"))
	out, err := command.StdoutPipe()
	script.Check(err)
	script.Check(command.Start())
	script.Defer(func() {
		script.Check(command.Process.Signal(syscall.SIGTERM))
		script.Check(command.Wait()) // a graceful end is a success
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	script.Check(err)
	var addresses struct{ CallerAddress, OperatorAddress string }
	script.Check(json.Unmarshal([]byte(line), &addresses))
	run.callers = addresses.CallerAddress
	script.Setenv(addressVariable, addresses.OperatorAddress)
}
