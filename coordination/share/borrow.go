package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// borrowHeadroom is the multiple of its demand that a borrower asks for.
	borrowHeadroom = 1.1
	// returnHeadroom is the multiple of its demand that a borrower keeps. It is
	// higher than borrowHeadroom so that loans do not oscillate.
	returnHeadroom = 1.3
	// minBorrowDemand is the demand in requests per second from which rate is
	// borrowed. Below it, only tokens are borrowed, as requests need them: a rate
	// spread over many VMs fills buckets with a capacity of about one token, and the
	// excess is lost. With 8, 41 % of the requests of a customer with 20 requests per
	// second are delayed; with 30, 11 %.
	minBorrowDemand = 30
	// A loan of tokens lasts tokenLoanRoundTrips times the latest round trip to the
	// lender, but at least minTokenLoan, and defaultTokenLoan if no round trip is
	// known.
	tokenLoanRoundTrips = 10
	minTokenLoan        = 30 * time.Millisecond
	defaultTokenLoan    = 200 * time.Millisecond
	// A VM borrows the whole rate of a customer with a rate below 2*minBorrowDemand if
	// its demand exceeds the fraction dominanceStart of that rate, and stops doing so at
	// the fraction dominanceEnd.
	dominanceStart = 0.5
	dominanceEnd   = 0.25
	// backlogDrainTime is the time in which a borrower aims to serve the requests that
	// are already waiting.
	backlogDrainTime = 200 * time.Millisecond
	// localTokenWait is how long a request waits for this VM's own tokens before
	// tokens are borrowed for it. A message and its answer take 2 to 3 ms. It is also
	// the minimum back-off from a lender that proposed a delay.
	localTokenWait = 5 * time.Millisecond

	// resendTimeout is the time after which an unanswered request is sent again.
	resendTimeout = 300 * time.Millisecond
	// loanRequestTimeout is the time after which an unanswered request is abandoned.
	loanRequestTimeout = 800 * time.Millisecond
	// remoteBorrowDelay is how long demand is unmet before VMs of other data centres
	// are asked although some in the local one may still lend. With 1 s, requests would
	// wait that long if the local data centre has only a small remainder to lend.
	remoteBorrowDelay = 50 * time.Millisecond
	// A VM that lent nothing is not asked again for minBackoff. The back-off doubles
	// with each consecutive refusal up to earlyMaxBackoff, and further up to maxBackoff
	// if more than earlyRefusals refusals came before: by then, the loans to a VM that
	// demand has moved away from have been returned.
	minBackoff      = 50 * time.Millisecond
	earlyMaxBackoff = 200 * time.Millisecond
	earlyRefusals   = 6
	maxBackoff      = 2 * time.Second
	// expectedAnswerTime is how long the amount of an unanswered request counts as
	// expected. Afterwards other VMs are asked as well.
	expectedAnswerTime = 100 * time.Millisecond
)

// Receive applies an answer to a loan request that was sent at sentAt. sentAt must not
// be later than the moment of sending, because the period of the loan is counted from
// it. Receive reports whether Advance should be called at once.
func Receive(tables *state.Tables, answer LoanAnswer, from Peer, sentAt, now time.Time) bool {
	hold := tables.Lease.Hold()
	advanceNow := false
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		ref, known := s.Borrowed[answer.Number]
		if !known {
			return
		}
		var book *state.LoanBook
		tokens := func(float64) {}
		if ref.Connections {
			book = &s.Servers[ref.Name].Loans
			for expireLoans(s, book, now) {
			}
		} else {
			c := s.Customers[ref.Name]
			book = &c.Loans
			advance(s, c, hold, now)
			tokens = func(n float64) { c.Level = min(capacity(c), c.Level+n) }
		}
		if applyAnswer(s, book, answer, from, sentAt, now, tokens) {
			schedulePlan(book, now)
			advanceNow = true
		}
	})
	return advanceNow
}

// applyAnswer applies an answer to its loan and reports whether loans should be
// planned again. Answers to loans that have ended are ignored, because their tokens
// may have been spent.
func applyAnswer(s *state.Shares, b *state.LoanBook, a LoanAnswer, from Peer, sentAt, now time.Time, tokens func(float64)) bool {
	i := slices.IndexFunc(b.Borrowed, func(r state.BorrowedLoan) bool {
		return r.Number == a.Number && r.Lender == from.Name
	})
	if i < 0 {
		return false
	}
	r := &b.Borrowed[i]
	end := sentAt.Add(r.Period)
	lenderStats(b, r.Lender).RoundTrip = now.Sub(sentAt)
	if r.Phase != state.LoanRequested {
		return applyRenewal(b, r, a, from, end)
	}
	if a.refused() || !end.After(now) {
		recordRefusal(b, r.Lender, a.RetryAfter, now)
		removeBorrowed(s, b, i)
		return true
	}
	recordGrant(b, r, a, now)
	r.Phase, r.Incarnation, r.EndsAt, r.Attempts = state.LoanActive, from.Incarnation, end, 0
	r.Rate, r.Burst, r.Units = a.Rate, a.Burst, a.Units
	tokens(a.Tokens)
	return true
}

