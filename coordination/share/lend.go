package share

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// LoanPeriod is the duration of a loan of rate and burst. The loan has to end,
	// margin included, within the lender's lease hold: afterwards another process
	// with the lender's name may spend from the same base share.
	LoanPeriod = 2 * time.Second
	// maxTokenLoan is the longest duration of a loan of tokens without rate. Such a
	// loan serves requests that are already waiting, and reduces the capacity of the
	// lender's bucket until it ends, so borrowers ask for a few round trips only.
	maxTokenLoan = 500 * time.Millisecond
	// tokenReserveTime is the time for which a lender reserves the tokens that its own
	// demand needs in excess of its rate.
	tokenReserveTime = 100 * time.Millisecond
	// ConnectionLoanPeriod is the duration of a loan of connections.
	ConnectionLoanPeriod = 5 * time.Second

	// lendHeadroom is the multiple of its own demand that a lender reserves.
	lendHeadroom = 1.2
	// reservedTokens is the part of the burst that a lender does not lend, so that its
	// own next request need not wait.
	reservedTokens = 1
	// idleTimeout is the time without a request of a customer after which a VM
	// reserves nothing for the customer's next one.
	idleTimeout = 5 * time.Second
	// minLoanRate is the minimum rate of a loan in requests per second.
	minLoanRate = 0.5
	// minLoanFraction is the minimum fraction of the requested rate that is lent.
	// Smaller loans would split a share into many while demand decays.
	minLoanFraction = 0.25
)

// Grant answers a loan request. It subtracts the loan from this VM's own share before
// it returns. For connections the caller must apply ConnectionLimit before it sends
// the answer.
func Grant(tables *state.Tables, req LoanRequest, from Peer, now time.Time) LoanAnswer {
	hold := tables.Lease.Hold()
	answer := LoanAnswer{Number: req.Number}
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		h := grantHandler{s: s, hold: hold, now: now, from: from, req: req}
		switch {
		case s.Static || !hold.Valid(now):
		case req.Resource == Requests && s.Customers[req.Name] != nil:
			c := s.Customers[req.Name]
			advance(s, c, hold, now)
			h.book = &c.Loans
			h.answerRequests(c, &answer)
		case req.Resource == Connections && s.Servers[req.Name] != nil:
			c := s.Servers[req.Name]
			for expireLoans(s, &c.Loans, now) {
			}
			h.book = &c.Loans
			h.answerConnections(c, &answer)
		}
	})
	return answer
}

// grantHandler holds the state for answering one loan request.
type grantHandler struct {
	s    *state.Shares
	book *state.LoanBook
	hold state.LeaseHold
	now  time.Time
	from Peer
	req  LoanRequest
}

// answerRequests answers a request for a loan of rate, burst or tokens.
func (h *grantHandler) answerRequests(c *state.CustomerShare, answer *LoanAnswer) {
	record := h.lentRecord()
	switch {
	case h.req.Return:
		if record != nil {
			tokens := max(0, min(h.req.Tokens, record.Burst))
			h.removeReturnedLoan()
			c.Level = min(capacity(c), c.Level+tokens)
		}
	case record != nil:
		if h.mayRenewRequests(c, record) && h.renew(record, LoanPeriod) {
			answer.Rate, answer.Burst, answer.Tokens = record.Rate, record.Burst, record.Tokens
		}
	case h.mayGrant(LoanPeriod):
		h.lendRequests(c, answer)
	}
	rate, _ := spareRate(h.s, c, h.now)
	answer.Spare = rate
}

// lentRecord returns this VM's record of the loan, or nil.
func (h *grantHandler) lentRecord() *state.GrantedLoan {
	for i := range h.book.Lent {
		r := &h.book.Lent[i]
		if r.Borrower == h.from.Name && r.Incarnation == h.from.Incarnation && r.Number == h.req.Number {
			return r
		}
	}
	return nil
}

// removeReturnedLoan removes a loan that its borrower returned. The number is
// recorded, so that a delayed copy of the request does not start the loan again.
func (h *grantHandler) removeReturnedLoan() {
	h.book.Lent = slices.DeleteFunc(h.book.Lent, func(r state.GrantedLoan) bool {
		return r.Borrower == h.from.Name && r.Incarnation == h.from.Incarnation && r.Number == h.req.Number
	})
	returned := h.s.Returned[h.from.Name]
	if returned.Incarnation != h.from.Incarnation {
		returned = state.ReturnedLoans{Incarnation: h.from.Incarnation}
	}
	returned.Number = max(returned.Number, h.req.Number)
	h.s.Returned[h.from.Name] = returned
}

// mayGrant reports whether a new loan of the requested period may be granted.
func (h *grantHandler) mayGrant(longest time.Duration) bool {
	returned := h.s.Returned[h.from.Name]
	late := returned.Incarnation == h.from.Incarnation && h.req.Number <= returned.Number
	return !h.req.Renewal && !late && h.req.Period > 0 && h.req.Period <= longest && h.coveredByHold()
}

// endsAt returns when the lender may reclaim the loan. The borrower counts the period
// from the sending of its request, which was earlier than now.
func (h *grantHandler) endsAt() time.Time {
	return h.now.Add(h.req.Period + lease.Margin(h.req.Period))
}

// coveredByHold reports whether the loan ends within the lease hold. Loans of
// connections need not; see lendableConnections.
func (h *grantHandler) coveredByHold() bool {
	return h.req.Resource == Connections || !h.endsAt().After(h.hold.Until)
}

