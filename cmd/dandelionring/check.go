package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/strict"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// checkCommand validates files with settings, plans and grants.
type checkCommand struct {
	settings []string
	plans    []string
	grants   []string
	json     bool
}

func (check *checkCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("check")
	command.Description = "check settings and lists before they are used"
	command.AdditionalHelpAppend = `
  Prints every fault with its file, line and key, and exits with 1 if there is one.
  Each flag may be given several times.

  Examples:
    dandelionring check --settings examples/settings.jsonc
    dandelionring check --plans examples/stalls/plans.json --grants examples/stalls/grants.json`
	command.StringSlice(&check.settings, "s", "settings", "settings file")
	command.StringSlice(&check.plans, "p", "plans", "file with plans")
	command.StringSlice(&check.grants, "g", "grants", "file with grants")
	command.Bool(&check.json, "j", "json", "print the faults as JSON")
	return command
}

func (check *checkCommand) run() error {
	if len(check.settings)+len(check.plans)+len(check.grants) == 0 {
		return usageError("check needs --settings, --plans or --grants")
	}
	faults, err := check.faults()
	if err != nil {
		return err
	}
	if check.json {
		if err := printJSON(struct{ Faults strict.Faults }{faults}); err != nil {
			return err
		}
	} else {
		for _, fault := range faults {
			fmt.Println(fault)
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("faults: %d", len(faults))
	}
	return nil
}

// faults returns the faults of all files. The error is not nil if a file cannot be read.
func (check *checkCommand) faults() (strict.Faults, error) {
	faults := strict.Faults{}
	for _, path := range check.settings {
		_, err := settings.Load(path)
		var found strict.Faults
		if err != nil && !errors.As(err, &found) {
			return nil, err
		}
		faults = append(faults, found...)
	}
	for _, path := range check.plans {
		found, err := checkList(path, core.PlansList)
		if err != nil {
			return nil, err
		}
		faults = append(faults, found...)
	}
	for _, path := range check.grants {
		found, err := checkList(path, core.GrantsList)
		if err != nil {
			return nil, err
		}
		faults = append(faults, found...)
	}
	return faults, nil
}

func checkList(path string, kind core.ListKind) (strict.Faults, error) {
	_, reader, err := readList(path, kind)
	if err != nil {
		return nil, err
	}
	return reader.Faults(), nil
}

// listFile is the content of a file with a list, in the format written by "get".
// Number is 0 if the file does not set it.
type listFile struct {
	Number core.ConfigNumber
	Hash   string
	Plans  []core.Plan
	Grants []core.Grant
}

// readList reads and validates a list. The faults are in the returned reader; the error
// is not nil if the file cannot be read.
func readList(path string, kind core.ListKind) (listFile, *strict.Reader, error) {
	var file listFile
	text, err := os.ReadFile(path)
	if err != nil {
		return file, nil, &exitError{codeUsage, errors.Wrap(err, "read list")}
	}
	reader := strict.NewReader(path, text)
	reader.Read(&file)
	faults := core.CheckPlans(core.Plans{Plans: file.Plans})
	missing := file.Plans == nil
	if kind == core.GrantsList {
		faults = core.CheckGrants(core.Grants{Grants: file.Grants})
		missing = file.Grants == nil
	}
	if missing && len(reader.Faults()) == 0 {
		reader.AddFault("", "the file holds no "+kind.String())
	}
	for _, fault := range faults {
		reader.AddFault(fault.Place, fault.Reason)
	}
	return file, reader, nil
}
