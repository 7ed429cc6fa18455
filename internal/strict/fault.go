package strict

import (
	"fmt"
	"strings"
)

// Fault describes one mistake in a file.
type Fault struct {
	File string
	// Line is the line of the key, counted from 1. It is zero if the key does not occur
	// in the file.
	Line   int
	Key    string
	Reason string
}

// Error returns "file:line: key: reason" without the line and the key if they are not
// known.
func (fault Fault) Error() string {
	position := fault.File
	if fault.Line > 0 {
		position = fmt.Sprintf("%s:%d", fault.File, fault.Line)
	}
	if fault.Key == "" {
		return position + ": " + fault.Reason
	}
	return position + ": " + fault.Key + ": " + fault.Reason
}

// Faults is a list of faults in the order of their lines.
type Faults []Fault

// Error returns the faults, one per line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
