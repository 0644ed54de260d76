package share

import (
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// refillFactor is the fraction of its rate at which a bucket is refilled. VM
// clocks may run up to 1 % fast, and the limit is guaranteed in real time.
const refillFactor = 0.99

// rate returns the rate of the bucket in requests per second, without refillFactor.
func rate(c *state.CustomerShare) float64 {
	lent, _ := totalLent(&c.Loans)
	borrowed, _ := totalBorrowed(&c.Loans)
	return max(0, c.Base.Rate-lent) + borrowed
}

// capacity returns the maximum number of tokens in the bucket.
func capacity(c *state.CustomerShare) float64 {
	_, lent := totalLent(&c.Loans)
	_, borrowed := totalBorrowed(&c.Loans)
	return max(0, c.Base.Burst-lent) + borrowed
}

// totalLent sums up the loans that this VM granted.
func totalLent(b *state.LoanBook) (rate, burst float64) {
	for i := range b.Lent {
		rate += b.Lent[i].Rate
		burst += b.Lent[i].Burst
	}
	return rate, burst
}

// totalBorrowed sums up the active loans that this VM received.
func totalBorrowed(b *state.LoanBook) (rate, burst float64) {
	for i := range b.Borrowed {
		if b.Borrowed[i].Phase == state.LoanActive {
			rate += b.Borrowed[i].Rate
			burst += b.Borrowed[i].Burst
		}
	}
	return rate, burst
}

// advanceAll updates all buckets to the given time and ends expired loans.
func advanceAll(s *state.Shares, hold state.LeaseHold, now time.Time) {
	for _, c := range s.Customers {
		advance(s, c, hold, now)
	}
	for _, c := range s.Servers {
		for expireLoans(s, &c.Loans, now) {
		}
	}
}

// advance updates a customer's bucket to the given time. Loans that expire before
// then are ended in order of expiry, since each end changes rate and capacity.
func advance(s *state.Shares, c *state.CustomerShare, hold state.LeaseHold, now time.Time) {
	for {
		end, ok := nextLoanEnd(&c.Loans)
		if !ok || end.After(now) {
			break
		}
		accrue(c, hold, end)
		expireLoans(s, &c.Loans, end)
		c.Level = min(c.Level, capacity(c))
	}
	accrue(c, hold, now)
}

// accrue adds the tokens for the time since the last update that the lease hold
// covers. For the rest of the time, another process with this VM's name may have
// accrued them.
func accrue(c *state.CustomerShare, hold state.LeaseHold, to time.Time) {
	from, until := c.Updated, to
	if hold.Since.After(from) {
		from = hold.Since
	}
	if hold.Until.Before(until) {
		until = hold.Until
	}
	if until.After(from) && !hold.Since.IsZero() {
		c.Level = min(capacity(c), c.Level+rate(c)*refillFactor*until.Sub(from).Seconds())
	}
	if to.After(c.Updated) {
		c.Updated = to
	}
}

// bucketSnapshot is the state of a bucket at one point in time.
type bucketSnapshot struct {
	level, capacity, rate float64
}

func snapshotBucket(c *state.CustomerShare) bucketSnapshot {
	return bucketSnapshot{level: c.Level, capacity: capacity(c), rate: rate(c) * refillFactor}
}

// affordableAt returns when the bucket will have supplied the given total, or false
// if that takes longer than maxTokenWait at the current rate. The total may exceed
// the capacity, because tokens are spent as they accrue; only the cost of a single
// request must fit.
func (b bucketSnapshot) affordableAt(total, single float64, now time.Time) (time.Time, bool) {
	missing := total - b.level
	if missing <= 0 {
		return now, true
	}
	if b.rate <= 0 || single > b.capacity {
		return time.Time{}, false
	}
	seconds := missing / b.rate
	if seconds > maxTokenWait.Seconds() {
		return time.Time{}, false
	}
	return now.Add(ceilDuration(seconds)), true
}

// ceilDuration converts seconds to a duration and rounds up to a microsecond, so
// that the token is available when a timer for it fires.
func ceilDuration(seconds float64) time.Duration {
	return time.Duration(math.Ceil(seconds*1e6)) * time.Microsecond
}
