// Command testbed plays the cases of review/: it starts VMs as processes, with stand-ins
// for the platform, its instances and its clients, and checks a rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// errBroken states that a rule was broken.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the functions that play a case. They record broken rules, and return an
// error if the case could not be played.
var cases = map[string]func(tb *testbed, trouble bool) error{
	"1": staleTransaction,
	"2": deafReplica,
	"3": smuggledLine,
	"4": plannedStop,
	"5": frozenCoordinator,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: testbed CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	tb, err := newTestbed(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer tb.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble: %v, logs in %s", os.Args[1], trouble, tb.dir)
	if err := cases[os.Args[1]](tb, trouble); err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if rec.bad > 0 {
		rec.add("RESULT broken (%d findings)", rec.bad)
		return exitBroken
	}
	rec.add("RESULT held")
	return exitHeld
}
