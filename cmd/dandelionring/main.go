// Program dandelionring runs an entry VM and serves its operators: it checks
// settings and lists, changes the lists, verifies the audit log and reports how
// service levels are kept.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// version is set at build time.
var version = "development"

func main() {
	errors.DisableTrace() // log lines hold the chain of an error without source files
	os.Exit(run(os.Args[1:]))
}

// command is one subcommand.
type command interface {
	// attach declares the subcommand and returns it.
	attach() *flaggy.Subcommand
	run() error
}

func commands() []command {
	return []command{
		&serveCommand{}, &checkCommand{}, newListCommand("plans"), newListCommand("grants"),
		&statusCommand{}, &levelCommand{}, &auditCommand{}, &reportCommand{}, &logsCommand{}, &hashCommand{},
	}
}

// run runs the subcommand that the arguments name and returns the exit code.
func run(arguments []string) int {
	parser := flaggy.NewParser("dandelionring")
	parser.Description = "serves base models with many adapters to customers with plans"
	parser.Version = version
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = exitCodes
	all := commands()
	attached := make([]*flaggy.Subcommand, len(all))
	for i, command := range all {
		attached[i] = command.attach()
		parser.AttachSubcommand(attached[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return report(usageError(err.Error()))
	}
	for i, command := range all {
		if attached[i].Used {
			return report(command.run())
		}
	}
	parser.ShowHelp()
	return codeUsage
}

// report prints an error and returns its exit code.
func report(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "dandelionring:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return codeFailed
}
