package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// planInterval is how often loans in use and unmet demand are checked.
	planInterval = 50 * time.Millisecond
	// minPlanInterval keeps a timer from firing again immediately.
	minPlanInterval = time.Millisecond
)

// Effects is what the caller of Advance has to do.
type Effects struct {
	Decisions []Decision // on waiting requests
	Batches   []Batch    // one message each, to be sent now; pass the answers to Receive
	Next      time.Time  // when to call Advance again; zero if nothing is pending
}

// Advance decides on waiting requests, and on the loans to request, renew and return.
// It has to be called when another function of this package asks for it, and at the
// time in the latest Effects.Next. now must not be later than the moment at which the
// messages are sent.
func Advance(tables *state.Tables, now time.Time) Effects {
	hold := tables.Lease.Hold()
	var effects Effects
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		p := planner{tables: tables, s: s, hold: hold, now: now, requestCount: make(map[string]int)}
		for _, c := range s.Customers {
			if planDue(&c.Loans, now) {
				p.planCustomer(c)
			}
			p.updateNext(&c.Loans, c.Loans.NextPlanAt)
		}
		for _, c := range s.Servers {
			if planDue(&c.Loans, now) {
				p.planConnections(c)
			}
			p.updateNext(&c.Loans, c.Loans.NextPlanAt)
		}
		effects = p.effects
	})
	return effects
}

// Drain makes this VM lend everything that it does not use itself, and return
// what it borrowed. The caller has to go on calling Advance and Grant for one
// LoanPeriod.
func Drain(t *state.ShareTable, now time.Time) {
	t.With(func(s *state.Shares) {
		s.Leaving = true
		for _, c := range s.Customers {
			schedulePlan(&c.Loans, now)
		}
		for _, c := range s.Servers {
			schedulePlan(&c.Loans, now)
		}
	})
}

// planner collects the effects of one call of Advance.
type planner struct {
	tables         *state.Tables
	s              *state.Shares
	hold           state.LeaseHold
	now            time.Time
	effects        Effects
	requestCount   map[string]int // loan requests in the message to each VM
	cachedTopology *topology
}

func (p *planner) config() *state.Config { return p.s.Tickets[len(p.s.Tickets)-1].Config }

func (p *planner) topology() topology {
	if p.cachedTopology == nil {
		t := newTopology(p.config(), p.s.Static)
		p.cachedTopology = &t
	}
	return *p.cachedTopology
}

// planDue reports whether the loans have to be planned now.
func planDue(b *state.LoanBook, now time.Time) bool {
	return !b.NextPlanAt.IsZero() && !b.NextPlanAt.After(now)
}

// schedulePlan makes Advance plan the loans at the given time at the latest.
func schedulePlan(b *state.LoanBook, at time.Time) {
	if b.NextPlanAt.IsZero() || at.Before(b.NextPlanAt) {
		b.NextPlanAt = at
	}
}

// planForArrival returns when Advance has to be called after a request of a customer,
// or zero if it need not be. It has to be if the request waits, or if the bucket is
// less than half full and the demand is high enough to borrow rate.
func planForArrival(s *state.Shares, c *state.CustomerShare, now time.Time) time.Time {
	at := now
	switch len(c.Waiters) {
	case 0:
		recent := now.Sub(c.Loans.LastPlanAt) < planInterval
		if s.Static || recent || c.Level >= capacity(c)/2 || currentDemand(&c.Demand, now) < minBorrowDemand {
			return time.Time{}
		}
	case 1:
	default:
		if next := c.Loans.LastPlanAt.Add(waitingPlanInterval); next.After(now) {
			at = next
		}
	}
	if due := c.Loans.NextPlanAt; !due.IsZero() && !due.After(at) {
		return time.Time{} // already scheduled
	}
	schedulePlan(&c.Loans, at)
	return at
}

// planCustomer decides on waiting requests of a customer and plans its loans.
func (p *planner) planCustomer(c *state.CustomerShare) {
	b := &c.Loans
	b.NextPlanAt, b.LastPlanAt = time.Time{}, p.now
	advance(p.s, c, p.hold, p.now)
	p.effects.Decisions = append(p.effects.Decisions, decideWaiting(p.s, c, p.hold, p.now)...)
	if !p.s.Static {
		p.returnRateLoans(c)
		p.resend(b, Requests, c.Name)
		p.renewRateLoans(c)
		p.borrowRateAndTokens(c)
	}
	if len(c.Waiters) > 0 {
		p.planForWaiters(c)
	}
	if len(b.Borrowed) > 0 || !b.UnmetSince.IsZero() {
		schedulePlan(b, p.now.Add(planInterval))
	}
}

// planForWaiters schedules the next plan for when the first waiting request can be
// paid for, the first deadline passes, or a lender can be asked again.
func (p *planner) planForWaiters(c *state.CustomerShare) {
	earliest := p.now.Add(minPlanInterval)
	at := p.now.Add(planInterval)
	if until, ok := snapshotBucket(c).affordableAt(c.Waiters[0].Cost, c.Waiters[0].Cost, p.now); ok && p.hold.Valid(p.now) {
		at = earlier(at, until)
	}
	for i := range c.Waiters {
		at = earlier(at, c.Waiters[i].Deadline)
	}
	for _, stats := range c.Loans.LenderStats {
		if stats.RetryAfter.After(p.now) {
			at = earlier(at, stats.RetryAfter)
		}
	}
	if at.Before(earliest) {
		at = earliest
	}
	schedulePlan(&c.Loans, at)
}

