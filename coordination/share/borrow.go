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
	// higher than borrowHeadroom so that loans do not go back and forth.
	returnHeadroom = 1.3
	// smallestDemand is the demand in requests a second from which rate is
	// borrowed. Below it, tokens are borrowed as requests need them: a rate spread
	// over many VMs fills buckets of about one token, and the rest is lost. With 8
	// instead of 30, a customer of 20 requests a second had 41 % instead of 11 % of
	// its requests delayed.
	smallestDemand = 30
	// A loan of tokens lasts tokenRoundTrips round trips to its lender, as measured
	// last, and firstTokenLoan while none is known.
	tokenRoundTrips   = 10
	shortestTokenLoan = 30 * time.Millisecond
	firstTokenLoan    = 200 * time.Millisecond
	// gainDominance and keepDominance are the parts of a customer's rate from
	// which a VM borrows, and down to which it keeps, the whole rate.
	gainDominance = 0.5
	keepDominance = 0.25
	// backlogTime is the time in which a borrower wants to serve the requests that
	// wait already.
	backlogTime = 200 * time.Millisecond
	// patience is how long a request waits for this VM's own tokens before tokens
	// are borrowed for it. A message and its answer take 2 to 3 ms.
	patience = 5 * time.Millisecond

	// resendAfter is when an unanswered request is sent again.
	resendAfter = 300 * time.Millisecond
	// giveUpAfter is when an unanswered request is given up.
	giveUpAfter = 800 * time.Millisecond
	// remoteAfter is how long demand is unmet before VMs of other data centres
	// are asked although some of the own one may still lend. With 1 s, requests
	// that a small remainder in the own data centre could not serve waited so long.
	remoteAfter = 50 * time.Millisecond
	// A VM that lent nothing is not asked again for firstBackoff, which doubles
	// with each miss up to searchBackoff. After searchMisses it goes on doubling up
	// to lastBackoff: by then, loans to a VM that a demand has left are returned.
	firstBackoff  = 50 * time.Millisecond
	searchBackoff = 200 * time.Millisecond
	searchMisses  = 6
	lastBackoff   = 2 * time.Second
	// answerTime is how long an answer is counted on. Afterwards other VMs are
	// asked as well.
	answerTime = 100 * time.Millisecond
)

// Receive handles an answer to a loan request that was sent at sentAt, which
// must not be later than the moment of sending: the use of the loan is counted
// from it. It reports whether Advance should be called at once.
func Receive(tables *state.Tables, answer LoanAnswer, from Peer, sentAt, now time.Time) bool {
	hold := tables.Lease.Hold()
	advanceNow := false
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		ref, known := s.Borrowed[answer.Number]
		if !known {
			return
		}
		var book *state.LoanBook
		tokens := func(float64) {}
		if ref.Connections {
			book = &s.Servers[ref.Name].Loans
			for endNextLoan(s, book, now) {
			}
		} else {
			c := s.Customers[ref.Name]
			book = &c.Loans
			advance(s, c, hold, now)
			tokens = func(n float64) { c.Level = min(capacity(c), c.Level+n) }
		}
		if receive(s, book, answer, from, sentAt, now, tokens) {
			planAt(book, now)
			advanceNow = true
		}
	})
	return advanceNow
}

// receive applies an answer to the loan that it belongs to, if there still is
// one. Answers to loans that have ended are ignored: their tokens may have been
// spent.
func receive(s *state.Shares, b *state.LoanBook, a LoanAnswer, from Peer, sentAt, now time.Time, tokens func(float64)) bool {
	i := slices.IndexFunc(b.Borrowed, func(r state.Borrowed) bool {
		return r.Number == a.Number && r.Lender == from.Name
	})
	if i < 0 {
		return false
	}
	r := &b.Borrowed[i]
	end := sentAt.Add(r.Period)
	note(b, r.Lender).RoundTrip = now.Sub(sentAt)
	if r.Phase != state.LoanAsked {
		return renewed(b, r, a, from, end)
	}
	if a.refused() || !end.After(now) {
		noteMiss(b, r.Lender, a.RetryAfter, now)
		forget(s, b, i)
		return true
	}
	noteHit(b, r, a, now)
	r.Phase, r.Incarnation, r.EndsAt, r.Attempts = state.LoanActive, from.Incarnation, end, 0
	r.Rate, r.Burst, r.Units = a.Rate, a.Burst, a.Units
	tokens(a.Tokens)
	return true
}

