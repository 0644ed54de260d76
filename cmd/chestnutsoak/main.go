// Command chestnutsoak runs VMs as separate processes against simulated database
// servers and a simulated store, injects faults from outside, and checks the
// consistency guarantees. It exits with status 1 if a guarantee is violated or a run
// cannot be set up.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutsoak/soak"
)

func main() { os.Exit(run()) }

func run() int {
	o := soak.Options{}
	seeds := flag.Int("seeds", 1, "number of consecutive seeds to run")
	flag.StringVar(&o.Binary, "binary", "", "the chestnutdyke `program` to run")
	flag.StringVar(&o.Logs, "logs", "", "`folder` for the logs of the VMs; empty discards them")
	flag.Uint64Var(&o.Seed, "seed", 1, "first seed")
	flag.IntVar(&o.VMs, "vms", 6, "number of VMs")
	flag.DurationVar(&o.Time, "time", 20*time.Second, "how long faults are injected for each seed")
	flag.Parse()
	if o.Binary == "" {
		fmt.Fprintln(os.Stderr, "chestnutsoak: -binary must name the chestnutdyke program")
		return 2
	}
	failed := 0
	for range *seeds {
		report, err := soak.Run(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, "chestnutsoak:", err)
			return 1
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			failed++
		}
		o.Seed++
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