// applyRenewal applies an answer to a renewal. An answer from another process with
// the lender's name is ignored: that process does not know the loan.
func applyRenewal(b *state.LoanBook, r *state.BorrowedLoan, a LoanAnswer, from Peer, end time.Time) bool {
	if from.Incarnation != r.Incarnation {
		return false
	}
	if a.refused() {
		r.NotRenewable = true
		return false
	}
	if end.After(r.EndsAt) {
		r.EndsAt, r.Attempts = end, 0
	}
	return false
}

// removeBorrowed removes the i-th loan that this VM asked for or uses.
func removeBorrowed(s *state.Shares, b *state.LoanBook, i int) {
	delete(s.Borrowed, b.Borrowed[i].Number)
	b.Borrowed = slices.Delete(b.Borrowed, i, i+1)
}

// lenderStats returns this VM's record of a lender, creating it if needed.
func lenderStats(b *state.LoanBook, vm string) *state.LenderStats {
	if b.LenderStats == nil {
		b.LenderStats = make(map[string]*state.LenderStats)
	}
	stats := b.LenderStats[vm]
	if stats == nil {
		stats = &state.LenderStats{}
		b.LenderStats[vm] = stats
	}
	return stats
}

// recordRefusal records that a VM lent nothing, and backs off from it. hint is the
// delay that the lender proposed, or zero.
func recordRefusal(b *state.LoanBook, vm string, hint time.Duration, now time.Time) {
	stats := lenderStats(b, vm)
	if now.Sub(stats.RetryAfter) > maxBackoff {
		stats.Refusals = 0
	}
	backoff := min(minBackoff<<min(stats.Refusals, 10), earlyMaxBackoff)
	if stats.Refusals > earlyRefusals {
		backoff = min(earlyMaxBackoff<<min(stats.Refusals-earlyRefusals, 10), maxBackoff)
	}
	if hint > 0 {
		backoff = min(max(hint, localTokenWait), earlyMaxBackoff)
	}
	stats.Refusals++
	stats.Spare = 0
	stats.RetryAfter = now.Add(backoff)
}

// recordGrant records what a lender can still lend, and backs off from it if it lent
// less than requested.
func recordGrant(b *state.LoanBook, r *state.BorrowedLoan, a LoanAnswer, now time.Time) {
	stats := lenderStats(b, r.Lender)
	stats.Refusals = 0
	stats.Spare = a.Spare
	stats.RetryAfter = now
	if a.Rate < r.Rate/2 || a.Tokens < r.Tokens || a.Units < r.Units {
		stats.RetryAfter = now.Add(minBackoff)
		if a.RetryAfter > 0 {
			stats.RetryAfter = now.Add(min(max(a.RetryAfter, localTokenWait), earlyMaxBackoff))
		}
	}
}

// returnRateLoans returns loans of rate that the demand no longer needs.
func (p *planner) returnRateLoans(c *state.CustomerShare) {
	demand := currentDemand(&c.Demand, p.now)
	switch {
	case hasDominantDemand(c, demand):
		demand = c.Limit.Rate
	case demand < minBorrowDemand/2:
		demand = 0
	}
	demand *= returnHeadroom
	b := &c.Loans
	for i := len(b.Borrowed) - 1; i >= 0; i-- {
		r := b.Borrowed[i]
		if r.Phase != state.LoanActive || r.Rate == 0 {
			continue
		}
		if p.s.Leaving || len(c.Waiters) == 0 && rate(c)-r.Rate >= demand {
			p.returnRateLoan(c, i)
		}
	}
}

// returnRateLoan returns a loan together with the tokens that no longer fit into the
// bucket.
func (p *planner) returnRateLoan(c *state.CustomerShare, i int) {
	tokens := max(0, c.Level-(capacity(c)-c.Loans.Borrowed[i].Burst))
	tokens = min(tokens, c.Loans.Borrowed[i].Burst)
	p.returnLoan(&c.Loans, i, LoanRequest{Resource: Requests, Name: c.Name, Tokens: tokens})
	c.Level = min(c.Level, capacity(c))
}

