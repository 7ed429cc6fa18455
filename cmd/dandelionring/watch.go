package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// watchInterval is the polling interval of watch.
const watchInterval = time.Second

// runWatch polls the history and prints changes of the list until count of them were
// printed; it runs without end if count is 0. A failed poll is printed to standard
// error and repeated.
func (list *listCommand) runWatch(ctx context.Context, client *operator.Client) error {
	after, err := list.watchStart(ctx, client)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for printed := 0; ; <-ticker.C {
		changes, err := client.History(ctx, after)
		if err != nil {
			fmt.Fprintln(os.Stderr, "dandelionring:", err)
			continue
		}
		for _, change := range changes {
			after = change.Number
			if change.List != list.kind.String() {
				continue
			}
			if err := list.printChange(change); err != nil {
				return err
			}
			if printed++; printed == list.count {
				return nil
			}
		}
	}
}

// watchStart returns the number after which changes are printed: that of --after, or
// else the number in force.
func (list *listCommand) watchStart(ctx context.Context, client *operator.Client) (core.ConfigNumber, error) {
	if list.after >= 0 {
		return core.ConfigNumber(list.after), nil
	}
	answer, err := client.Plans(ctx, 0)
	if err != nil {
		return 0, callError(err)
	}
	return answer.Number, nil
}

// printChange prints a change as one line of text or JSON.
func (list *listCommand) printChange(change operator.Change) error {
	if !list.json {
		fmt.Println(changeLine(change))
		return nil
	}
	if err := json.NewEncoder(os.Stdout).Encode(change); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}

// changeLine returns the text of a change for history and watch.
func changeLine(change operator.Change) string {
	return fmt.Sprintf("%d %s operator %s hash %s", change.Number, change.Time.Format(time.RFC3339), change.Operator, change.Hash)
}
