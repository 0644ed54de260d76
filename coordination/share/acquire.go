package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Verdict is the outcome of an Admission.
type Verdict int

// Values of Verdict.
const (
	Granted Verdict = iota // the tokens are spent; run the request now
	Wait                   // the request is queued; Advance decides on it
	Refused                // the request must not be run
)

// Admission is the decision on one request.
type Admission struct {
	Verdict Verdict
	Until   time.Time // Wait: when tokens are expected; call Advance then at the latest
	RetryAt time.Time // Refused: earliest time at which a retry is expected to succeed
	Advance time.Time // latest time to call Advance, because a loan may be needed; zero if none is
}

const (
	// maxTokenWait is the longest time that a request waits for tokens that this VM
	// accrues itself.
	maxTokenWait = 2 * time.Second
	// maxLoanWait is the longest time that a request waits for a loan. Loans follow a
	// demand that moves to this VM within about a second.
	maxLoanWait = time.Second
	// defaultRetryDelay is the retry delay proposed if the time at which tokens will
	// be available is unknown.
	defaultRetryDelay = time.Second
	// The queue of a customer is limited to the requests that its whole rate serves
	// in maxQueueTime, within minQueueLength and maxQueueLength.
	maxQueueTime   = time.Second
	minQueueLength = 16
	maxQueueLength = 1024
	// waitingPlanInterval is the minimum time between plans that new requests trigger
	// for a customer that already has waiting requests.
	waitingPlanInterval = 5 * time.Millisecond
)

// Acquire decides on a request of a customer, and spends its tokens if it is
// granted. id identifies the request in the decisions of Advance if it has to
// wait. now must be read right before the call, because the lease hold is checked
// against it.
func Acquire(tables *state.Tables, id state.WaiterID, customer string, cost float64, now, deadline time.Time) Admission {
	return acquire(tables, customer, state.ShareWaiter{ID: id, Cost: cost, Joined: now, Deadline: deadline}, now, true)
}

// acquire spends the tokens of a request or queues it. If arrival is set, the
// request has just arrived: it counts as demand, and comes after those that wait.
func acquire(tables *state.Tables, customer string, w state.ShareWaiter, now time.Time, arrival bool) Admission {
	hold := tables.Lease.Hold()
	admission := Admission{Verdict: Refused, RetryAt: now.Add(defaultRetryDelay)}
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		c := s.Customers[customer]
		if c == nil {
			return
		}
		if arrival {
			recordArrival(&c.Demand, w.Cost, now)
		}
		advance(s, c, hold, now)
		if !(arrival && len(c.Waiters) > 0) && spendTokens(c, hold, w.Cost, now) {
			admission = Admission{Verdict: Granted}
		} else {
			admission = enqueue(s, c, hold, w, now)
		}
		admission.Advance = planForArrival(s, c, now)
	})
	return admission
}

// Cancel removes a waiting request, for example because its client has disconnected.
func Cancel(t *state.ShareTable, id state.WaiterID, customer string) {
	t.With(func(s *state.Shares) {
		if c := s.Customers[customer]; c != nil {
			c.Waiters = slices.DeleteFunc(c.Waiters, func(w state.ShareWaiter) bool { return w.ID == id })
		}
	})
}

// spendTokens spends tokens if there are enough and the lease hold is valid.
func spendTokens(c *state.CustomerShare, hold state.LeaseHold, cost float64, now time.Time) bool {
	if !hold.Valid(now) || c.Level < cost {
		return false
	}
	c.Level -= cost
	return true
}

// enqueue queues the request if it can be served in time, and refuses it otherwise.
func enqueue(s *state.Shares, c *state.CustomerShare, hold state.LeaseHold, w state.ShareWaiter, now time.Time) Admission {
	total := waitingCost(c) + w.Cost
	until, ok := estimateWait(s, c, hold, now).recheckAt(w, total)
	if !ok || len(c.Waiters) >= queueLimit(c) {
		return Admission{Verdict: Refused, RetryAt: retryAt(c, total, w.Cost, now)}
	}
	c.Waiters = append(c.Waiters, w)
	return Admission{Verdict: Wait, Until: until}
}

func waitingCost(c *state.CustomerShare) float64 {
	total := 0.0
	for i := range c.Waiters {
		total += c.Waiters[i].Cost
	}
	return total
}

