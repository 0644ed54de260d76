package share

import (
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// refill is the part of its rate that a bucket is refilled with. VM clocks may
// run up to 1 % fast, and the limit is promised in real time.
const refill = 0.99

// rate returns what the bucket gains, in requests a second.
func rate(c *state.CustomerShare) float64 {
	lent, _ := lentOut(&c.Loans)
	borrowed, _ := borrowedIn(&c.Loans)
	return max(0, c.Base.Rate-lent) + borrowed
}

// capacity returns the most tokens that the bucket holds.
func capacity(c *state.CustomerShare) float64 {
	_, lent := lentOut(&c.Loans)
	_, borrowed := borrowedIn(&c.Loans)
	return max(0, c.Base.Burst-lent) + borrowed
}

func lentOut(b *state.LoanBook) (rate, burst float64) {
	for i := range b.Lent {
		rate += b.Lent[i].Rate
		burst += b.Lent[i].Burst
	}
	return rate, burst
}

func borrowedIn(b *state.LoanBook) (rate, burst float64) {
	for i := range b.Borrowed {
		if b.Borrowed[i].Phase == state.LoanActive {
			rate += b.Borrowed[i].Rate
			burst += b.Borrowed[i].Burst
		}
	}
	return rate, burst
}

// advanceAll brings all loans and buckets up to the given time.
func advanceAll(s *state.Shares, hold state.Hold, now time.Time) {
	for _, c := range s.Customers {
		advance(s, c, hold, now)
	}
	for _, c := range s.Servers {
		for endNextLoan(s, &c.Loans, now) {
		}
	}
}

// advance brings a customer's bucket up to the given time, ending loans in the
// order of their ends.
func advance(s *state.Shares, c *state.CustomerShare, hold state.Hold, now time.Time) {
	for {
		end, ok := nextLoanEnd(&c.Loans)
		if !ok || end.After(now) {
			break
		}
		accrue(c, hold, end)
		endNextLoan(s, &c.Loans, end)
		c.Level = min(c.Level, capacity(c))
	}
	accrue(c, hold, now)
}

// accrue adds the tokens gained since the last update, as far as the lease hold
// covers the time. Another process of this VM's name may have gained the rest.
func accrue(c *state.CustomerShare, hold state.Hold, to time.Time) {
	from, until := c.Updated, to
	if hold.Since.After(from) {
		from = hold.Since
	}
	if hold.Until.Before(until) {
		until = hold.Until
	}
	if until.After(from) && !hold.Since.IsZero() {
		c.Level = min(capacity(c), c.Level+rate(c)*refill*until.Sub(from).Seconds())
	}
	if to.After(c.Updated) {
		c.Updated = to
	}
}

// bucketView is a bucket at one moment.
type bucketView struct {
	level, capacity, rate float64
}

func viewOf(c *state.CustomerShare) bucketView {
	return bucketView{level: c.Level, capacity: capacity(c), rate: rate(c) * refill}
}

// payableAt returns when the bucket can pay for the given total, or false if it
// cannot at its present rate. Tokens beyond the capacity are gained and spent in
// turn, so only a single cost must fit into the capacity.
func (b bucketView) payableAt(total, single float64, now time.Time) (time.Time, bool) {
	missing := total - b.level
	if missing <= 0 {
		return now, true
	}
	if b.rate <= 0 || single > b.capacity {
		return time.Time{}, false
	}
	seconds := missing / b.rate
	if seconds > longestWait.Seconds() {
		return time.Time{}, false
	}
	return now.Add(roundUp(seconds)), true
}

// roundUp converts seconds to a duration that is not shorter, so that a token is
// there when a timer for it fires.
func roundUp(seconds float64) time.Duration {
	return time.Duration(math.Ceil(seconds*1e6)) * time.Microsecond
}
