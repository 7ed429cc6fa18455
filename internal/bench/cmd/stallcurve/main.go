package main

import (
	"fmt"
	"os"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: stallcurve FILE")
		os.Exit(2)
	}
	if err := drawCurve(policy.Curve(), policy.CurveBaseline(), os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