// updateNext moves Effects.Next to the given time if that is earlier.
func (p *planner) updateNext(b *state.LoanBook, at time.Time) {
	if !at.IsZero() && (p.effects.Next.IsZero() || at.Before(p.effects.Next)) {
		p.effects.Next = at
	}
}

// trackUnmetDemand records since when there is demand that this VM cannot meet.
func (p *planner) trackUnmetDemand(b *state.LoanBook, unmet bool) {
	switch {
	case !unmet:
		b.UnmetSince = time.Time{}
	case b.UnmetSince.IsZero():
		b.UnmetSince = p.now
	}
}

// candidates returns the VMs to ask now, those with the most to lend first. It leaves
// out VMs in back-off and those that still have a request to answer. VMs of other data
// centres are included if no local one is left to ask and no local answer is expected,
// or if demand has been unmet for remoteBorrowDelay.
func (p *planner) candidates(b *state.LoanBook) []state.LenderCandidate {
	requested := make(map[string]bool)
	awaitingLocal := false
	for i := range b.Borrowed {
		if r := &b.Borrowed[i]; r.Phase == state.LoanRequested {
			requested[r.Lender] = true
			awaitingLocal = awaitingLocal || !r.Remote && answerExpected(r, p.now)
		}
	}
	var local, remote []state.LenderCandidate
	for _, c := range b.LenderCandidates {
		stats := b.LenderStats[c.VM]
		switch {
		case requested[c.VM] || stats != nil && stats.RetryAfter.After(p.now):
		case c.Remote:
			remote = append(remote, c)
		default:
			local = append(local, c)
		}
	}
	sortBySpare(b, local)
	sortBySpare(b, remote)
	if len(local) == 0 && !awaitingLocal || !b.UnmetSince.IsZero() && p.now.Sub(b.UnmetSince) >= remoteBorrowDelay {
		return append(local, remote...)
	}
	return local
}

// sortBySpare sorts lenders by what they could last lend, the most first.
func sortBySpare(b *state.LoanBook, candidates []state.LenderCandidate) {
	spare := func(c state.LenderCandidate) float64 {
		if stats := b.LenderStats[c.VM]; stats != nil {
			return stats.Spare
		}
		return 0
	}
	slices.SortStableFunc(candidates, func(x, y state.LenderCandidate) int {
		switch {
		case spare(x) > spare(y):
			return -1
		case spare(x) < spare(y):
			return 1
		}
		return 0
	})
}

// requestLoan sends a new loan request if the message to that VM has room for it.
func (p *planner) requestLoan(b *state.LoanBook, lender state.LenderCandidate, req LoanRequest) {
	if p.requestCount[lender.VM] >= MaxLoansPerMessage {
		schedulePlan(b, p.now.Add(minPlanInterval))
		return
	}
	p.s.NextLoan++
	b.Borrowed = append(b.Borrowed, state.BorrowedLoan{
		Lender: lender.VM, Number: p.s.NextLoan, Remote: lender.Remote,
		Rate: req.Rate, Burst: req.Burst, Tokens: req.Tokens, Units: req.Units, Period: req.Period,
		EndsAt: p.now.Add(loanRequestTimeout),
	})
	p.s.Borrowed[p.s.NextLoan] = state.LoanRef{Connections: req.Resource == Connections, Name: req.Name}
	req.Tokens = 0
	p.sendRequest(b, &b.Borrowed[len(b.Borrowed)-1], req)
}

// sendRequest adds a request for a loan to the message to its lender. If the message
// is full, the request is left for the next one.
func (p *planner) sendRequest(b *state.LoanBook, r *state.BorrowedLoan, req LoanRequest) {
	if p.requestCount[r.Lender] >= MaxLoansPerMessage {
		schedulePlan(b, p.now.Add(minPlanInterval))
		return
	}
	req.Number, req.Period = r.Number, r.Period
	r.RequestedAt = p.now
	r.Attempts++
	p.appendRequest(r.Lender, req)
}

// appendRequest adds a request to the message to a VM.
func (p *planner) appendRequest(vm string, req LoanRequest) {
	p.requestCount[vm]++
	for i := range p.effects.Batches {
		if p.effects.Batches[i].Peer == vm {
			p.effects.Batches[i].Loans = append(p.effects.Batches[i].Loans, req)
			return
		}
	}
	p.effects.Batches = append(p.effects.Batches, Batch{Peer: vm, Loans: []LoanRequest{req}})
}

// resend repeats unanswered requests once, under the same numbers.
func (p *planner) resend(b *state.LoanBook, resource Resource, name string) {
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanRequested && p.now.Sub(r.RequestedAt) >= resendTimeout && r.Attempts < 2 {
			p.sendRequest(b, r, LoanRequest{Resource: resource, Name: name, Rate: r.Rate, Burst: r.Burst, Units: r.Units})
		}
	}
}

// renewalDue reports whether a loan has to be renewed now.
func (p *planner) renewalDue(r *state.BorrowedLoan) bool {
	if r.NotRenewable || r.EndsAt.Sub(p.now) > r.Period/2 {
		return false
	}
	return p.now.Sub(r.RequestedAt) >= resendTimeout
}

// returnLoan stops using a loan and tells its lender. If the message is lost or full,
// the lender reclaims the loan when it ends.
func (p *planner) returnLoan(b *state.LoanBook, i int, req LoanRequest) {
	r := b.Borrowed[i]
	removeBorrowed(p.s, b, i)
	if p.requestCount[r.Lender] < MaxLoansPerMessage {
		req.Number, req.Period, req.Return = r.Number, r.Period, true
		p.appendRequest(r.Lender, req)
	}
}