// renewed applies an answer to a renewal. Another process of the lender's name
// does not know the loan; what it says does not concern it.
func renewed(b *state.LoanBook, r *state.Borrowed, a LoanAnswer, from Peer, end time.Time) bool {
	if from.Incarnation != r.Incarnation {
		return false
	}
	if a.refused() {
		r.Final = true
		return false
	}
	if end.After(r.EndsAt) {
		r.EndsAt, r.Attempts = end, 0
	}
	return false
}

func forget(s *state.Shares, b *state.LoanBook, i int) {
	delete(s.Borrowed, b.Borrowed[i].Number)
	b.Borrowed = slices.Delete(b.Borrowed, i, i+1)
}

func note(b *state.LoanBook, vm string) *state.LenderNote {
	if b.Notes == nil {
		b.Notes = make(map[string]*state.LenderNote)
	}
	n := b.Notes[vm]
	if n == nil {
		n = &state.LenderNote{}
		b.Notes[vm] = n
	}
	return n
}

// noteMiss remembers that a VM lent nothing, and not to ask it again too soon.
func noteMiss(b *state.LoanBook, vm string, hint time.Duration, now time.Time) {
	n := note(b, vm)
	if now.Sub(n.Until) > lastBackoff {
		n.Misses = 0
	}
	backoff := min(firstBackoff<<min(n.Misses, 10), searchBackoff)
	if n.Misses > searchMisses {
		backoff = min(searchBackoff<<min(n.Misses-searchMisses, 10), lastBackoff)
	}
	if hint > 0 {
		backoff = min(max(hint, patience), searchBackoff)
	}
	n.Misses++
	n.Spare = 0
	n.Until = now.Add(backoff)
}

// noteHit remembers what a lender has left.
func noteHit(b *state.LoanBook, r *state.Borrowed, a LoanAnswer, now time.Time) {
	n := note(b, r.Lender)
	n.Misses = 0
	n.Spare = a.Spare
	n.Until = now
	if a.Rate < r.Rate/2 || a.Tokens < r.Tokens || a.Units < r.Units {
		n.Until = now.Add(firstBackoff)
		if a.RetryAfter > 0 {
			n.Until = now.Add(min(max(a.RetryAfter, patience), searchBackoff))
		}
	}
}

// returnRequests gives back loans of rate that the demand no longer needs.
func (p *planner) returnRequests(c *state.CustomerShare) {
	demand := demandNow(&c.Demand, p.now)
	switch {
	case dominates(c, demand):
		demand = c.Limit.Rate
	case demand < smallestDemand/2:
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
			p.returnLoan(c, i)
		}
	}
}

// returnLoan stops using a loan and sends back the tokens that no longer fit.
func (p *planner) returnLoan(c *state.CustomerShare, i int) {
	tokens := max(0, c.Level-(capacity(c)-c.Loans.Borrowed[i].Burst))
	tokens = min(tokens, c.Loans.Borrowed[i].Burst)
	p.giveBack(&c.Loans, i, LoanRequest{Resource: Requests, Name: c.Name, Tokens: tokens})
	c.Level = min(c.Level, capacity(c))
}

// renewRequests extends the loans of rate that are still in use.
func (p *planner) renewRequests(c *state.CustomerShare) {
	b := &c.Loans
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanActive && r.Rate > 0 && p.wantsRenewal(r) {
			p.send(b, r, LoanRequest{Resource: Requests, Name: c.Name, Rate: r.Rate, Burst: r.Burst, Renewal: true})
		}
	}
}

