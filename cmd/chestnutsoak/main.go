// Command chestnutsoak runs VMs as processes against stand-ins, injects faults
// from outside and checks the promises.
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
	seeds := flag.Int("seeds", 1, "number of seeds to run, one after the other")
	flag.StringVar(&o.Binary, "binary", "", "the chestnutdyke `program` to run")
	flag.StringVar(&o.Logs, "logs", "", "`folder` for the VMs' logs; empty keeps none")
	flag.Uint64Var(&o.Seed, "seed", 1, "first seed")
	flag.IntVar(&o.VMs, "vms", 6, "number of VMs")
	flag.DurationVar(&o.Time, "time", 20*time.Second, "time with faults for each seed")
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
