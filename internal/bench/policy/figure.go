package policy

import (
	"fmt"
	"io"
	"math"
)

// Figure is one measured value with its bound and the values of the baselines.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the target of the design page, or NaN if there is none.
	Bound float64
	// AtLeast is set if Bound is a lower bound; otherwise it is an upper bound.
	AtLeast bool
	// Beside describes the baselines, such as "static_hash=2.5".
	Beside string
}

// Pass reports whether the value is within its bound. An upper bound of NaN always
// passes.
func (figure Figure) Pass() bool {
	if figure.AtLeast {
		return figure.Value >= figure.Bound
	}
	return math.IsNaN(figure.Bound) || figure.Value <= figure.Bound
}

// Print writes the figure as one line "name value unit bound PASS|FAIL baseline".
// Without a bound, the fourth and fifth columns are "-" and "INFO". It returns the
// error of the writer.
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

// PrintAll writes the figures and reports whether all of them are within their bounds.
// It stops at the first error of the writer and returns it.
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

// infoFigure returns a figure without a bound.
func infoFigure(name string, value float64, unit, baseline string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: math.NaN(), Beside: baseline}
}
