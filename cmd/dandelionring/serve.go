package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/vm"
)

// serveCommand runs an entry VM until a signal stops it.
type serveCommand struct {
	settings string
}

func (serve *serveCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("serve")
	command.Description = "run an entry VM until SIGTERM or SIGINT"
	command.AdditionalHelpAppend = `
  Without --settings the VM runs with the embedded defaults: one VM with a disk on
  loopback addresses. The first line of the output holds the addresses as JSON. The
  first signal starts a graceful shutdown, the second ends the VM at once.

  Examples:
    dandelionring serve
    dandelionring serve --settings examples/settings.jsonc`
	command.String(&serve.settings, "s", "settings", "settings file of the VM")
	return command
}

func (serve *serveCommand) run() error {
	loaded, err := settings.Load(serve.settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop) // restores the default handling, so that a second signal kills the process
	return vm.Run(ctx, loaded)
}
