package quota

import (
	"math"
	"time"
)

const (
	// NumRanks is the number of ranks of operations that compete for a customer's limit.
	// Routes of lower priorities share the last one.
	NumRanks = 3
	// reservePeriod is the period whose expected demand of higher ranks is kept for them
	// while lower ones are refused. It is several times as long as a request for tokens takes.
	reservePeriod = 250 * time.Millisecond
	// rankMemory is the time constant with which granted tokens are forgotten.
	rankMemory = 2 * time.Second
	// floorFraction is the part of the earned tokens that lower ranks may spend whatever the
	// demand of higher ones is, so that they do not starve.
	floorFraction = 0.1
)

// Wanted has a number of tokens for each rank. Rank 0 is the highest.
type Wanted [NumRanks]int

// Total returns the sum over all ranks.
func (w Wanted) Total() int {
	total := 0
	for _, n := range w {
		total += n
	}
	return total
}

// After returns what remains of w after n tokens, the highest rank first.
func (w Wanted) After(n int) Wanted {
	for rank := range w {
		used := min(n, w[rank])
		w[rank] -= used
		n -= used
	}
	return w
}

// rankDemand decides which ranks get the tokens of an account. It answers a customer that
// sends more than its limit: its operations of the highest rank are then admitted before
// the others, which would otherwise use up the tokens in the order of arrival.
type rankDemand struct {
	recent [NumRanks]float64 // tokens granted, which decay with rankMemory
	floor  float64           // tokens that lower ranks may spend whatever is kept for higher ones
	at     time.Duration     // when recent was last decayed
	// refusedAt is when lower ranks were last refused; zero if never.
	refusedAt time.Duration
}

// grant returns how many of the wanted tokens are granted. earned of the tokens are new
// since the last call.
func (d *rankDemand) grant(tokens, earned, burst float64, wanted Wanted, now time.Duration) int {
	decay := math.Exp(-float64(now-d.at) / float64(rankMemory))
	d.at = now
	d.floor = min(d.floor+floorFraction*earned, 1)
	total, kept := 0, 0.0 // kept is what the present rank leaves to others
	if d.refusedAt != 0 && now-d.refusedAt < reservePeriod {
		kept = d.floor
	}
	for rank, n := range wanted {
		d.recent[rank] *= decay
		granted := min(n, int(max(tokens-min(kept, burst/2), 0)))
		if granted == 0 && n > 0 && rank > 0 && tokens >= 1 && d.floor >= 1 {
			granted = 1
			d.floor--
		}
		if granted < n && rank > 0 {
			d.refusedAt = now
		}
		tokens -= float64(granted)
		total += granted
		d.recent[rank] += float64(granted)
		kept += max(min(d.recent[rank], 1), d.recent[rank]*reservePeriod.Seconds()/rankMemory.Seconds())
	}
	return total
}
