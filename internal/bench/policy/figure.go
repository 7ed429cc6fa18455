package policy

import (
	"fmt"
	"io"
	"math"
)

// Figure is one measured value, its bound, and what it is compared with.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the target of the design page; NaN marks a figure without one.
	Bound float64
	// AtLeast is set if the value must not be below the bound instead of above it.
	AtLeast bool
	// Beside describes the baseline.
	Beside string
}

// Pass reports whether the value keeps its bound.
func (figure Figure) Pass() bool {
	if figure.AtLeast {
		return figure.Value >= figure.Bound
	}
	return math.IsNaN(figure.Bound) || figure.Value <= figure.Bound
}

// Print writes the figure as one line "name value unit bound PASS|FAIL baseline".
// A figure without a bound has "-" and "INFO" in their places.
func (figure Figure) Print(to io.Writer) error {
	bound, verdict := "-", "INFO"
	if !math.IsNaN(figure.Bound) {
		relation := "<="
		if figure.AtLeast {
			relation = ">="
		}
		bound, verdict = fmt.Sprintf("%s%g", relation, figure.Bound), "FAIL"
		if figure.Pass() {
			verdict = "PASS"
		}
	}
	_, err := fmt.Fprintf(to, "%s %.4g %s %s %s %s\n", figure.Name, figure.Value, figure.Unit, bound, verdict, figure.Beside)
	return err
}

// PrintAll writes the figures and reports whether all of them keep their bounds.
func PrintAll(to io.Writer, figures []Figure) (pass bool, err error) {
	pass = true
	for _, figure := range figures {
		pass = pass && figure.Pass()
		if err := figure.Print(to); err != nil {
			return false, fmt.Errorf("print %s: %w", figure.Name, err)
		}
	}
	return pass, nil
}

func info(name string, value float64, unit, beside string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: math.NaN(), Beside: beside}
}