// renewRateLoans renews the loans of rate that are still in use.
func (p *planner) renewRateLoans(c *state.CustomerShare) {
	b := &c.Loans
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanActive && r.Rate > 0 && p.renewalDue(r) {
			p.sendRequest(b, r, LoanRequest{Resource: Requests, Name: c.Name, Rate: r.Rate, Burst: r.Burst, Renewal: true})
		}
	}
}

// hasDominantDemand reports whether the demand at this VM is so large a fraction of the
// customer's rate (see dominanceStart) that it borrows the whole rate, since no other VM
// has more use for it. It is never so for customers with a rate of 2*minBorrowDemand or
// more.
func hasDominantDemand(c *state.CustomerShare, demand float64) bool {
	if c.Limit.Rate >= 2*minBorrowDemand {
		return false
	}
	if slices.ContainsFunc(c.Loans.Borrowed, func(r state.BorrowedLoan) bool { return r.Rate > 0 }) {
		return demand > dominanceEnd*c.Limit.Rate
	}
	return demand > dominanceStart*c.Limit.Rate
}

// shortfall returns the rate and the tokens that the customer's demand lacks, less
// what has been requested and is still expected.
func shortfall(c *state.CustomerShare, now time.Time) (shortRate, shortTokens float64) {
	waiting := waitingCost(c)
	shortTokens = waiting - c.Level
	demand := currentDemand(&c.Demand, now)
	wanted := min(c.Limit.Rate, borrowHeadroom*demand+waiting/backlogDrainTime.Seconds())
	if hasDominantDemand(c, demand) {
		wanted = c.Limit.Rate
	}
	shortRate = wanted - rate(c)
	for i := range c.Loans.Borrowed {
		if r := &c.Loans.Borrowed[i]; answerExpected(r, now) {
			shortRate -= r.Rate
			shortTokens -= r.Tokens
		}
	}
	low := waiting > 0 || c.Level < capacity(c)/2
	if !low || wanted < min(minBorrowDemand, c.Limit.Rate) || shortRate < minLoanRate {
		shortRate = 0
	}
	if at, ok := snapshotBucket(c).affordableAt(waiting, 1, now); ok && at.Sub(now) <= localTokenWait {
		shortTokens = 0
	}
	return shortRate, max(0, shortTokens)
}

// answerExpected reports whether a loan was requested and an answer is expected soon.
func answerExpected(r *state.BorrowedLoan, now time.Time) bool {
	return r.Phase == state.LoanRequested && now.Sub(r.RequestedAt) < expectedAnswerTime
}

// borrowRateAndTokens requests loans of rate and burst, or of tokens alone.
func (p *planner) borrowRateAndTokens(c *state.CustomerShare) {
	shortRate, shortTokens := shortfall(c, p.now)
	p.trackUnmetDemand(&c.Loans, shortRate > 0 || shortTokens > 0)
	if shortRate <= 0 && shortTokens <= 0 || p.s.Leaving {
		return
	}
	b := &c.Loans
	if b.LenderCandidates == nil {
		b.LenderCandidates = p.lendersFor(c.Name)
	}
	for _, lender := range p.candidates(b) {
		switch {
		case shortRate > 0:
			r := min(shortRate, lender.Share.Rate)
			burst := min(lender.Share.Burst, max(shortTokens, r*c.Limit.Burst/c.Limit.Rate))
			tokens := min(burst, max(0, shortTokens))
			p.requestLoan(b, lender, LoanRequest{Resource: Requests, Name: c.Name, Rate: r, Burst: burst, Tokens: tokens, Period: LoanPeriod})
			shortRate -= r
			shortTokens -= tokens
		case shortTokens > 0:
			tokens := min(shortTokens, lender.Share.Burst)
			p.requestLoan(b, lender, LoanRequest{Resource: Requests, Name: c.Name, Burst: tokens, Tokens: tokens, Period: tokenLoanPeriod(b.LenderStats[lender.VM])})
			shortTokens -= tokens
		}
	}
}

// tokenLoanPeriod returns the period to request for a loan of tokens.
func tokenLoanPeriod(stats *state.LenderStats) time.Duration {
	if stats == nil || stats.RoundTrip == 0 {
		return defaultTokenLoan
	}
	return min(max(tokenLoanRoundTrips*stats.RoundTrip, minTokenLoan), maxTokenLoan)
}

// lendersFor returns the possible lenders of a customer's limit.
func (p *planner) lendersFor(customer string) []state.LenderCandidate {
	c := p.config().Customers[customer]
	if c == nil {
		return []state.LenderCandidate{}
	}
	return p.topology().requestLenders(c, p.tables.Self.Name, p.tables.Self.DataCentre)
}
