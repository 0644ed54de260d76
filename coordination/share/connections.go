package share

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// connectionCloseTime is how long before the end of a loan its connections no
// longer count, so that the borrower can close them in time.
const connectionCloseTime = time.Second

// ConnectionLimits are the connections to one backend server that this VM may
// have, connecting ones included.
type ConnectionLimits struct {
	Open  int       // connections may be opened below this number
	Keep  int       // connections above this number must be closed at once, even busy ones
	Until time.Time // the numbers hold until then, unless Advance, Grant or Recompute lowers them
}

// ConnectionLimit returns this VM's limits for a backend server. Between Open
// and Keep are connections that a new ticket takes away: busy ones may finish,
// because the ticket is not reported as applied while they are in use. Without a
// valid lease hold both are zero.
func ConnectionLimit(tables *state.Tables, server string, now time.Time) ConnectionLimits {
	hold := tables.Lease.Hold()
	limits := ConnectionLimits{Until: now.Add(ConnectionLoanPeriod)}
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		c := s.Servers[server]
		if c == nil || !hold.Valid(now) {
			return
		}
		limits = limitsOf(s, c, now)
		limits.Until = earlier(limits.Until, hold.Until)
	})
	return limits
}

func limitsOf(s *state.Shares, c *state.ConnectionShare, now time.Time) ConnectionLimits {
	for endNextLoan(s, &c.Loans, now) {
	}
	borrowed := borrowedUnits(&c.Loans, now)
	limits := ConnectionLimits{
		Open:  ownUnits(s, c, c.Base, now) + borrowed,
		Keep:  ownUnits(s, c, c.ReportedBase, now) + borrowed,
		Until: now.Add(ConnectionLoanPeriod),
	}
	limits.Keep = max(limits.Keep, limits.Open)
	for i := range c.Loans.Borrowed {
		if b := &c.Loans.Borrowed[i]; b.Phase == state.LoanActive && usable(b, now) {
			limits.Until = earlier(limits.Until, b.EndsAt.Add(-connectionCloseTime))
		}
	}
	return limits
}

// ownUnits returns what this VM has of a base share of connections. Until the
// loans of earlier processes of its name have ended, what they can have lent
// counts as lent.
func ownUnits(s *state.Shares, c *state.ConnectionShare, base int, now time.Time) int {
	lent := lentUnits(&c.Loans)
	if now.Before(s.EarlierLoansTill) {
		lent = max(lent, c.MaxLendable)
	}
	return max(0, base-lent)
}

func lentUnits(b *state.LoanBook) int {
	units := 0
	for i := range b.Lent {
		units += b.Lent[i].Units
	}
	return units
}

func borrowedUnits(b *state.LoanBook, now time.Time) int {
	units := 0
	for i := range b.Borrowed {
		if b.Borrowed[i].Phase == state.LoanActive && usable(&b.Borrowed[i], now) {
			units += b.Borrowed[i].Units
		}
	}
	return units
}

func usable(b *state.Borrowed, now time.Time) bool {
	return now.Before(b.EndsAt.Add(-connectionCloseTime))
}

// WantConnections records how many connections to a backend server this VM has
// a use for (busy ones and requests that wait for one). It reports whether
// Advance should be called at once.
func WantConnections(tables *state.Tables, server string, wanted int, now time.Time) bool {
	advance := false
	tables.Shares.With(func(s *state.Shares) {
		c := s.Servers[server]
		if c == nil || c.Wanted == wanted {
			return
		}
		c.Wanted = wanted
		limits := limitsOf(s, c, now)
		if wanted > limits.Open || wanted < limits.Open && len(c.Loans.Borrowed) > 0 {
			planAt(&c.Loans, now)
			advance = true
		}
	})
	return advance
}

// spareUnits returns the connections that this VM can do without.
func spareUnits(s *state.Shares, c *state.ConnectionShare, now time.Time) int {
	if now.Before(s.EarlierLoansTill) {
		return 0
	}
	unused := ownUnits(s, c, c.Base, now) - c.Wanted
	return max(0, min(unused, c.Lendable-lentUnits(&c.Loans)))
}