// queueLimit returns the maximum number of waiting requests of a customer.
func queueLimit(c *state.CustomerShare) int {
	return min(max(int(c.Limit.Rate*maxQueueTime.Seconds()), minQueueLength), maxQueueLength)
}

// waitEstimate holds what determines whether a waiting request can be served in time.
type waitEstimate struct {
	bucket            bucketSnapshot
	now               time.Time
	leaseValid        bool      // the lease hold is valid
	loanPossible      bool      // a loan may be granted
	loanAvailableFrom time.Time // earliest time of a loan
	agreementPending  bool      // the base share may grow when all VMs have applied the newest ticket
}

func estimateWait(s *state.Shares, c *state.CustomerShare, hold state.LeaseHold, now time.Time) waitEstimate {
	p := waitEstimate{bucket: snapshotBucket(c), now: now, leaseValid: hold.Valid(now)}
	p.loanAvailableFrom, p.loanPossible = loanAvailableFrom(s, c, now)
	p.agreementPending = len(s.Tickets) > 1 && !s.Static
	return p
}

// recheckAt returns when to check the request again, or false if it cannot be served
// in time. total is the cost of the request and of those before it.
func (p waitEstimate) recheckAt(w state.ShareWaiter, total float64) (time.Time, bool) {
	if p.leaseValid {
		until, ok := p.bucket.affordableAt(total, w.Cost, p.now)
		if ok && !until.After(earlier(w.Deadline, w.Joined.Add(maxTokenWait))) {
			return until, true
		}
	}
	until := earlier(w.Deadline, w.Joined.Add(maxLoanWait))
	viable := !p.leaseValid || p.agreementPending || p.loanPossible && p.loanAvailableFrom.Before(until)
	return until, viable && p.now.Before(until)
}

// loanAvailableFrom returns the earliest time at which a loan can be expected, or false
// if none can.
func loanAvailableFrom(s *state.Shares, c *state.CustomerShare, now time.Time) (time.Time, bool) {
	if s.Static || s.Leaving || c.Limit.Rate <= 0 {
		return time.Time{}, false
	}
	requested := slices.ContainsFunc(c.Loans.Borrowed, func(b state.BorrowedLoan) bool { return b.Phase == state.LoanRequested })
	if requested || c.Loans.LenderCandidates == nil {
		return now, true
	}
	var from time.Time
	for i, lender := range c.Loans.LenderCandidates {
		at := now
		if stats := c.Loans.LenderStats[lender.VM]; stats != nil {
			at = stats.RetryAfter
		}
		if i == 0 || at.Before(from) {
			from = at
		}
	}
	return from, len(c.Loans.LenderCandidates) > 0
}

// retryAt estimates when a request refused now could be granted.
func retryAt(c *state.CustomerShare, total, cost float64, now time.Time) time.Time {
	if at, ok := snapshotBucket(c).affordableAt(total, cost, now); ok {
		return at
	}
	return now.Add(defaultRetryDelay)
}

// Decision is the admission of a request that waited.
type Decision struct {
	ID        state.WaiterID
	Customer  string
	Admission Admission
}

// decideWaiting grants the waiting requests that can be paid for, in order, and
// refuses those that can no longer be served in time.
func decideWaiting(s *state.Shares, c *state.CustomerShare, hold state.LeaseHold, now time.Time) []Decision {
	if len(c.Waiters) == 0 {
		return nil
	}
	var decisions []Decision
	refuse := func(w state.ShareWaiter, total float64) {
		refusal := Admission{Verdict: Refused, RetryAt: retryAt(c, total, w.Cost, now)}
		decisions = append(decisions, Decision{w.ID, c.Name, refusal})
	}
	p := estimateWait(s, c, hold, now)
	kept, total := c.Waiters[:0], 0.0
	for _, w := range c.Waiters {
		switch _, viable := p.recheckAt(w, total+w.Cost); {
		case !now.Before(w.Deadline):
			refuse(w, total+w.Cost)
		case len(kept) == 0 && spendTokens(c, hold, w.Cost, now):
			decisions = append(decisions, Decision{w.ID, c.Name, Admission{Verdict: Granted}})
			p.bucket.level = c.Level
		case viable:
			kept = append(kept, w)
			total += w.Cost
		default:
			refuse(w, total+w.Cost)
		}
	}
	c.Waiters = kept
	return decisions
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
