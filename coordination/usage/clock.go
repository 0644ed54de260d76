package usage

import (
	"slices"
	"time"
)

// EstimateOffset returns the offset of true time to the monotonic clock of this VM. samples
// are the differences between the times of day of VMs and that clock, fleet the number of
// VMs that could have sent one. With samples of a majority the offset is their median, so
// a change of the time of day on fewer than half of the VMs has no effect. Of several
// medians the one next to previous is taken. With fewer samples previous stays; ok is
// false if there is none.
func EstimateOffset(samples []time.Duration, fleet int, previous time.Duration, hasPrevious bool) (offset time.Duration, ok bool) {
	if 2*len(samples) <= fleet || len(samples) == 0 {
		return previous, hasPrevious
	}
	sorted := slices.Sorted(slices.Values(samples))
	low, high := sorted[(len(sorted)-1)/2], sorted[len(sorted)/2]
	if !hasPrevious {
		return low + (high-low)/2, true
	}
	return min(max(previous, low), high), true
}
