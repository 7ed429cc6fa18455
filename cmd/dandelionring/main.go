// Program dandelionring runs an entry VM. Its other subcommands are tools for
// operators: they check settings and lists, read and change the lists of plans and
// grants, verify the audit log, and report the use of service-level error budgets.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// version is the version of the program, set at build time.
var version = "development"

func main() {
	errors.DisableTrace() // errors are logged and printed without source positions
	os.Exit(run(os.Args[1:]))
}

// command is a subcommand of the program.
type command interface {
	// define returns the definition of the subcommand. Parsing the arguments
	// sets the fields of the receiver.
	define() *flaggy.Subcommand
	// run runs the subcommand after the arguments were parsed.
	run() error
}

// commands returns a new instance of every subcommand.
func commands() []command {
	return []command{
		&serveCommand{}, &checkCommand{}, newListCommand("plans"), newListCommand("grants"),
		&statusCommand{}, &logLevelCommand{}, &auditCommand{}, &reportCommand{}, &logsCommand{}, &hashCommand{},
	}
}

// run runs the subcommand selected by the arguments and returns the exit code of
// the program. Without a subcommand it prints the help and returns codeUsage.
func run(arguments []string) int {
	parser := flaggy.NewParser("dandelionring")
	parser.Description = "serves base models with many adapters to customers with plans"
	parser.Version = version
	parser.ShowCompletion = false
	parser.AdditionalHelpAppend = exitCodes
	all := commands()
	subcommands := make([]*flaggy.Subcommand, len(all))
	for i, command := range all {
		subcommands[i] = command.define()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return printError(usageError(err.Error()))
	}
	for i, command := range all {
		if subcommands[i].Used {
			return printError(command.run())
		}
	}
	parser.ShowHelp()
	return codeUsage
}

// printError prints err to standard error and returns its exit code: 0 for nil, the
// code of an exitError in its chain, and codeFailed for any other error.
func printError(err error) int {
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
