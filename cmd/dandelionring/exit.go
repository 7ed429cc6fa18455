package main

import (
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/operator"
)

// The exit codes of the program. They are documented in docs/operators.md.
const (
	codeFailed = iota + 1
	codeUsage
	codeConflict
	codeUnreachable
	codeUncertain
)

const exitCodes = `
  Exit codes: 0 done, 1 faults or differences found, 2 wrong use, 3 conflict with
  another change, 4 not reached or not accepted, 5 a change may still be accepted.`

// exitError carries the exit code of an error.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (exit *exitError) Error() string { return exit.err.Error() }

// Unwrap returns the error.
func (exit *exitError) Unwrap() error { return exit.err }

func usageError(text string) error {
	return &exitError{codeUsage, errors.New(text)}
}

// called gives the error of a call to a VM its exit code.
func called(err error) error {
	var conflict *operator.ConflictError
	var refused *operator.RefusedError
	var status *operator.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &exitError{codeConflict, err}
	case errors.As(err, &refused):
		return &exitError{codeFailed, err}
	case errors.As(err, &status) && status.Uncertain():
		return &exitError{codeUncertain, err}
	default:
		return &exitError{codeUnreachable, err}
	}
}

// changed is called for a change of a list: after a lost answer nobody knows
// whether it was accepted.
func changed(err error) error {
	var status *operator.StatusError
	var conflict *operator.ConflictError
	var refused *operator.RefusedError
	if err == nil || errors.As(err, &status) || errors.As(err, &conflict) || errors.As(err, &refused) {
		return called(err)
	}
	return &exitError{codeUncertain, errors.Wrap(err, "the change may have been accepted")}
}
