package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// listCommand reads and changes the list of plans or the list of grants.
type listCommand struct {
	remote
	kind     core.ListKind
	file     string
	number   uint64
	replaces int64 // -1 if not set
	after    int64 // -1 if not set
	count    int
	json     bool

	get, set, diff, history, watch *flaggy.Subcommand
}

// newListCommand returns the command for the list called name, "plans" or "grants".
func newListCommand(name string) *listCommand {
	list := &listCommand{kind: core.PlansList, replaces: -1, after: -1}
	if name == core.GrantsList.String() {
		list.kind = core.GrantsList
	}
	return list
}

func (list *listCommand) define() *flaggy.Subcommand {
	name := list.kind.String()
	command := flaggy.NewSubcommand(name)
	command.Description = "read and change the " + name
	command.AdditionalHelpAppend = fmt.Sprintf(`
  A change replaces the whole list and names the number that it replaces: that of
  the file if "get" wrote it, or --replaces. If another change took the number,
  nothing is changed and the answer names the winner (exit code 3).

  Examples:
    dandelionring %[1]s get > %[1]s.json
    dandelionring %[1]s set %[1]s.json
    dandelionring %[1]s set examples/stalls/%[1]s.json --replaces 0
    dandelionring %[1]s diff %[1]s.json
    dandelionring %[1]s history --json
    dandelionring %[1]s watch --count 1%[2]s`, name, exitCodes)
	list.get = list.action(command, "get", "print the list with its number")
	list.get.UInt64(&list.number, "n", "number", "number of an older configuration")
	list.set = list.action(command, "set", "replace the list by that of a file")
	list.set.AddPositionalValue(&list.file, "file", 1, true, "file with the list")
	list.set.Int64(&list.replaces, "r", "replaces", "number of the configuration that is replaced")
	list.diff = list.action(command, "diff", "compare the list in force with a file; exit code 1 if they differ")
	list.diff.AddPositionalValue(&list.file, "file", 1, true, "file with the list")
	list.history = list.action(command, "history", "print the accepted changes of the list")
	list.watch = list.action(command, "watch", "print changes of the list as they are accepted")
	list.watch.Int(&list.count, "c", "count", "number of changes after which to stop (0: none)")
	for _, action := range []*flaggy.Subcommand{list.history, list.watch} {
		action.Int64(&list.after, "a", "after", "only changes after this number (default for watch: the one in force)")
	}
	return command
}

// action adds an action with the flags that all actions share to command.
func (list *listCommand) action(command *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	action := flaggy.NewSubcommand(name)
	action.Description = description
	list.remote.define(action)
	action.Bool(&list.json, "j", "json", "print JSON")
	command.AttachSubcommand(action, 1)
	return action
}

func (list *listCommand) run() error {
	client, err := list.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	switch {
	case list.get.Used:
		return list.runGet(ctx, client)
	case list.set.Used:
		return list.runSet(ctx, client)
	case list.diff.Used:
		return list.runDiff(ctx, client)
	case list.history.Used:
		return list.runHistory(ctx, client)
	case list.watch.Used:
		return list.runWatch(ctx, client)
	default:
		return usageError(list.kind.String() + " needs one of get, set, diff, history, watch")
	}
}

func (list *listCommand) runGet(ctx context.Context, client *operator.Client) error {
	if list.kind == core.PlansList {
		answer, err := client.Plans(ctx, core.ConfigNumber(list.number))
		if err != nil {
			return callError(err)
		}
		return printJSON(answer)
	}
	answer, err := client.Grants(ctx, core.ConfigNumber(list.number))
	if err != nil {
		return callError(err)
	}
	return printJSON(answer)
}

func (list *listCommand) runSet(ctx context.Context, client *operator.Client) error {
	file, reader, err := readList(list.file, list.kind)
	if err != nil {
		return err
	}
	if faults := reader.Faults(); len(faults) > 0 {
		return faults
	}
	replaces, err := list.replacedNumber(file)
	if err != nil {
		return err
	}
	var body any = operator.PutPlans{Replaces: replaces, Plans: file.Plans}
	if list.kind == core.GrantsList {
		body = operator.PutGrants{Replaces: replaces, Grants: file.Grants}
	}
	accepted, err := client.Put(ctx, list.kind, body)
	if err != nil {
		return list.putError(err)
	}
	if list.json {
		return printJSON(accepted)
	}
	fmt.Printf("accepted as configuration %d, hash %s\n", accepted.Number, accepted.Hash)
	if len(accepted.Unconfirmed) > 0 {
		fmt.Printf("not confirmed yet by zones %v\n", accepted.Unconfirmed)
	}
	return nil
}

// replacedNumber returns the number of the configuration that a change replaces, from
// --replaces or the file. It does not default to the current number, which would
// overwrite changes that the operator has not seen.
func (list *listCommand) replacedNumber(file listFile) (core.ConfigNumber, error) {
	switch {
	case list.replaces >= 0:
		return core.ConfigNumber(list.replaces), nil
	case file.Number > 0:
		return file.Number, nil
	default:
		return 0, usageError(list.file + " holds no Number; name the configuration that it replaces with --replaces")
	}
}

// putError prints the faults of a refused list and returns the error of the change
// with its exit code.
func (list *listCommand) putError(err error) error {
	var refused *operator.RefusedError
	if errors.As(err, &refused) {
		for _, fault := range refused.Faults {
			fmt.Printf("%s: %s: %s\n", list.file, fault.Place, fault.Reason)
		}
	}
	return changeError(err)
}

func (list *listCommand) runHistory(ctx context.Context, client *operator.Client) error {
	changes, err := client.History(ctx, core.ConfigNumber(max(list.after, 0)))
	if err != nil {
		return callError(err)
	}
	filtered := []operator.Change{}
	for _, change := range changes {
		if change.List == list.kind.String() {
			filtered = append(filtered, change)
		}
	}
	if list.json {
		return printJSON(operator.History{Changes: filtered})
	}
	for _, change := range filtered {
		fmt.Println(changeLine(change))
	}
	return nil
}
