package quota

import (
	"testing"
	"time"
)

// rankLoad plays operations of each rank at the given rates, in tries per second, against
// a partition of customer's limit (100 per second) for 20 s, and returns the part of them that is
// admitted.
func rankLoad(rates [NumRanks]float64) (admitted [NumRanks]float64, total int) {
	const seconds, step = 20, 5 * time.Millisecond
	coordinator := NewTable(0)
	coordinator.Grant(customer, 0, 1, Wanted{}, afterStart)
	var due, sent, granted [NumRanks]float64
	for now := afterStart + step; now <= afterStart+seconds*time.Second; now += step {
		// The lowest rank asks first: no rank waits for a higher one.
		for rank := NumRanks - 1; rank >= 0; rank-- {
			due[rank] += rates[rank] * step.Seconds()
			for ; due[rank] >= 1; due[rank]-- {
				var wanted Wanted
				wanted[rank] = 1
				sent[rank]++
				granted[rank] += float64(coordinator.Grant(customer, 0, 1, wanted, now))
			}
		}
	}
	for rank := range sent {
		admitted[rank] = granted[rank] / max(sent[rank], 1)
		total += int(granted[rank])
	}
	return admitted, total
}

// Guards against operations of a high rank that are refused because lower ones of the same
// customer, which sends more than its limit, have used up the tokens.
func TestHighestRankIsAdmittedFirst(t *testing.T) {
	admitted, total := rankLoad([NumRanks]float64{30, 60, 400})
	if admitted[0] < 0.97 || admitted[1] < 0.9 || admitted[2] > 0.1 {
		t.Errorf("admitted %.2f of the ranks", admitted)
	}
	if limit := 20*100 + int(customer.Burst); total < 20*97 || total > limit {
		t.Errorf("%d admitted, want nearly all that the limit allows, at most %d", total, limit)
	}
}

// Guards against lower ranks that starve while the highest one uses up the limit.
func TestLowerRanksKeepAFloor(t *testing.T) {
	admitted, _ := rankLoad([NumRanks]float64{300, 0, 50})
	if got := admitted[2] * 50; got < 7 || got > 20 {
		t.Errorf("the lowest rank gets %.1f tokens a second of 100, want about 10", got)
	}
}

// Guards against operations within the limit that are refused because of their rank.
func TestLowRankUsesTheWholeLimit(t *testing.T) {
	if admitted, _ := rankLoad([NumRanks]float64{0, 0, 99}); admitted[2] < 0.999 {
		t.Errorf("admitted %.3f of the only rank within the rate", admitted[2])
	}
	if admitted, _ := rankLoad([NumRanks]float64{20, 0, 75}); admitted[2] < 0.999 {
		t.Errorf("admitted %.3f of the lower rank within the rate", admitted[2])
	}
	table := NewTable(0)
	table.Grant(customer, 0, 1, Wanted{}, afterStart)
	burst := int(customer.Burst / 2)
	if got := table.Grant(customer, 0, 1, Wanted{2: burst}, afterStart+time.Minute); got != burst {
		t.Errorf("%d tokens of a burst of %d", got, burst)
	}
}

// Guards against tokens that go to a lower rank while a higher one waits at the same VM.
func TestWaitingRanks(t *testing.T) {
	table := NewTable(0)
	for _, rank := range []int{2, 0, 1, 0} {
		table.Admit("c", rank, afterStart)
	}
	if got := table.AddGranted("c", 3, afterStart); got != 3 {
		t.Errorf("%d admitted by 3 tokens", got)
	}
	if got := table.RetryRequest("c"); got != (Wanted{2: 1}) {
		t.Errorf("waiting %v, want the lowest rank", got)
	}
	table.Refuse("c", Wanted{2: 1})
	if got := (Wanted{2, 3, 1}).After(4); got != (Wanted{0, 1, 1}) {
		t.Errorf("after four tokens %v are left", got)
	}
}
