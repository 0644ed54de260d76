package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// planInterval is how often loans in use and unmet demand are looked at.
	planInterval = 50 * time.Millisecond
	// shortestPlanInterval keeps a timer from firing again at once.
	shortestPlanInterval = time.Millisecond
)

// Effects are what the caller of Advance has to do.
type Effects struct {
	Decisions []Decision // on requests that waited
	Batches   []Batch    // one message each, sent now; the answers go to Receive
	Next      time.Time  // call Advance again then; zero if there is nothing to wait for
}

// Advance decides on waiting requests, and on the loans to ask for, to extend
// and to return. It is called when another function of this package asks for
// it, and at the time that it returned last. now must not be later than the
// moment at which the messages are sent.
func Advance(tables *state.Tables, now time.Time) Effects {
	hold := tables.Lease.Hold()
	var effects Effects
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		p := planner{tables: tables, s: s, hold: hold, now: now, room: make(map[string]int)}
		for _, c := range s.Customers {
			if due(&c.Loans, now) {
				p.planCustomer(c)
			}
			p.schedule(&c.Loans, c.Loans.PlanAt)
		}
		for _, c := range s.Servers {
			if due(&c.Loans, now) {
				p.planConnections(c)
			}
			p.schedule(&c.Loans, c.Loans.PlanAt)
		}
		effects = p.effects
	})
	return effects
}

// Leave makes this VM lend everything that it does not use itself, and return
// what it borrowed. The caller goes on calling Advance and Grant for one
// LoanPeriod.
func Leave(t *state.ShareTable, now time.Time) {
	t.With(func(s *state.Shares) {
		s.Leaving = true
		for _, c := range s.Customers {
			planAt(&c.Loans, now)
		}
		for _, c := range s.Servers {
			planAt(&c.Loans, now)
		}
	})
}

// planner collects the effects of one call of Advance.
type planner struct {
	tables  *state.Tables
	s       *state.Shares
	hold    state.Hold
	now     time.Time
	effects Effects
	room    map[string]int // loan requests in the message to each VM
	cached  *layout
}

func (p *planner) config() *state.Config { return p.s.Tickets[len(p.s.Tickets)-1].Config }

func (p *planner) layout() layout {
	if p.cached == nil {
		l := layoutOf(p.config(), p.s.Static)
		p.cached = &l
	}
	return *p.cached
}

func due(b *state.LoanBook, now time.Time) bool { return !b.PlanAt.IsZero() && !b.PlanAt.After(now) }

// planAt makes Advance look at the loans at the given time at the latest.
func planAt(b *state.LoanBook, at time.Time) {
	if b.PlanAt.IsZero() || at.Before(b.PlanAt) {
		b.PlanAt = at
	}
}

// wantsPlan returns when a customer's new request calls for Advance, or zero if
// it does not: it does if the request has to wait, or if the demand is about to
// outgrow the bucket.
func wantsPlan(s *state.Shares, c *state.CustomerShare, now time.Time) time.Time {
	at := now
	switch len(c.Waiters) {
	case 0:
		recent := now.Sub(c.Loans.PlannedAt) < planInterval
		if s.Static || recent || c.Level >= capacity(c)/2 || demandNow(&c.Demand, now) < smallestDemand {
			return time.Time{}
		}
	case 1:
	default:
		if next := c.Loans.PlannedAt.Add(advanceInterval); next.After(now) {
			at = next
		}
	}
	if due := c.Loans.PlanAt; !due.IsZero() && !due.After(at) {
		return time.Time{} // it was asked for already
	}
	planAt(&c.Loans, at)
	return at
}

func (p *planner) planCustomer(c *state.CustomerShare) {
	b := &c.Loans
	b.PlanAt, b.PlannedAt = time.Time{}, p.now
	advance(p.s, c, p.hold, p.now)
	p.effects.Decisions = append(p.effects.Decisions, settle(p.s, c, p.hold, p.now)...)
	if !p.s.Static {
		p.returnRequests(c)
		p.resend(b, Requests, c.Name)
		p.renewRequests(c)
		p.borrowRequests(c)
	}
	if len(c.Waiters) > 0 {
		p.planForWaiters(c)
	}
	if len(b.Borrowed) > 0 || !b.UnmetSince.IsZero() {
		planAt(b, p.now.Add(planInterval))
	}
}

// planForWaiters looks again when the first request can be paid for, when the
// first deadline passes, and when a lender can be asked again.
func (p *planner) planForWaiters(c *state.CustomerShare) {
	earliest := p.now.Add(shortestPlanInterval)
	at := p.now.Add(planInterval)
	if until, ok := viewOf(c).payableAt(c.Waiters[0].Cost, c.Waiters[0].Cost, p.now); ok && p.hold.Valid(p.now) {
		at = earlier(at, until)
	}
	for i := range c.Waiters {
		at = earlier(at, c.Waiters[i].Deadline)
	}
	for _, n := range c.Loans.Notes {
		if n.Until.After(p.now) {
			at = earlier(at, n.Until)
		}
	}
	if at.Before(earliest) {
		at = earliest
	}
	planAt(&c.Loans, at)
}

