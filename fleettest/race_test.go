//go:build race

package fleettest

import (
	"flag"
	"runtime"
)

// raceParallel is the number of fleets that run at the same time under the race
// detector. With six, the detector's runtime fails an internal check
// (tsan_rtl.cpp:346) in about one of forty runs, always while the first fleets
// start.
const raceParallel = "2"

// raceProcessors is the number of processors under the race detector. With several, its
// runtime crashed in about one of four runs of the package, each time below
// runtime.(*timer).maybeRunChan.
const raceProcessors = 1

func init() {
	limitParallel = func() error {
		runtime.GOMAXPROCS(raceProcessors)
		return flag.Set("test.parallel", raceParallel)
	}
}
