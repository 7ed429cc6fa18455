package strict

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a file.
type Fault struct {
	File string
	// Line starts at 1; it is zero if the key does not occur in the file.
	Line   int
	Key    string
	Reason string
}

// Error returns "file:line: key: reason" without the parts that are not known.
func (fault Fault) Error() string {
	place := fault.File
	if fault.Line > 0 {
		place = fmt.Sprintf("%s:%d", fault.File, fault.Line)
	}
	if fault.Key == "" {
		return place + ": " + fault.Reason
	}
	return place + ": " + fault.Key + ": " + fault.Reason
}

// Faults are all mistakes of a file, in the order of its lines.
type Faults []Fault

// Error returns one fault a line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}
