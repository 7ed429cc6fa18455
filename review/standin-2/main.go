// Command review-2 plays the cases of the second review that are scripts. It starts the two
// roles of the deploy file as separate processes on loopback addresses, acts as the platform,
// the operator, the workers and the clients, and judges what these have seen.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// be played.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

const (
	codeBroken = 1
	codeFailed = 2
)

// errNotPlayed marks the errors after which nothing can be said about the rule.
var errNotPlayed = errors.New("the case could not be played")

func main() { os.Exit(run()) }

func run() int {
	node := flag.String("node", "", "the program of the two roles")
	folder := flag.String("folder", "", "an empty folder for settings, logs and disks")
	record := flag.String("record", "", "the file for what was sent, answered and run")
	flag.Parse()
	type scenario struct {
		layout layout
		play   func(*deployment, bool) (bool, error)
	}
	cases := map[string]scenario{
		"limit": {firstSite, playLimit}, "memory": {firstSite, playMemory}, "path": {firstSite, playPath}, "replace": {grownSite, playReplace},
		"order": {firstSite, playOrder}, "brittle": {firstSite, playBrittle},
	}
	chosen, ok := cases[flag.Arg(0)]
	if !ok || *node == "" || *folder == "" || *record == "" {
		fmt.Fprintln(os.Stderr, "usage: review-2 -node PROGRAM -folder FOLDER -record FILE limit|memory|path|replace|order|brittle")
		return codeFailed
	}
	log, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return codeFailed
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.write("case %s, disruption %t", flag.Arg(0), trouble)
	deployment, err := newDeployment(*node, *folder, chosen.layout, log)
	if err != nil {
		log.write("not played: %v", err)
		return codeFailed
	}
	defer deployment.close()
	broken, err := chosen.play(deployment, trouble)
	switch {
	case err != nil:
		log.write("not played: %v", err)
		return codeFailed
	case broken:
		log.write("verdict: the rule was broken")
		return codeBroken
	default:
		log.write("verdict: the rule held")
		return 0
	}
}
