package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// difference is an entry that differs between the list in force and a file.
type difference struct {
	Plan core.PlanID
	// Old is empty for an added entry, New for a removed one.
	Old json.RawMessage `json:",omitempty"`
	New json.RawMessage `json:",omitempty"`
}

// runDiff prints the differences between the list in force and a file, and returns an
// error if there are any.
func (list *listCommand) runDiff(ctx context.Context, client *operator.Client) error {
	file, reader, err := readList(list.file, list.kind)
	if err != nil {
		return err
	}
	if faults := reader.Faults(); len(faults) > 0 {
		return faults
	}
	plans, err := client.Plans(ctx, 0)
	if err != nil {
		return callError(err)
	}
	grants, err := client.Grants(ctx, 0)
	if err != nil {
		return callError(err)
	}
	old, proposed := byPlan(plans.Plans, planID), byPlan(file.Plans, planID)
	if list.kind == core.GrantsList {
		old, proposed = byPlan(grants.Grants, grantPlanID), byPlan(file.Grants, grantPlanID)
	}
	return list.printDifferences(differences(old, proposed))
}

func planID(plan core.Plan) core.PlanID { return plan.Plan }

func grantPlanID(grant core.Grant) core.PlanID { return grant.Plan }

// byPlan returns the JSON of the entries by plan.
func byPlan[Entry any](entries []Entry, plan func(Entry) core.PlanID) map[core.PlanID]string {
	result := make(map[core.PlanID]string, len(entries))
	for _, entry := range entries {
		text, err := json.Marshal(entry)
		if err != nil {
			panic(err) // plans and grants can always be encoded
		}
		result[plan(entry)] = string(text)
	}
	return result
}

// differences returns the entries that differ, sorted by plan.
func differences(old, proposed map[core.PlanID]string) []difference {
	all := maps.Clone(old)
	maps.Copy(all, proposed)
	result := []difference{}
	for _, plan := range slices.Sorted(maps.Keys(all)) {
		if old[plan] != proposed[plan] {
			result = append(result, difference{plan, json.RawMessage(old[plan]), json.RawMessage(proposed[plan])})
		}
	}
	return result
}

// printDifferences prints the differences and returns an error if there are any.
func (list *listCommand) printDifferences(found []difference) error {
	if list.json {
		if err := json.NewEncoder(os.Stdout).Encode(found); err != nil {
			return errors.Wrap(err, "write output")
		}
	} else {
		for _, entry := range found {
			printEntry("-", entry.Old)
			printEntry("+", entry.New)
		}
	}
	if len(found) > 0 {
		return errors.Errorf("%d entries differ", len(found))
	}
	return nil
}

// printEntry prints an entry after a sign, - for old and + for new. It prints nothing
// for an empty entry.
func printEntry(sign string, entry json.RawMessage) {
	if len(entry) > 0 {
		fmt.Println(sign, string(entry))
	}
}
