// Program bench measures the figures of docs/design.md, section 1.7, and compares them
// with their bounds.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/bench/audit"
	"github.com/dandelionring/dandelionring/internal/bench/claims"
	"github.com/dandelionring/dandelionring/internal/bench/config"
	"github.com/dandelionring/dandelionring/internal/bench/path"
	"github.com/dandelionring/dandelionring/internal/bench/policy"
	"github.com/dandelionring/dandelionring/internal/bench/restart"
)

// benchmark prints figures, one a line, and returns false if one misses its bound.
type benchmark struct {
	name string
	run  func(out io.Writer) (ok bool, err error)
}

func figures(measure func() []policy.Figure) func(io.Writer) (bool, error) {
	return func(out io.Writer) (bool, error) { return policy.PrintAll(out, measure()) }
}

var benchmarks = []benchmark{
	{"routing", figures(policy.Routing)},
	{"placement", figures(policy.Placement)},
	{"batching", figures(policy.Batching)},
	{"path", path.Run},
	{"config", config.Run},
	{"audit", audit.Run},
	{"membership", claims.Run},
	{"membership", restart.Run},
}

func main() {
	var name string
	flaggy.SetName("bench")
	flaggy.SetDescription("Measure figures and compare them with their bounds.")
	flaggy.AddPositionalValue(&name, "name", 1, true, "benchmark, or all")
	flaggy.Parse()
	if !run(name, os.Stdout) {
		os.Exit(1)
	}
}

// run runs the benchmarks with the name and reports whether all figures passed.
func run(name string, out io.Writer) bool {
	found, passed := false, true
	for _, benchmark := range benchmarks {
		if name != "all" && name != benchmark.name {
			continue
		}
		found = true
		fmt.Fprintf(out, "# %s\n", benchmark.name)
		ok, err := benchmark.run(out)
		if err != nil {
			fmt.Fprintf(os.Stderr, "bench: %s: %v\n", benchmark.name, err)
		}
		passed = passed && ok && err == nil
	}
	if !found {
		fmt.Fprintf(os.Stderr, "bench: no benchmark is called %q\n", name)
	}
	return found && passed
}