// renew moves the end of a loan. It never moves the end to an earlier time.
func (h *grantHandler) renew(record *state.GrantedLoan, longest time.Duration) bool {
	if h.req.Period <= 0 || h.req.Period > longest || !h.coveredByHold() {
		return false
	}
	if end := h.endsAt(); end.After(record.EndsAt) {
		record.EndsAt = end
	}
	return true
}

// mayRenewRequests reports whether a loan may be renewed, which requires that the
// lender's own demand is met by its remaining share and by the loans that it has
// already refused to renew. It records the result in record.Refused.
func (h *grantHandler) mayRenewRequests(c *state.CustomerShare, record *state.GrantedLoan) bool {
	returning := 0.0
	for i := range h.book.Lent {
		if h.book.Lent[i].Refused && &h.book.Lent[i] != record {
			returning += h.book.Lent[i].Rate
		}
	}
	needed := lendHeadroom * currentDemand(&c.Demand, h.now)
	if h.s.Leaving {
		needed = 0
	}
	lent, _ := totalLent(h.book)
	record.Refused = lent > c.Base.Rate || c.Base.Rate-lent+returning < needed
	return !record.Refused
}

// spareRate returns the rate and the burst that this VM can lend.
func spareRate(s *state.Shares, c *state.CustomerShare, now time.Time) (rate, burst float64) {
	lentRate, lentBurst := totalLent(&c.Loans)
	demand := lendHeadroom * currentDemand(&c.Demand, now)
	kept := float64(reservedTokens) + waitingCost(c)
	if s.Leaving || now.Sub(c.Demand.LastArrival) > idleTimeout {
		demand, kept = 0, waitingCost(c)
	}
	rate = max(0, c.Base.Rate-lentRate-demand)
	if c.Limit.Rate > 0 {
		kept = max(kept, demand*c.Limit.Burst/c.Limit.Rate)
	}
	return rate, max(0, c.Base.Burst-lentBurst-kept)
}

// spareTokens returns the tokens in the bucket that this VM can lend.
func spareTokens(s *state.Shares, c *state.CustomerShare, now time.Time) float64 {
	lentRate, lentBurst := totalLent(&c.Loans)
	deficit := max(0, lendHeadroom*currentDemand(&c.Demand, now)-max(0, c.Base.Rate-lentRate))
	kept := waitingCost(c) + deficit*tokenReserveTime.Seconds()
	return max(0, min(c.Level, c.Base.Burst-lentBurst)-kept)
}

// lendRequests grants a new loan and records it.
func (h *grantHandler) lendRequests(c *state.CustomerShare, answer *LoanAnswer) {
	if h.req.Rate > 0 {
		h.lendRate(c, answer)
	} else {
		h.lendTokens(c, answer)
	}
	if answer.refused() {
		return
	}
	h.book.Lent = append(h.book.Lent, state.GrantedLoan{
		Borrower: h.from.Name, Incarnation: h.from.Incarnation, Number: h.req.Number,
		Rate: answer.Rate, Burst: answer.Burst, Tokens: answer.Tokens, EndsAt: h.endsAt(),
	})
	c.Level = min(c.Level-answer.Tokens, capacity(c))
}

// lendRate lends rate and burst, and spare tokens up to that burst.
func (h *grantHandler) lendRate(c *state.CustomerShare, answer *LoanAnswer) {
	rate, burst := spareRate(h.s, c, h.now)
	rate = min(rate, h.req.Rate)
	if rate < max(minLoanRate, minLoanFraction*h.req.Rate) {
		return
	}
	answer.Rate = rate
	answer.Burst = min(burst, h.req.Burst)
	overflow := max(0, c.Level-(capacity(c)-answer.Burst))
	answer.Tokens = min(answer.Burst, max(overflow, spareTokens(h.s, c, h.now)))
}

// lendTokens lends whole tokens, or what was asked for if that is less than one.
// Fractions would be lost if a request cannot be paid from several loans.
func (h *grantHandler) lendTokens(c *state.CustomerShare, answer *LoanAnswer) {
	spare := spareTokens(h.s, c, h.now)
	tokens := min(h.req.Burst, math.Floor(spare))
	if h.req.Burst < 1 && spare >= h.req.Burst {
		tokens = h.req.Burst
	}
	if tokens > 0 {
		answer.Burst, answer.Tokens = tokens, tokens
	}
	if missing := min(1, h.req.Burst-answer.Tokens) - (spare - answer.Tokens); missing > 0 {
		if r := rate(c) * refillFactor; r > 0 {
			answer.RetryAfter = min(ceilDuration(missing/r), LoanPeriod)
		}
	}
}

// nextLoanEnd returns the earliest end of a loan.
func nextLoanEnd(b *state.LoanBook) (time.Time, bool) {
	var end time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(end) {
			end, found = at, true
		}
	}
	for i := range b.Lent {
		consider(b.Lent[i].EndsAt)
	}
	for i := range b.Borrowed {
		consider(b.Borrowed[i].EndsAt)
	}
	return end, found
}

// expireLoans removes the loans that have ended by the given time. It reports whether
// there were any.
func expireLoans(s *state.Shares, b *state.LoanBook, at time.Time) bool {
	before := len(b.Lent) + len(b.Borrowed)
	b.Lent = slices.DeleteFunc(b.Lent, func(r state.GrantedLoan) bool { return !r.EndsAt.After(at) })
	b.Borrowed = slices.DeleteFunc(b.Borrowed, func(r state.BorrowedLoan) bool {
		ended := !r.EndsAt.After(at)
		if ended {
			delete(s.Borrowed, r.Number)
			if r.Phase == state.LoanRequested {
				recordRefusal(b, r.Lender, 0, at)
			}
		}
		return ended
	})
	return len(b.Lent)+len(b.Borrowed) < before
}
