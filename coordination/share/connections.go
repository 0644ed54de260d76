package share

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// connectionCloseMargin is how long before the end of a loan its connections stop
// counting, so that the borrower can close them in time.
const connectionCloseMargin = time.Second

// ConnectionLimits holds this VM's limits on connections to one backend server,
// including those being opened.
type ConnectionLimits struct {
	Open  int       // connections may be opened up to this number
	Keep  int       // connections beyond this number must be closed at once, even busy ones
	Until time.Time // the limits are valid until then, unless Advance, Grant or Recompute lowers them
}

// ConnectionLimit returns this VM's limits for a backend server. Keep exceeds Open
// by the connections that a new ticket takes away: busy ones may finish, because the
// ticket is not reported as applied while they are in use. Without a valid lease
// hold both limits are zero.
func ConnectionLimit(tables *state.Tables, server string, now time.Time) ConnectionLimits {
	hold := tables.Lease.Hold()
	limits := ConnectionLimits{Until: now.Add(ConnectionLoanPeriod)}
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		c := s.Servers[server]
		if c == nil || !hold.Valid(now) {
			return
		}
		limits = currentConnectionLimits(s, c, now)
		limits.Until = earlier(limits.Until, hold.Until)
	})
	return limits
}

func currentConnectionLimits(s *state.Shares, c *state.ConnectionShare, now time.Time) ConnectionLimits {
	for expireLoans(s, &c.Loans, now) {
	}
	borrowed := borrowedConnections(&c.Loans, now)
	limits := ConnectionLimits{
		Open:  ownConnections(s, c, c.Base, now) + borrowed,
		Keep:  ownConnections(s, c, c.ReportedBase, now) + borrowed,
		Until: now.Add(ConnectionLoanPeriod),
	}
	limits.Keep = max(limits.Keep, limits.Open)
	for i := range c.Loans.Borrowed {
		if b := &c.Loans.Borrowed[i]; b.Phase == state.LoanActive && loanUsable(b, now) {
			limits.Until = earlier(limits.Until, b.EndsAt.Add(-connectionCloseMargin))
		}
	}
	return limits
}

// ownConnections returns what remains of a base share of connections after loans to
// other VMs. Until the loans of earlier processes with this VM's name have ended, the
// most that they can have lent counts as lent.
func ownConnections(s *state.Shares, c *state.ConnectionShare, base int, now time.Time) int {
	lent := lentConnections(&c.Loans)
	if now.Before(s.PredecessorLoansEnd) {
		lent = max(lent, c.MaxLendable)
	}
	return max(0, base-lent)
}

func lentConnections(b *state.LoanBook) int {
	units := 0
	for i := range b.Lent {
		units += b.Lent[i].Units
	}
	return units
}

func borrowedConnections(b *state.LoanBook, now time.Time) int {
	units := 0
	for i := range b.Borrowed {
		if b.Borrowed[i].Phase == state.LoanActive && loanUsable(&b.Borrowed[i], now) {
			units += b.Borrowed[i].Units
		}
	}
	return units
}

// loanUsable reports whether the connections of a loan still count.
func loanUsable(b *state.BorrowedLoan, now time.Time) bool {
	return now.Before(b.EndsAt.Add(-connectionCloseMargin))
}

// WantConnections records how many connections to a backend server this VM can use:
// busy ones plus requests that wait for one. It reports whether Advance should be
// called at once.
func WantConnections(tables *state.Tables, server string, wanted int, now time.Time) bool {
	advance := false
	tables.Shares.With(func(s *state.Shares) {
		c := s.Servers[server]
		if c == nil || c.Wanted == wanted {
			return
		}
		c.Wanted = wanted
		limits := currentConnectionLimits(s, c, now)
		if wanted > limits.Open || wanted < limits.Open && len(c.Loans.Borrowed) > 0 {
			schedulePlan(&c.Loans, now)
			advance = true
		}
	})
	return advance
}

// spareConnections returns the number of connections that this VM can lend.
func spareConnections(s *state.Shares, c *state.ConnectionShare, now time.Time) int {
	if now.Before(s.PredecessorLoansEnd) {
		return 0
	}
	unused := ownConnections(s, c, c.Base, now) - c.Wanted
	return max(0, min(unused, c.Lendable-lentConnections(&c.Loans)))
}

