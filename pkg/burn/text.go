package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

func formatInt(value int) string { return strconv.Itoa(value) }

// WriteJSON writes the report as indented JSON.
func (report Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return errors.Wrap(err, "write burn report")
	}
	return nil
}

// WriteText writes the report as plain-text tables.
func (report Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "Service-level burn at %s\n", report.At.UTC().Format(time.RFC3339))
	for _, plan := range report.Plans {
		fmt.Fprintf(table, "\nplan %s (customer %s)\n", plan.Plan, plan.Customer)
		fmt.Fprint(table, "  objective\ttarget\tbound")
		for _, window := range Windows {
			fmt.Fprintf(table, "\t%s", windowName(window))
		}
		fmt.Fprint(table, "\tbudget used\talert\n")
		for _, objective := range plan.Objectives {
			objective.writeRow(table)
		}
		fmt.Fprintln(table) // an empty line ends the column alignment of the rows above
		for _, objective := range plan.Objectives {
			objective.writeContributions(table)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write burn report")
	}
	return nil
}

func (objective ObjectiveReport) writeRow(out io.Writer) {
	bound := "-"
	if objective.BoundMillis > 0 {
		bound = formatInt(int(objective.BoundMillis)) + "ms"
	}
	fmt.Fprintf(out, "  %s\t%g\t%s", objective.Objective, objective.Target, bound)
	for _, window := range objective.Windows {
		fmt.Fprintf(out, "\t%.2f (%d/%d)", window.BurnRate, window.Bad, window.Requests)
	}
	alert := objective.Alert
	if alert == "" {
		alert = "-"
	}
	fmt.Fprintf(out, "\t%.0f%%\t%s\n", 100*objective.BudgetUsed, alert)
}

func (objective ObjectiveReport) writeContributions(out io.Writer) {
	for _, contribution := range objective.UsedBy {
		fmt.Fprintf(out, "  %s used by %s\t%s\t%d\t%.0f%%\n", objective.Objective, contribution.By, contribution.Name, contribution.Bad, 100*contribution.Share)
	}
}