// schedule makes sure that Advance is called again in time for the loans.
func (p *planner) schedule(b *state.LoanBook, at time.Time) {
	if !at.IsZero() && (p.effects.Next.IsZero() || at.Before(p.effects.Next)) {
		p.effects.Next = at
	}
}

// noteUnmet remembers since when there is demand that this VM cannot meet.
func (p *planner) noteUnmet(b *state.LoanBook, unmet bool) {
	switch {
	case !unmet:
		b.UnmetSince = time.Time{}
	case b.UnmetSince.IsZero():
		b.UnmetSince = p.now
	}
}

// candidates returns the VMs to ask now: those that are not known to have
// nothing, the ones with the most to spare first. VMs of other data centres are
// asked once none of the own one is left to ask, or when demand has been unmet
// for remoteAfter.
func (p *planner) candidates(b *state.LoanBook) []state.Holder {
	asked := make(map[string]bool)
	waitsForOwn := false
	for i := range b.Borrowed {
		if r := &b.Borrowed[i]; r.Phase == state.LoanAsked {
			asked[r.Lender] = true
			waitsForOwn = waitsForOwn || !r.Remote && countedOn(r, p.now)
		}
	}
	var own, remote []state.Holder
	for _, h := range b.Holders {
		n := b.Notes[h.VM]
		switch {
		case asked[h.VM] || n != nil && n.Until.After(p.now):
		case h.Remote:
			remote = append(remote, h)
		default:
			own = append(own, h)
		}
	}
	bySpare(b, own)
	bySpare(b, remote)
	if len(own) == 0 && !waitsForOwn || !b.UnmetSince.IsZero() && p.now.Sub(b.UnmetSince) >= remoteAfter {
		return append(own, remote...)
	}
	return own
}

func bySpare(b *state.LoanBook, holders []state.Holder) {
	spare := func(h state.Holder) float64 {
		if n := b.Notes[h.VM]; n != nil {
			return n.Spare
		}
		return 0
	}
	slices.SortStableFunc(holders, func(x, y state.Holder) int {
		switch {
		case spare(x) > spare(y):
			return -1
		case spare(x) < spare(y):
			return 1
		}
		return 0
	})
}

// ask sends a new loan request if the message to that VM has room for it.
func (p *planner) ask(b *state.LoanBook, h state.Holder, req LoanRequest) {
	if p.room[h.VM] >= MaxLoansPerMessage {
		planAt(b, p.now.Add(shortestPlanInterval))
		return
	}
	p.s.NextLoan++
	b.Borrowed = append(b.Borrowed, state.Borrowed{
		Lender: h.VM, Number: p.s.NextLoan, Remote: h.Remote,
		Rate: req.Rate, Burst: req.Burst, Tokens: req.Tokens, Units: req.Units, Period: req.Period,
		EndsAt: p.now.Add(giveUpAfter),
	})
	p.s.Borrowed[p.s.NextLoan] = state.LoanRef{Connections: req.Resource == Connections, Name: req.Name}
	req.Tokens = 0
	p.send(b, &b.Borrowed[len(b.Borrowed)-1], req)
}

// send puts a request for a loan into the message to its lender. A message that
// is full leaves it for the next one.
func (p *planner) send(b *state.LoanBook, r *state.Borrowed, req LoanRequest) {
	if p.room[r.Lender] >= MaxLoansPerMessage {
		planAt(b, p.now.Add(shortestPlanInterval))
		return
	}
	req.Number, req.Period = r.Number, r.Period
	r.AskedAt = p.now
	r.Attempts++
	p.put(r.Lender, req)
}

func (p *planner) put(vm string, req LoanRequest) {
	p.room[vm]++
	for i := range p.effects.Batches {
		if p.effects.Batches[i].Peer == vm {
			p.effects.Batches[i].Loans = append(p.effects.Batches[i].Loans, req)
			return
		}
	}
	p.effects.Batches = append(p.effects.Batches, Batch{Peer: vm, Loans: []LoanRequest{req}})
}

// resend repeats requests that were not answered, under the same numbers.
func (p *planner) resend(b *state.LoanBook, resource Resource, name string) {
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanAsked && p.now.Sub(r.AskedAt) >= resendAfter && r.Attempts < 2 {
			p.send(b, r, LoanRequest{Resource: resource, Name: name, Rate: r.Rate, Burst: r.Burst, Units: r.Units})
		}
	}
}

// wantsRenewal reports whether a loan is to be extended now.
func (p *planner) wantsRenewal(r *state.Borrowed) bool {
	if r.Final || r.EndsAt.Sub(p.now) > r.Period/2 {
		return false
	}
	return p.now.Sub(r.AskedAt) >= resendAfter
}

// giveBack ends the use of a loan and tells its lender. If the message is lost
// or has no room, the lender waits for the end of the loan.
func (p *planner) giveBack(b *state.LoanBook, i int, req LoanRequest) {
	r := b.Borrowed[i]
	forget(p.s, b, i)
	if p.room[r.Lender] < MaxLoansPerMessage {
		req.Number, req.Period, req.Return = r.Number, r.Period, true
		p.put(r.Lender, req)
	}
}
