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

// TestDocuments runs the commands in the sh blocks of the documentation, in their order,
// against the VM that one of them starts. It guards against documented commands that
// fail.
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

// documentRun is the state shared by the commands of one page.
type documentRun struct {
	// callers is the CallerAddress of the VM that the page starts.
	callers string
}

// runDocument implements "document FILE": it runs the commands of a page. The command
// "dandelionring serve" runs in the background with the settings free.jsonc, which use
// free ports, until the script ends.
func runDocument(script *testscript.TestScript, _ bool, args []string) {
	run := &documentRun{}
	commands := shellCommands(script.ReadFile(args[0]))
	if len(commands) == 0 {
		script.Fatalf("%s holds no commands", args[0])
	}
	for _, line := range commands {
		script.Logf("document: %s", line)
		line = strings.ReplaceAll(line, ".bin/dandelionring", "dandelionring")
		line = strings.ReplaceAll(line, settings.Default().CallerAddress, run.callers)
		if strings.Contains(line, "dandelionring serve") {
			run.startVM(script)
			continue
		}
		script.Check(script.Exec("sh", "-c", line))
	}
}

// shellCommands returns the lines of the sh blocks of a page, except "go build": the test
// binary serves as the program.
func shellCommands(page string) []string {
	var commands []string
	inBlock := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = line == "```sh"
		case inBlock && !strings.HasPrefix(line, "go build"):
			commands = append(commands, line)
		}
	}
	return commands
}

// startVM starts a VM that runs until the script ends.
func (run *documentRun) startVM(script *testscript.TestScript) {
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
		script.Check(command.Wait()) // a graceful shutdown exits with 0
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	script.Check(err)
	var addresses struct{ CallerAddress, OperatorAddress string }
	script.Check(json.Unmarshal([]byte(line), &addresses))
	run.callers = addresses.CallerAddress
	script.Setenv(addressVariable, addresses.OperatorAddress)
}
