package share

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// LoanPeriod is how long a loan of rate and burst may be used. It has to end,
	// margin included, while the lender's lease hold lasts: afterwards another
	// process of the lender's name may spend from the same base share.
	LoanPeriod = 2 * time.Second
	// longestTokenLoan bounds how long a loan of tokens alone may be used. Such a
	// loan serves requests that wait already, and the lender's bucket is smaller by
	// it until it ends, so borrowers ask for a few round trips only.
	longestTokenLoan = 500 * time.Millisecond
	// tokenHorizon is the time for which a lender of tokens keeps those that its
	// own demand needs beyond its rate.
	tokenHorizon = 100 * time.Millisecond
	// ConnectionLoanPeriod is how long a connection may be borrowed.
	ConnectionLoanPeriod = 5 * time.Second

	// lendHeadroom is the multiple of its own demand that a lender keeps.
	lendHeadroom = 1.2
	// keptTokens stay in an idle lender's bucket, so that its next own request
	// need not wait.
	keptTokens = 1
	// idleTime is how long a VM that had no request of a customer keeps nothing
	// for its next one.
	idleTime = 5 * time.Second
	// smallestRate is the smallest rate in requests a second that is worth a loan.
	smallestRate = 0.5
	// smallestPart is the smallest part of the requested rate that is lent. Smaller
	// ones would split a share into many loans while a demand fades away.
	smallestPart = 0.25
)

// Grant answers a loan request. The loan is subtracted from this VM's own share
// before the answer exists. For connections the caller must apply
// ConnectionLimit before it sends the answer.
func Grant(tables *state.Tables, req LoanRequest, from Peer, now time.Time) LoanAnswer {
	hold := tables.Lease.Hold()
	answer := LoanAnswer{Number: req.Number}
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		l := lender{s: s, hold: hold, now: now, from: from, req: req}
		switch {
		case s.Static || !hold.Valid(now):
		case req.Resource == Requests && s.Customers[req.Name] != nil:
			c := s.Customers[req.Name]
			advance(s, c, hold, now)
			l.book = &c.Loans
			l.answerRequests(c, &answer)
		case req.Resource == Connections && s.Servers[req.Name] != nil:
			c := s.Servers[req.Name]
			for endNextLoan(s, &c.Loans, now) {
			}
			l.book = &c.Loans
			l.answerConnections(c, &answer)
		}
	})
	return answer
}

// lender handles one loan request.
type lender struct {
	s    *state.Shares
	book *state.LoanBook
	hold state.Hold
	now  time.Time
	from Peer
	req  LoanRequest
}

func (l *lender) answerRequests(c *state.CustomerShare, answer *LoanAnswer) {
	record := l.record()
	switch {
	case l.req.Return:
		if record != nil {
			tokens := max(0, min(l.req.Tokens, record.Burst))
			l.takeBack()
			c.Level = min(capacity(c), c.Level+tokens)
		}
	case record != nil:
		if l.keepsLending(c, record) && l.extend(record, LoanPeriod) {
			answer.Rate, answer.Burst, answer.Tokens = record.Rate, record.Burst, record.Tokens
		}
	case l.grantable(LoanPeriod):
		l.lendRequests(c, answer)
	}
	rate, _ := spareRequests(l.s, c, l.now)
	answer.Spare = rate
}

// record returns this VM's record of the loan, or nil.
func (l *lender) record() *state.Lent {
	for i := range l.book.Lent {
		r := &l.book.Lent[i]
		if r.Borrower == l.from.Name && r.Incarnation == l.from.Incarnation && r.Number == l.req.Number {
			return r
		}
	}
	return nil
}

// takeBack ends a loan that its borrower returned. The number is remembered, so
// that a late copy of the request does not start the loan anew.
func (l *lender) takeBack() {
	l.book.Lent = slices.DeleteFunc(l.book.Lent, func(r state.Lent) bool {
		return r.Borrower == l.from.Name && r.Incarnation == l.from.Incarnation && r.Number == l.req.Number
	})
	returned := l.s.Returned[l.from.Name]
	if returned.Incarnation != l.from.Incarnation {
		returned = state.ReturnedLoans{Incarnation: l.from.Incarnation}
	}
	returned.Number = max(returned.Number, l.req.Number)
	l.s.Returned[l.from.Name] = returned
}

// grantable reports whether a new loan may be granted at all.
func (l *lender) grantable(longest time.Duration) bool {
	returned := l.s.Returned[l.from.Name]
	late := returned.Incarnation == l.from.Incarnation && l.req.Number <= returned.Number
	return !l.req.Renewal && !late && l.req.Period > 0 && l.req.Period <= longest && l.covered()
}

// endsAt is when the lender may count the loan as its own again. The borrower
// counts from the sending of its request, which was earlier than now.
func (l *lender) endsAt() time.Time { return l.now.Add(l.req.Period + lease.Margin(l.req.Period)) }

// covered reports whether the loan ends while the lease hold lasts. Connection
// loans may last longer; see lendable.
func (l *lender) covered() bool {
	return l.req.Resource == Connections || !l.endsAt().After(l.hold.Until)
}

// extend moves the end of a loan. It never moves it to an earlier time.
func (l *lender) extend(record *state.Lent, longest time.Duration) bool {
	if l.req.Period <= 0 || l.req.Period > longest || !l.covered() {
		return false
	}
	if end := l.endsAt(); end.After(record.EndsAt) {
		record.EndsAt = end
	}
	return true
}

