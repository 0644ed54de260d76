// Command chestnutbench runs a fleet with stand-in backend servers in one process
// under load, measures throughput and latency as clients see them, and checks the
// guarantees of the design page. chestnutbench -h describes scenarios and flags.
package main

import (
	"os"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutbench/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
