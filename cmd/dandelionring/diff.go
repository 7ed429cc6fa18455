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

// difference is one entry that differs between the list in force and a file.
type difference struct {
	Plan core.PlanID
	// Old is empty for a new entry and New for a removed one.
	Old json.RawMessage `json:",omitempty"`
	New json.RawMessage `json:",omitempty"`
}

// runDiff compares the list in force with a file.
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
		return called(err)
	}
	grants, err := client.Grants(ctx, 0)
	if err != nil {
		return called(err)
	}
	old, proposed := byPlan(plans.Plans, planOf), byPlan(file.Plans, planOf)
	if list.kind == core.GrantsList {
		old, proposed = byPlan(grants.Grants, grantOf), byPlan(file.Grants, grantOf)
	}
	return list.printDifferences(differences(old, proposed))
}

func planOf(plan core.Plan) core.PlanID { return plan.Plan }

func grantOf(grant core.Grant) core.PlanID { return grant.Plan }

// byPlan encodes entries and indexes them by their plan.
func byPlan[Entry any](entries []Entry, plan func(Entry) core.PlanID) map[core.PlanID]string {
	result := make(map[core.PlanID]string, len(entries))
	for _, entry := range entries {
		text, err := json.Marshal(entry)
		if err != nil {
			panic(err) // the types hold nothing that cannot be encoded
		}
		result[plan(entry)] = string(text)
	}
	return result
}

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

func printEntry(sign string, entry json.RawMessage) {
	if len(entry) > 0 {
		fmt.Println(sign, string(entry))
	}
}
