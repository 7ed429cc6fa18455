// Command review runs the scripted cases of the review. Each case starts the project's two
// roles as separate processes on loopback addresses, plays operator, workers and clients
// against them, and writes a record of what was sent and answered.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// longest bounds the time of one case.
const longest = 115 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	cases := map[string]func(*fleet, bool) error{"replaced": replaced, "growth": growth, "leaving": leaving, "memory": memory, "copies": copies}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(codeNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs one case and returns its exit code.
func run(play func(*fleet, bool) error, recordPath string) int {
	fleet, err := newFleet(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	defer fleet.close()
	ended := make(chan error, 1)
	go func() { ended <- play(fleet, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-time.After(longest):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		fleet.note("result: the rule held")
		return codeHeld
	case errors.Is(err, errBroken):
		fleet.note("result: %v", err)
		return codeBroken
	default:
		fleet.note("result: the case could not run: %v", err)
		return codeNotRun
	}
}
