package bench

import (
	"fmt"
	"io"
)

// Figures prints measured values, one per line, and records whether all of them were
// within their bounds.
type Figures struct {
	writer io.Writer
	failed bool
	err    error
}

// NewFigures returns a Figures that prints to writer.
func NewFigures(writer io.Writer) *Figures {
	return &Figures{writer: writer}
}

// AtLeast prints a value with a lower bound. A value equal to the bound passes.
func (figures *Figures) AtLeast(name string, value float64, unit string, bound float64) {
	figures.printBounded(name, value, unit, fmt.Sprintf(">=%g", bound), value >= bound)
}

// AtMost prints a value with an upper bound. A value equal to the bound passes.
func (figures *Figures) AtMost(name string, value float64, unit string, bound float64) {
	figures.printBounded(name, value, unit, fmt.Sprintf("<=%g", bound), value <= bound)
}

// Report prints a value without a bound.
func (figures *Figures) Report(name string, value float64, unit string) {
	figures.print("%s %.3f %s - -\n", name, value, unit)
}

// Result returns whether all printed values were within their bounds, and the first
// error returned by the writer.
func (figures *Figures) Result() (bool, error) {
	return !figures.failed, figures.err
}

func (figures *Figures) printBounded(name string, value float64, unit, bound string, passed bool) {
	verdict := "PASS"
	if !passed {
		verdict = "FAIL"
		figures.failed = true
	}
	figures.print("%s %.3f %s %s %s\n", name, value, unit, bound, verdict)
}

func (figures *Figures) print(format string, arguments ...any) {
	if _, err := fmt.Fprintf(figures.writer, format, arguments...); err != nil && figures.err == nil {
		figures.err = err
	}
}
