package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// auditCommand verifies and prints the audit logs of VMs.
type auditCommand struct {
	remote
	folders []string
	partial bool
	history string
	request string
	json    bool

	verify, show, export, configs *flaggy.Subcommand
}

func (command *auditCommand) define() *flaggy.Subcommand {
	group := flaggy.NewSubcommand("audit")
	group.Description = "verify and read the audit log"
	group.AdditionalHelpAppend = `
  --folder names the audit folder of a VM with a disk (DataFolder/audit) or a copy
  of it; give one for each VM. With --history, runs are compared with what their
  configuration allowed.

  Examples:
    dandelionring audit configs > history.json
    dandelionring audit verify --folder vm-1/audit --folder vm-3/audit --history history.json
    dandelionring audit show 01JE0000000000000000000000 --folder vm-1/audit
    dandelionring audit export --folder vm-1/audit > records.jsonl` + exitCodes
	command.verify = command.action(group, "verify", "find altered, dropped, duplicated, reordered and missing records, and runs that were not allowed")
	command.verify.Bool(&command.partial, "", "partial", "the folders are not those of all VMs with a disk")
	command.verify.String(&command.history, "", "history", "file that \"audit configs\" wrote")
	command.show = command.action(group, "show", "print all records of one request")
	command.show.AddPositionalValue(&command.request, "request", 1, true, "id in the header Dandelionring-Request")
	command.export = command.action(group, "export", "print every record once, one JSON object a line")
	command.configs = flaggy.NewSubcommand("configs")
	command.configs.Description = "print every accepted configuration, for verify --history"
	command.remote.define(command.configs)
	group.AttachSubcommand(command.configs, 1)
	return group
}

// action adds an action with the flags that verify, show and export share to group.
func (command *auditCommand) action(group *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	action := flaggy.NewSubcommand(name)
	action.Description = description
	action.StringSlice(&command.folders, "f", "folder", "audit folder of a VM")
	action.Bool(&command.json, "j", "json", "print JSON")
	group.AttachSubcommand(action, 1)
	return action
}

func (command *auditCommand) run() error {
	if command.configs.Used {
		return command.runConfigs()
	}
	if err := checkFolders(command.folders); err != nil {
		return err
	}
	switch {
	case command.verify.Used:
		return command.runVerify()
	case command.show.Used:
		return command.runShow()
	case command.export.Used:
		return command.runExport()
	default:
		return usageError("audit needs one of verify, show, export, configs")
	}
}

// checkFolders returns a usage error if no folder is given or a folder has no audit
// files, since verifying an empty folder finds no faults.
func checkFolders(folders []string) error {
	if len(folders) == 0 {
		return usageError("name at least one audit folder with --folder")
	}
	for _, folder := range folders {
		files, err := audit.Files(folder)
		if err != nil {
			return err
		}
		if len(files) == 0 {
			return usageError(folder + " holds no audit files")
		}
	}
	return nil
}

// runConfigs prints every accepted configuration, as verify --history reads it.
func (command *auditCommand) runConfigs() error {
	client, err := command.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	changes, err := client.History(ctx, 0)
	if err != nil {
		return callError(err)
	}
	configs := make([]core.Config, 0, len(changes))
	for _, change := range changes {
		plans, err := client.Plans(ctx, change.Number)
		if err != nil {
			return callError(err)
		}
		grants, err := client.Grants(ctx, change.Number)
		if err != nil {
			return callError(err)
		}
		configs = append(configs, core.Config{
			Number: change.Number, Hash: plans.Hash,
			Plans: core.Plans{Plans: plans.Plans}, Grants: core.Grants{Grants: grants.Grants},
		})
	}
	return printJSON(configs)
}

// readHistory reads the output of "audit configs" from a file. It returns nil if path
// is empty.
func readHistory(path string) (audit.History, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{codeUsage, errors.Wrap(err, "read history")}
	}
	var configs []core.Config
	if err := json.Unmarshal(text, &configs); err != nil {
		return nil, &exitError{codeUsage, errors.Wrap(err, "decode history")}
	}
	history := make(audit.History, len(configs))
	for _, config := range configs {
		history[config.Number] = config
	}
	return history, nil
}

func (command *auditCommand) runVerify() error {
	history, err := readHistory(command.history)
	if err != nil {
		return err
	}
	report, err := audit.Verify(command.folders, audit.Scope{Partial: command.partial, History: history})
	if err != nil {
		return err
	}
	if command.json {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		printVerification(report)
	}
	if !report.Valid() {
		return errors.Errorf("faults: %d", len(report.Faults))
	}
	return nil
}

// printVerification writes the report as text to standard output.
func printVerification(report audit.Report) {
	for _, finding := range report.Faults {
		fmt.Println(finding)
	}
	for _, finding := range report.Notices {
		fmt.Println("notice:", finding)
	}
	fmt.Printf("%d records of %d folders, %d runs, %d joined to their configuration\n", report.Records, report.Writers, report.Runs, report.Joined)
}

func (command *auditCommand) runShow() error {
	records, err := audit.RequestRecords(command.folders, core.RequestID(command.request))
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return errors.Errorf("no record names request %s", command.request)
	}
	if command.json {
		return printJSON(records)
	}
	for _, record := range records {
		fmt.Println(recordLine(record))
	}
	return nil
}

// recordLine returns the text of one record for "audit show".
func recordLine(record audit.Record) string {
	line := fmt.Sprintf("%s %s %s/%d ", time.UnixMilli(record.At).UTC().Format("2006-01-02T15:04:05.000Z"), record.Event, record.VM, record.Sequence)
	if record.Route != "" {
		line += fmt.Sprintf("attempt %s route table %d route %s %s", record.Attempt, record.Config, record.Route, runTarget(record))
		if record.Workspace != "" {
			line += fmt.Sprintf(" workspace %s", record.Workspace)
		}
	} else {
		line += fmt.Sprintf("attempt %s customer %s plan %s configuration %d %s", record.Attempt, record.Customer, record.Plan, record.Config, runTarget(record))
	}
	if record.Event != audit.EventStart {
		line += fmt.Sprintf(" upstream %s outcome %s whole %t code %q tokens %d after %s",
			record.Upstream, record.Outcome, record.Whole, record.Code, record.Tokens, time.Duration(record.TotalMicros)*time.Microsecond)
	}
	return line
}

// runTarget returns a description of the adapter version or service that was run.
func runTarget(record audit.Record) string {
	adapter := "adapter " + core.AdapterVersion{Adapter: record.Adapter, Version: record.Version}.String()
	switch {
	case record.Service == "":
		return adapter
	case record.Adapter == "":
		return "service " + string(record.Service)
	default:
		return "service " + string(record.Service) + " " + adapter
	}
}

func (command *auditCommand) runExport() error {
	encoder := json.NewEncoder(os.Stdout)
	for record, err := range audit.DistinctRecords(command.folders) {
		if err != nil {
			return err
		}
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return nil
}
