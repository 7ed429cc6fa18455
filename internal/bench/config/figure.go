package config

import (
	"math"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
)

// figure returns a figure without a bound, compared with the given baseline.
func figure(name string, value float64, unit, baseline string) policy.Figure {
	return policy.Figure{Name: name, Value: value, Unit: unit, Bound: math.NaN(), Beside: baseline}
}
