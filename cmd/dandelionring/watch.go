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

// watchInterval is the time between two looks at the history.
const watchInterval = time.Second

// runWatch prints changes until count of them were printed. A VM that cannot be
// reached for a while does not end it.
func (list *listCommand) runWatch(ctx context.Context, client *operator.Client) error {
	after, err := list.watchFrom(ctx, client)
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

// watchFrom returns the number after which changes are printed: --after, or else
// the number in force.
func (list *listCommand) watchFrom(ctx context.Context, client *operator.Client) (core.ConfigNumber, error) {
	if list.after >= 0 {
		return core.ConfigNumber(list.after), nil
	}
	answer, err := client.Plans(ctx, 0)
	if err != nil {
		return 0, called(err)
	}
	return answer.Number, nil
}

// printChange writes one line.
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

func changeLine(change operator.Change) string {
	return fmt.Sprintf("%d %s operator %s hash %s", change.Number, change.Time.Format(time.RFC3339), change.Operator, change.Hash)
}
