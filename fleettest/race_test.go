//go:build race

package fleettest

import "flag"

// raceParallel is the number of fleets that run at the same time under the race
// detector. With six, the detector's runtime fails an internal check
// (tsan_rtl.cpp:346) in about one of forty runs, always while the first fleets
// start.
const raceParallel = "2"

func init() {
	limitParallel = func() error { return flag.Set("test.parallel", raceParallel) }
}