// answerConnections answers a request for a loan of connections.
func (h *grantHandler) answerConnections(c *state.ConnectionShare, answer *LoanAnswer) {
	record := h.lentRecord()
	switch {
	case h.req.Return:
		h.removeReturnedLoan()
	case record != nil:
		if h.mayRenewConnections(c, record) && h.renew(record, ConnectionLoanPeriod) {
			answer.Units = record.Units
		}
	case h.mayGrant(ConnectionLoanPeriod):
		answer.Units = min(h.req.Units, spareConnections(h.s, c, h.now))
		if answer.Units > 0 {
			h.book.Lent = append(h.book.Lent, state.GrantedLoan{
				Borrower: h.from.Name, Incarnation: h.from.Incarnation, Number: h.req.Number,
				Units: answer.Units, EndsAt: h.endsAt(),
			})
		}
	}
	answer.Spare = float64(spareConnections(h.s, c, h.now))
}

// mayRenewConnections reports whether a loan may be renewed. The lender's own
// demand has priority. It records the result in record.Refused.
func (h *grantHandler) mayRenewConnections(c *state.ConnectionShare, record *state.GrantedLoan) bool {
	returning := 0
	for i := range h.book.Lent {
		if h.book.Lent[i].Refused && &h.book.Lent[i] != record {
			returning += h.book.Lent[i].Units
		}
	}
	own := ownConnections(h.s, c, c.Base, h.now)
	record.Refused = lentConnections(h.book) > c.Lendable || own+returning < c.Wanted
	return !record.Refused
}

// planConnections returns and renews loans of connections and requests new ones.
func (p *planner) planConnections(c *state.ConnectionShare) {
	b := &c.Loans
	b.NextPlanAt, b.LastPlanAt = time.Time{}, p.now
	if p.s.Static {
		return
	}
	for expireLoans(p.s, b, p.now) {
	}
	own := ownConnections(p.s, c, c.Base, p.now)
	p.returnConnections(c, own)
	p.resend(b, Connections, c.Server)
	short := c.Wanted - own - borrowedConnections(b, p.now)
	p.trackUnmetDemand(b, short > 0)
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanActive && p.renewalDue(r) {
			p.sendRequest(b, r, LoanRequest{Resource: Connections, Name: c.Server, Units: r.Units, Renewal: true})
		}
		if r.Phase == state.LoanRequested {
			short -= r.Units
		}
	}
	if short > 0 && !p.s.Leaving {
		p.borrowConnections(c, short)
	}
	if len(b.Borrowed) > 0 || !b.UnmetSince.IsZero() {
		schedulePlan(b, p.now.Add(planInterval))
	}
}

// returnConnections returns loans that are not needed. A loan is first marked as
// closing, so that ConnectionLimit no longer counts it, and returned once the open
// connections fit the remaining limit.
func (p *planner) returnConnections(c *state.ConnectionShare, own int) {
	b := &c.Loans
	open := 0
	for i := 0; i < len(b.Borrowed); i++ {
		r := &b.Borrowed[i]
		have := own + borrowedConnections(b, p.now)
		if r.Phase == state.LoanActive && (p.s.Leaving || have-r.Units >= c.Wanted) {
			r.Phase = state.LoanClosing
		}
		if r.Phase != state.LoanClosing {
			continue
		}
		if open == 0 {
			p.tables.Backends.With(c.Server, func(conns *state.ServerConns) { open = conns.Open() })
		}
		if open <= own+borrowedConnections(b, p.now) {
			p.returnLoan(b, i, LoanRequest{Resource: Connections, Name: c.Server})
			i--
		}
	}
}

// borrowConnections requests loans of connections, at most one from each lender.
func (p *planner) borrowConnections(c *state.ConnectionShare, short int) {
	b := &c.Loans
	if b.LenderCandidates == nil {
		b.LenderCandidates = p.topology().connectionLenders(c.Server, c.Limit, p.tables.Self.Name, p.tables.Self.DataCentre)
	}
	for _, h := range p.candidates(b) {
		if short <= 0 {
			return
		}
		units := min(short, lendableConnections(h.Units, c.Limit, len(p.topology().all)))
		if units > 0 {
			p.requestLoan(b, h, LoanRequest{Resource: Connections, Name: c.Server, Units: units, Period: ConnectionLoanPeriod})
			short -= units
		}
	}
}
