package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
)

var measurements = []struct {
	name string
	run  func() []policy.Figure
}{
	{"routing", policy.Routing},
	{"placement", policy.Placement},
	{"batching", policy.Batching},
}

func main() {
	curve := flag.String("curve", "", "draw the curve of StallWeight into this file")
	flag.Parse()
	pass, err := measure(flag.Args())
	if err == nil && *curve != "" {
		err = drawCurve(policy.Curve(), policy.CurveBaseline(), *curve)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !pass {
		os.Exit(1)
	}
}

// measure prints the figures of the named measurements, or of all if none is named.
func measure(names []string) (pass bool, err error) {
	pass = true
	known := 0
	for _, measurement := range measurements {
		if !selected(names, measurement.name) {
			continue
		}
		known++
		kept, err := policy.PrintAll(os.Stdout, measurement.run())
		if err != nil {
			return false, errors.Wrap(err, measurement.name)
		}
		pass = pass && kept
	}
	if len(names) > known {
		return false, errors.Errorf("an unknown measurement in %q", names)
	}
	return pass, nil
}

func selected(names []string, name string) bool {
	for _, wanted := range names {
		if wanted == name {
			return true
		}
	}
	return len(names) == 0
}
