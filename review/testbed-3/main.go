// Command testbed3 runs the scripts of the third review: the system's own processes beside
// small stand-ins of clients, backend servers and the platform, on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// cases maps the number of a case to its function, which reports whether the rule was kept.
var cases = map[string]func(rec *recorder, trouble bool, program string) (bool, error){
	"11": syncCommitLost,
	"12": expiredReplicaLost,
	"13": lateOrderLost,
}

// maxTime limits a run.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: testbed3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	rec := &recorder{start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(maxTime, func() {
		fmt.Println("could not run: out of time")
		os.Exit(2) // the processes end with this one
	})
	held, err := cases[os.Args[1]](rec, trouble, os.Args[2])
	status, verdict := 0, "the rule held"
	switch {
	case errors.Is(err, errSetup) || err != nil:
		status, verdict = 2, "could not run: "+err.Error()
	case !held:
		status, verdict = 1, "the rule was broken"
	}
	rec.add("verdict: %s", verdict)
	if err := rec.write(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	fmt.Println(verdict)
	os.Exit(status)
}
