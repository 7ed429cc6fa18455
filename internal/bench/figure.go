package bench

import (
	"fmt"
	"io"
)

// Figures prints figures and remembers whether all were within their bounds.
type Figures struct {
	writer io.Writer
	failed bool
	err    error
}

// NewFigures returns figures that are printed to writer.
func NewFigures(writer io.Writer) *Figures {
	return &Figures{writer: writer}
}

// AtLeast prints a figure that must not be below its bound.
func (figures *Figures) AtLeast(name string, value float64, unit string, bound float64) {
	figures.judge(name, value, unit, fmt.Sprintf(">=%g", bound), value >= bound)
}

// AtMost prints a figure that must not be above its bound.
func (figures *Figures) AtMost(name string, value float64, unit string, bound float64) {
	figures.judge(name, value, unit, fmt.Sprintf("<=%g", bound), value <= bound)
}

// Report prints a figure without a bound.
func (figures *Figures) Report(name string, value float64, unit string) {
	figures.print("%s %.3f %s - -\n", name, value, unit)
}

// Result returns whether all figures were within their bounds, and the first error
// of the writer.
func (figures *Figures) Result() (bool, error) {
	return !figures.failed, figures.err
}

func (figures *Figures) judge(name string, value float64, unit, bound string, passed bool) {
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
