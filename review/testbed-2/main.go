// Command testbed-2 runs one case of the second review. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// scenario runs a case. It returns what broke the rule, in lines for record.txt.
type scenario func(b *testbed, binary string, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"revoke-in-transaction": revokeInTransaction,
	"refused-begin":         refusedBegin,
	"stop-pipelined":        stopPipelined,
	"revoke-pipelined":      revokePipelined,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "`name` of the case")
	binary := flag.String("binary", "target/chestnutdyke", "the program of deploy/system.toml")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	f := scenarios[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	b, err := newTestbed(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	// The VMs end with this process, also if it is interrupted or takes too long.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		b.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	b.recordf("case %s, disruption %v", *name, trouble)
	broken, err := f(b, *binary, trouble)
	if err != nil {
		b.recordf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, line := range broken {
		b.recordf("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	b.recordf("the rule held")
	fmt.Println("the rule held")
	return 0
}