// keepsLending reports whether a loan may be extended: the lender's own demand
// is met by what it has and by the loans that it already refused to extend.
func (l *lender) keepsLending(c *state.CustomerShare, record *state.Lent) bool {
	coming := 0.0
	for i := range l.book.Lent {
		if l.book.Lent[i].Refused && &l.book.Lent[i] != record {
			coming += l.book.Lent[i].Rate
		}
	}
	needed := lendHeadroom * demandNow(&c.Demand, l.now)
	if l.s.Leaving {
		needed = 0
	}
	lent, _ := lentOut(l.book)
	record.Refused = lent > c.Base.Rate || c.Base.Rate-lent+coming < needed
	return !record.Refused
}

// spareRequests returns the rate and the burst that this VM can do without.
func spareRequests(s *state.Shares, c *state.CustomerShare, now time.Time) (rate, burst float64) {
	lentRate, lentBurst := lentOut(&c.Loans)
	demand := lendHeadroom * demandNow(&c.Demand, now)
	kept := float64(keptTokens) + waitingCost(c)
	if s.Leaving || now.Sub(c.Demand.LastArrival) > idleTime {
		demand, kept = 0, waitingCost(c)
	}
	rate = max(0, c.Base.Rate-lentRate-demand)
	if c.Limit.Rate > 0 {
		kept = max(kept, demand*c.Limit.Burst/c.Limit.Rate)
	}
	return rate, max(0, c.Base.Burst-lentBurst-kept)
}

// spareTokens returns the tokens in the bucket that this VM can do without.
func spareTokens(s *state.Shares, c *state.CustomerShare, now time.Time) float64 {
	lentRate, lentBurst := lentOut(&c.Loans)
	deficit := max(0, lendHeadroom*demandNow(&c.Demand, now)-max(0, c.Base.Rate-lentRate))
	kept := waitingCost(c) + deficit*tokenHorizon.Seconds()
	return max(0, min(c.Level, c.Base.Burst-lentBurst)-kept)
}

func (l *lender) lendRequests(c *state.CustomerShare, answer *LoanAnswer) {
	if l.req.Rate > 0 {
		l.lendRate(c, answer)
	} else {
		l.lendTokens(c, answer)
	}
	if answer.refused() {
		return
	}
	l.book.Lent = append(l.book.Lent, state.Lent{
		Borrower: l.from.Name, Incarnation: l.from.Incarnation, Number: l.req.Number,
		Rate: answer.Rate, Burst: answer.Burst, Tokens: answer.Tokens, EndsAt: l.endsAt(),
	})
	c.Level = min(c.Level-answer.Tokens, capacity(c))
}

// lendRate lends rate and burst, and the tokens that go with the burst.
func (l *lender) lendRate(c *state.CustomerShare, answer *LoanAnswer) {
	rate, burst := spareRequests(l.s, c, l.now)
	rate = min(rate, l.req.Rate)
	if rate < max(smallestRate, smallestPart*l.req.Rate) {
		return
	}
	answer.Rate = rate
	answer.Burst = min(burst, l.req.Burst)
	overflow := max(0, c.Level-(capacity(c)-answer.Burst))
	answer.Tokens = min(answer.Burst, max(overflow, spareTokens(l.s, c, l.now)))
}

// lendTokens lends whole tokens, or what was asked for if that is less than one.
// Fractions would be lost wherever a request cannot be made up from several.
func (l *lender) lendTokens(c *state.CustomerShare, answer *LoanAnswer) {
	spare := spareTokens(l.s, c, l.now)
	tokens := min(l.req.Burst, math.Floor(spare))
	if l.req.Burst < 1 && spare >= l.req.Burst {
		tokens = l.req.Burst
	}
	if tokens > 0 {
		answer.Burst, answer.Tokens = tokens, tokens
	}
	if missing := min(1, l.req.Burst-answer.Tokens) - (spare - answer.Tokens); missing > 0 {
		if r := rate(c) * refill; r > 0 {
			answer.RetryAfter = min(roundUp(missing/r), LoanPeriod)
		}
	}
}

// nextLoanEnd returns the earliest end of a loan.
func nextLoanEnd(b *state.LoanBook) (time.Time, bool) {
	var end time.Time
	found := false
	note := func(at time.Time) {
		if !found || at.Before(end) {
			end, found = at, true
		}
	}
	for i := range b.Lent {
		note(b.Lent[i].EndsAt)
	}
	for i := range b.Borrowed {
		note(b.Borrowed[i].EndsAt)
	}
	return end, found
}

// endNextLoan drops the loans that ended by the given time. It reports whether
// there were any.
func endNextLoan(s *state.Shares, b *state.LoanBook, at time.Time) bool {
	before := len(b.Lent) + len(b.Borrowed)
	b.Lent = slices.DeleteFunc(b.Lent, func(r state.Lent) bool { return !r.EndsAt.After(at) })
	b.Borrowed = slices.DeleteFunc(b.Borrowed, func(r state.Borrowed) bool {
		ended := !r.EndsAt.After(at)
		if ended {
			delete(s.Borrowed, r.Number)
			if r.Phase == state.LoanAsked {
				noteMiss(b, r.Lender, 0, at)
			}
		}
		return ended
	})
	return len(b.Lent)+len(b.Borrowed) < before
}
