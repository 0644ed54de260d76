//go:build race

package fleettest

import "flag"

// racingFleets is the number of fleets that run at once under the race detector.
// With six of them its runtime fails a check of its own (tsan_rtl.cpp:346) in
// about one of forty runs, always while the first fleets start.
const racingFleets = "2"

func init() {
	limitParallel = func() error { return flag.Set("test.parallel", racingFleets) }
}
