// Program bench runs the benchmarks of docs/design.md, section 1.7, and compares their
// results with the bounds given there.
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
	"github.com/dandelionring/dandelionring/internal/bench/routes"
)

// benchmark is a named benchmark. run prints one figure per line; ok is false if a
// figure is outside its bound.
type benchmark struct {
	name string
	run  func(out io.Writer) (ok bool, err error)
}

// figureBenchmark returns a run function that prints the figures of measure.
func figureBenchmark(measure func() []policy.Figure) func(io.Writer) (bool, error) {
	return func(out io.Writer) (bool, error) { return policy.PrintAll(out, measure()) }
}

var benchmarks = []benchmark{
	{"routing", figureBenchmark(policy.Routing)},
	{"placement", figureBenchmark(policy.Placement)},
	{"batching", figureBenchmark(policy.Batching)},
	{"path", path.Run},
	{"config", config.Run},
	{"config", routes.Run},
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

// run runs the benchmarks called name, or all of them for "all", and reports whether all
// figures are within their bounds. It returns false if there is no such benchmark.
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
