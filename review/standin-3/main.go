// Command review-3 runs the scripted cases of the third review. Each case starts the two roles of
// the project as separate processes on loopback addresses, with stand-ins for workers, clients and
// the operator that follow the users' pages, and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeFailed = 2
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(test *test) (broken bool, err error){
	"taken-up":  runTakenUp,
	"foreign":   runForeign,
	"departing": runDeparting,
	"long-ids":  runLongIDs,
	"replaced":  runReplaced,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names and writes its record into the folder that the
// second one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return codeFailed
	}
	record, closeRecord, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeFailed
	}
	defer closeRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %t", os.Args[1], trouble)
	test, end, err := newTest(record, trouble)
	if err != nil {
		record.note("the case could not run: %v", err)
		return codeFailed
	}
	defer end()
	broken, err := cases[os.Args[1]](test)
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return codeFailed
	case broken:
		record.note("BROKEN")
		return codeBroken
	default:
		record.note("held")
		return codeHeld
	}
}
