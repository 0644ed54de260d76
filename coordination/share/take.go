package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Verdict is the kind of an Admission.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota // the tokens are spent; run the request now
	Wait                   // the request has a place in the queue; Advance decides on it
	Refused                // not to be run
)

// Admission is the decision on one request.
type Admission struct {
	Verdict Verdict
	Until   time.Time // Wait: when the tokens are expected; call Advance then at the latest
	RetryAt time.Time // Refused: from when a retry can succeed, as far as can be foreseen
	Advance time.Time // call Advance then at the latest, because a loan may be needed; zero if not
}

const (
	// longestWait bounds the time that a request waits for tokens that this VM
	// gains itself.
	longestWait = 2 * time.Second
	// loanWait bounds the time that a request waits for a loan. A demand that
	// moves to this VM is followed within about a second.
	loanWait = time.Second
	// retryUnknown is the delay proposed when it cannot be foreseen when tokens
	// will be there.
	retryUnknown = time.Second
	// queueTime limits the queue of a customer to the requests that its whole
	// rate pays for in this time.
	queueTime = time.Second
	minQueue  = 16
	maxQueue  = 1024
	// advanceInterval is the shortest time between two looks at a customer whose
	// requests wait already.
	advanceInterval = 5 * time.Millisecond
)

// Take decides on a request of a customer. id names the request in the decisions
// of Advance if it has to wait. now must be read right before the call, since
// the lease is checked against it.
func Take(tables *state.Tables, id state.WaiterID, customer string, cost float64, now, deadline time.Time) Admission {
	return take(tables, customer, state.ShareWaiter{ID: id, Cost: cost, Joined: now, Deadline: deadline}, now, true)
}

// take spends the tokens of a request or gives it a place in the queue. A
// request that has just arrived counts as demand, and comes after those that
// wait.
func take(tables *state.Tables, customer string, w state.ShareWaiter, now time.Time, arrival bool) Admission {
	hold := tables.Lease.Hold()
	admission := Admission{Verdict: Refused, RetryAt: now.Add(retryUnknown)}
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		c := s.Customers[customer]
		if c == nil {
			return
		}
		if arrival {
			recordArrival(&c.Demand, w.Cost, now)
		}
		advance(s, c, hold, now)
		if !(arrival && len(c.Waiters) > 0) && pay(c, hold, w.Cost, now) {
			admission = Admission{Verdict: Granted}
		} else {
			admission = enqueue(s, c, hold, w, now)
		}
		admission.Advance = wantsPlan(s, c, now)
	})
	return admission
}

// Cancel forgets a waiting request, for example because its client is gone.
func Cancel(t *state.ShareTable, id state.WaiterID, customer string) {
	t.With(func(s *state.Shares) {
		if c := s.Customers[customer]; c != nil {
			c.Waiters = slices.DeleteFunc(c.Waiters, func(w state.ShareWaiter) bool { return w.ID == id })
		}
	})
}

// pay spends tokens if they are there and the lease hold covers the time.
func pay(c *state.CustomerShare, hold state.Hold, cost float64, now time.Time) bool {
	if !hold.Valid(now) || c.Level < cost {
		return false
	}
	c.Level -= cost
	return true
}

// enqueue gives the request a place in the queue if it can be served in time.
func enqueue(s *state.Shares, c *state.CustomerShare, hold state.Hold, w state.ShareWaiter, now time.Time) Admission {
	total := waitingCost(c) + w.Cost
	until, ok := prospectsOf(s, c, hold, now).until(w, total)
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

func queueLimit(c *state.CustomerShare) int {
	return min(max(int(c.Limit.Rate*queueTime.Seconds()), minQueue), maxQueue)
}

// prospects are what a waiting request can hope for.
type prospects struct {
	bucket   bucketView
	now      time.Time
	leased   bool      // the lease hold is valid
	loan     bool      // a loan may come
	loanFrom time.Time // but not before this time
	agreeing bool      // the base share may grow soon, when all VMs have applied the newest ticket
}

func prospectsOf(s *state.Shares, c *state.CustomerShare, hold state.Hold, now time.Time) prospects {
	p := prospects{bucket: viewOf(c), now: now, leased: hold.Valid(now)}
	p.loanFrom, p.loan = loanFrom(s, c, now)
	p.agreeing = len(s.Tickets) > 1 && !s.Static
	return p
}

// until returns when the request should be looked at again, or false if it
// cannot be served in time. total is its cost and that of those before it.
func (p prospects) until(w state.ShareWaiter, total float64) (time.Time, bool) {
	if p.leased {
		until, ok := p.bucket.payableAt(total, w.Cost, p.now)
		if ok && !until.After(earlier(w.Deadline, w.Joined.Add(longestWait))) {
			return until, true
		}
	}
	until := earlier(w.Deadline, w.Joined.Add(loanWait))
	hope := !p.leased || p.agreeing || p.loan && p.loanFrom.Before(until)
	return until, hope && p.now.Before(until)
}

// loanFrom returns from when a loan can be hoped for.
func loanFrom(s *state.Shares, c *state.CustomerShare, now time.Time) (time.Time, bool) {
	if s.Static || s.Leaving || c.Limit.Rate <= 0 {
		return time.Time{}, false
	}
	asked := slices.ContainsFunc(c.Loans.Borrowed, func(b state.Borrowed) bool { return b.Phase == state.LoanAsked })
	if asked || c.Loans.Holders == nil {
		return now, true
	}
	var from time.Time
	for i, h := range c.Loans.Holders {
		at := now
		if note := c.Loans.Notes[h.VM]; note != nil {
			at = note.Until
		}
		if i == 0 || at.Before(from) {
			from = at
		}
	}
	return from, len(c.Loans.Holders) > 0
}

// retryAt foresees when a request refused now could be granted.
func retryAt(c *state.CustomerShare, total, cost float64, now time.Time) time.Time {
	if at, ok := viewOf(c).payableAt(total, cost, now); ok {
		return at
	}
	return now.Add(retryUnknown)
}

// Decision is the admission of a request that waited.
type Decision struct {
	ID        state.WaiterID
	Customer  string
	Admission Admission
}

// settle grants the waiting requests that can be paid for, in order, and refuses
// those that cannot be served in time any more.
func settle(s *state.Shares, c *state.CustomerShare, hold state.Hold, now time.Time) []Decision {
	if len(c.Waiters) == 0 {
		return nil
	}
	var decisions []Decision
	refuse := func(w state.ShareWaiter, total float64) {
		refusal := Admission{Verdict: Refused, RetryAt: retryAt(c, total, w.Cost, now)}
		decisions = append(decisions, Decision{w.ID, c.Name, refusal})
	}
	p := prospectsOf(s, c, hold, now)
	kept, total := c.Waiters[:0], 0.0
	for _, w := range c.Waiters {
		switch _, viable := p.until(w, total+w.Cost); {
		case !now.Before(w.Deadline):
			refuse(w, total+w.Cost)
		case len(kept) == 0 && pay(c, hold, w.Cost, now):
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
