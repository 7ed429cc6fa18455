package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/operator"
)

// statusCommand prints the state of the deployment as reported by one VM.
type statusCommand struct {
	remote
	json bool
}

func (status *statusCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("status")
	command.Description = "show VMs, owners, upstreams and the configuration number"
	command.AdditionalHelpAppend = `
  Examples:
    dandelionring status
    dandelionring status --operator 127.0.0.1:8081 --json`
	status.remote.define(command)
	command.Bool(&status.json, "j", "json", "print JSON")
	return command
}

func (status *statusCommand) run() error {
	client, err := status.client()
	if err != nil {
		return err
	}
	answer, err := client.Status(context.Background())
	if err != nil {
		return callError(err)
	}
	if status.json {
		return printJSON(answer)
	}
	return printStatus(answer)
}

// replicaText returns the replica column of a VM: "no disk" for a VM that stores no
// replicas, "unknown" if no replica state was reported, or the state itself.
func replicaText(vm operator.VMStatus) string {
	switch {
	case !vm.Disk:
		return "no disk"
	case vm.Replica == "":
		return "unknown"
	default:
		return vm.Replica
	}
}

// printStatus writes the status as tables to standard output.
func printStatus(status operator.Status) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "VM %s in zone %s, leader %s, configuration %d, age %.1f s\n", status.VM, status.Zone, status.Leader, status.Number, status.AgeSeconds)
	fmt.Fprint(table, "\nVM\tzone\treplica\treachable\tdraining\tconfiguration\tage s\n")
	for _, vm := range status.VMs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%.1f\n", vm.VM, vm.Zone, replicaText(vm), vm.Reachable, vm.Draining, vm.Number, vm.AgeSeconds)
	}
	fmt.Fprint(table, "\ngroup\towner\ttoken\tlease ms\n")
	for _, owner := range status.Owners {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", owner.Group, owner.VM, owner.Token, owner.LeaseMillis)
	}
	fmt.Fprint(table, "\nupstream\tgroup\taddress\tleaving\trunning\tqueued\tresident\tlease ms\n")
	for _, upstream := range status.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\n", upstream.Upstream, upstream.Group, upstream.Address, upstream.Leaving, upstream.Running, upstream.Queued, len(upstream.Resident), upstream.LeaseMillis)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// logLevelCommand changes the log level of a VM.
type logLevelCommand struct {
	remote
	level string
}

func (level *logLevelCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("log-level")
	command.Description = "change the log level of a VM until its restart"
	command.AdditionalHelpAppend = `
  Example:
    dandelionring log-level debug`
	level.remote.define(command)
	command.AddPositionalValue(&level.level, "level", 1, true, "debug, info, warn or error")
	return command
}

func (level *logLevelCommand) run() error {
	client, err := level.client()
	if err != nil {
		return err
	}
	return callError(client.SetLevel(context.Background(), level.level))
}
