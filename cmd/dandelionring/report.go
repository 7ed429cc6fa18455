package main

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/burn"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// reportCommand reports how fast each plan uses up the error budget of its service-level
// objectives.
type reportCommand struct {
	folders []string
	plans   string
	html    string
	at      string
	json    bool
}

func (report *reportCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("report")
	command.Description = "report how fast each plan uses up the budget of its objectives"
	command.AdditionalHelpAppend = `
  Examples:
    dandelionring report --folder vm-1/audit --plans plans.json
    dandelionring report --folder vm-1/audit --html burn.html`
	command.StringSlice(&report.folders, "f", "folder", "audit folder of a VM")
	command.String(&report.plans, "p", "plans", "file with the plans and their objectives")
	command.String(&report.html, "", "html", "write a page to this file")
	command.String(&report.at, "", "at", "time of the report, as 2006-01-02T15:04:05Z (default: now)")
	command.Bool(&report.json, "j", "json", "print JSON")
	return command
}

func (report *reportCommand) run() error {
	if err := checkFolders(report.folders); err != nil {
		return err
	}
	options, err := report.options()
	if err != nil {
		return err
	}
	computed, err := burn.Compute(audit.DistinctRecords(report.folders), options)
	if err != nil {
		return err
	}
	switch {
	case report.html != "":
		return report.writePage(computed)
	case report.json:
		return computed.WriteJSON(os.Stdout)
	default:
		return computed.WriteText(os.Stdout)
	}
}

func (report *reportCommand) options() (burn.Options, error) {
	options := burn.Options{Now: time.Now()}
	if report.at != "" {
		at, err := time.Parse(time.RFC3339, report.at)
		if err != nil {
			return options, usageError("--at " + report.at + " is not a time")
		}
		options.Now = at
	}
	if report.plans == "" {
		return options, nil
	}
	file, reader, err := readList(report.plans, core.PlansList)
	if err != nil {
		return options, err
	}
	if faults := reader.Faults(); len(faults) > 0 {
		return options, faults
	}
	options.Plans = file.Plans
	return options, nil
}

func (report *reportCommand) writePage(computed burn.Report) error {
	file, err := os.Create(report.html)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	defer file.Close()
	if err := computed.WriteHTML(file); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync page")
	}
	return nil
}
