package main

import (
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/operator"
)

// Exit codes of the program, documented in docs/operators.md.
const (
	codeFailed = iota + 1
	codeUsage
	codeConflict
	codeUnreachable
	codeUncertain
)

// exitCodes is the help text on exit codes.
const exitCodes = `
  Exit codes: 0 done, 1 faults or differences found, 2 wrong use, 3 conflict with
  another change, 4 not reached or not accepted, 5 a change may still be accepted.`

// exitError is an error with the exit code that the program returns for it.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (exit *exitError) Error() string { return exit.err.Error() }

// Unwrap returns the wrapped error.
func (exit *exitError) Unwrap() error { return exit.err }

// usageError returns an error with the given message and exit code codeUsage.
func usageError(text string) error {
	return &exitError{codeUsage, errors.New(text)}
}

// callError adds the exit code to the error of a call to a VM. It returns nil for nil.
func callError(err error) error {
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

// changeError is callError for a change of a list. If the response to the change was
// lost, the change may have been accepted; the exit code is then codeUncertain.
func changeError(err error) error {
	var status *operator.StatusError
	var conflict *operator.ConflictError
	var refused *operator.RefusedError
	if err == nil || errors.As(err, &status) || errors.As(err, &conflict) || errors.As(err, &refused) {
		return callError(err)
	}
	return &exitError{codeUncertain, errors.Wrap(err, "the change may have been accepted")}
}
