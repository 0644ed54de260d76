// Command chestnutbench loads a fleet with stand-ins in one process, measures
// what clients see and checks the promises. Run it with -h for its use.
package main

import (
	"os"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutbench/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
