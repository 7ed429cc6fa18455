// Program standin simulates the environment of the VMs for tests: a model engine, a
// plain service, the weight store, the network (a TCP relay) and the callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand. If the context ends, run stops its work and returns.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	commands := []command{engineCommand(), serviceCommand(), storeCommand(), relayCommand(), loadCommand(), checkCommand()}
	flaggy.SetName("standin")
	flaggy.SetDescription("Simulated engines, services, weight store, network and callers.")
	for _, command := range commands {
		flaggy.AttachSubcommand(command.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, command := range commands {
		if !command.sub.Used {
			continue
		}
		if err := command.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelpAndExit("a subcommand is required")
}