func (l *lender) answerConnections(c *state.ConnectionShare, answer *LoanAnswer) {
	record := l.record()
	switch {
	case l.req.Return:
		l.takeBack()
	case record != nil:
		if l.keepsLendingUnits(c, record) && l.extend(record, ConnectionLoanPeriod) {
			answer.Units = record.Units
		}
	case l.grantable(ConnectionLoanPeriod):
		answer.Units = min(l.req.Units, spareUnits(l.s, c, l.now))
		if answer.Units > 0 {
			l.book.Lent = append(l.book.Lent, state.Lent{
				Borrower: l.from.Name, Incarnation: l.from.Incarnation, Number: l.req.Number,
				Units: answer.Units, EndsAt: l.endsAt(),
			})
		}
	}
	answer.Spare = float64(spareUnits(l.s, c, l.now))
}

// keepsLendingUnits reports whether a loan may be extended. The lender's own
// requests come first.
func (l *lender) keepsLendingUnits(c *state.ConnectionShare, record *state.Lent) bool {
	coming := 0
	for i := range l.book.Lent {
		if l.book.Lent[i].Refused && &l.book.Lent[i] != record {
			coming += l.book.Lent[i].Units
		}
	}
	own := ownUnits(l.s, c, c.Base, l.now)
	record.Refused = lentUnits(l.book) > c.Lendable || own+coming < c.Wanted
	return !record.Refused
}

// planConnections returns and renews loans of connections and asks for more.
func (p *planner) planConnections(c *state.ConnectionShare) {
	b := &c.Loans
	b.PlanAt, b.PlannedAt = time.Time{}, p.now
	if p.s.Static {
		return
	}
	for endNextLoan(p.s, b, p.now) {
	}
	own := ownUnits(p.s, c, c.Base, p.now)
	p.returnUnits(c, own)
	p.resend(b, Connections, c.Server)
	short := c.Wanted - own - borrowedUnits(b, p.now)
	p.noteUnmet(b, short > 0)
	for i := range b.Borrowed {
		r := &b.Borrowed[i]
		if r.Phase == state.LoanActive && p.wantsRenewal(r) {
			p.send(b, r, LoanRequest{Resource: Connections, Name: c.Server, Units: r.Units, Renewal: true})
		}
		if r.Phase == state.LoanAsked {
			short -= r.Units
		}
	}
	if short > 0 && !p.s.Leaving {
		p.borrowUnits(c, short)
	}
	if len(b.Borrowed) > 0 || !b.UnmetSince.IsZero() {
		planAt(b, p.now.Add(planInterval))
	}
}

// returnUnits gives back loans that are not needed. Their connections are closed
// first: ConnectionLimit no longer counts a loan that is closing, and it is
// returned when no more connections are open than remain allowed.
func (p *planner) returnUnits(c *state.ConnectionShare, own int) {
	b := &c.Loans
	open := 0
	for i := 0; i < len(b.Borrowed); i++ {
		r := &b.Borrowed[i]
		have := own + borrowedUnits(b, p.now)
		if r.Phase == state.LoanActive && (p.s.Leaving || have-r.Units >= c.Wanted) {
			r.Phase = state.LoanClosing
		}
		if r.Phase != state.LoanClosing {
			continue
		}
		if open == 0 {
			p.tables.Backends.With(c.Server, func(conns *state.ServerConns) { open = conns.Open() })
		}
		if open <= own+borrowedUnits(b, p.now) {
			p.giveBack(b, i, LoanRequest{Resource: Connections, Name: c.Server})
			i--
		}
	}
}

// borrowUnits asks for connections, one request for each lender.
func (p *planner) borrowUnits(c *state.ConnectionShare, short int) {
	b := &c.Loans
	if b.Holders == nil {
		b.Holders = p.layout().unitHolders(c.Server, c.Limit, p.tables.Self.Name, p.tables.Self.DataCentre)
	}
	for _, h := range p.candidates(b) {
		if short <= 0 {
			return
		}
		units := min(short, lendable(h.Units, c.Limit, len(p.layout().all)))
		if units > 0 {
			p.ask(b, h, LoanRequest{Resource: Connections, Name: c.Server, Units: units, Period: ConnectionLoanPeriod})
			short -= units
		}
	}
}