// dominates reports whether most of the customer's demand comes to this VM. It
// then borrows all that there is, since nobody else can make better use of it.
func dominates(c *state.CustomerShare, demand float64) bool {
	if c.Limit.Rate >= 2*smallestDemand {
		return false
	}
	if slices.ContainsFunc(c.Loans.Borrowed, func(r state.Borrowed) bool { return r.Rate > 0 }) {
		return demand > keepDominance*c.Limit.Rate
	}
	return demand > gainDominance*c.Limit.Rate
}

// missing returns the rate and the tokens that the customer's demand lacks,
// beyond what was asked for already.
func missing(c *state.CustomerShare, now time.Time) (shortRate, shortTokens float64) {
	waiting := waitingCost(c)
	shortTokens = waiting - c.Level
	demand := demandNow(&c.Demand, now)
	wanted := min(c.Limit.Rate, borrowHeadroom*demand+waiting/backlogTime.Seconds())
	if dominates(c, demand) {
		wanted = c.Limit.Rate
	}
	shortRate = wanted - rate(c)
	for i := range c.Loans.Borrowed {
		if r := &c.Loans.Borrowed[i]; countedOn(r, now) {
			shortRate -= r.Rate
			shortTokens -= r.Tokens
		}
	}
	low := waiting > 0 || c.Level < capacity(c)/2
	if !low || wanted < min(smallestDemand, c.Limit.Rate) || shortRate < smallestRate {
		shortRate = 0
	}
	if at, ok := viewOf(c).payableAt(waiting, 1, now); ok && at.Sub(now) <= patience {
		shortTokens = 0
	}
	return shortRate, max(0, shortTokens)
}

// countedOn reports whether a loan was asked for and may be expected soon.
func countedOn(r *state.Borrowed, now time.Time) bool {
	return r.Phase == state.LoanAsked && now.Sub(r.AskedAt) < answerTime
}

// borrowRequests asks for rate and burst, or for tokens alone.
func (p *planner) borrowRequests(c *state.CustomerShare) {
	shortRate, shortTokens := missing(c, p.now)
	p.noteUnmet(&c.Loans, shortRate > 0 || shortTokens > 0)
	if shortRate <= 0 && shortTokens <= 0 || p.s.Leaving {
		return
	}
	b := &c.Loans
	if b.Holders == nil {
		b.Holders = p.holders(c.Name)
	}
	for _, h := range p.candidates(b) {
		switch {
		case shortRate > 0:
			r := min(shortRate, h.Share.Rate)
			burst := min(h.Share.Burst, max(shortTokens, r*c.Limit.Burst/c.Limit.Rate))
			tokens := min(burst, max(0, shortTokens))
			p.ask(b, h, LoanRequest{Resource: Requests, Name: c.Name, Rate: r, Burst: burst, Tokens: tokens, Period: LoanPeriod})
			shortRate -= r
			shortTokens -= tokens
		case shortTokens > 0:
			tokens := min(shortTokens, h.Share.Burst)
			p.ask(b, h, LoanRequest{Resource: Requests, Name: c.Name, Burst: tokens, Tokens: tokens, Period: tokenPeriod(b.Notes[h.VM])})
			shortTokens -= tokens
		}
	}
}

// tokenPeriod is how long a loan of tokens is asked for.
func tokenPeriod(n *state.LenderNote) time.Duration {
	if n == nil || n.RoundTrip == 0 {
		return firstTokenLoan
	}
	return min(max(tokenRoundTrips*n.RoundTrip, shortestTokenLoan), longestTokenLoan)
}

func (p *planner) holders(customer string) []state.Holder {
	c := p.config().Customers[customer]
	if c == nil {
		return []state.Holder{}
	}
	return p.layout().requestHolders(c, p.tables.Self.Name, p.tables.Self.DataCentre)
}
