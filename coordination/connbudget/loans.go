package connbudget

import "time"

const (
	// loanTime is how long a borrower uses a loan, from the sending of its request. It
	// asks the lender again before that if it still needs the loan.
	loanTime = 2 * time.Second
	// renewTime is how long before its end a loan is renewed. It covers several requests.
	renewTime = 800 * time.Millisecond
	// LoanHold is how long a lender leaves a loan out of its share, from the sending of
	// its answer. It covers the connections of a borrower that became dark, which the
	// server drops after 3 s, and transactions that go on when the loan ends.
	LoanHold = 4 * time.Second
	// minAskInterval and maxAskInterval bound the time between two requests for a server
	// while the answers lend nothing. After quickRequests such answers, of different
	// lenders, the time doubles with each.
	minAskInterval = 5 * time.Millisecond
	maxAskInterval = 320 * time.Millisecond
	quickRequests  = 16
	// MaxLoan is the number of connections by which one request raises a loan at most, so
	// that the requests of several borrowers are met.
	MaxLoan = 4
)

// loan is a number of connections until a time.
type loan struct {
	n     int
	until time.Time
}

// Loans are the loans of an owner's connections to one server, each with another owner.
// The zero value has none.
type Loans struct {
	lent, borrowed map[string]loan
	asking         bool
	askAt          time.Time // of the next request at the earliest
	refusals       int       // answers in a row that lent nothing
}

// count removes the loans that have ended and returns the number of connections in the
// others.
func count(loans map[string]loan, now time.Time) int {
	n := 0
	for vm, l := range loans {
		if now.Before(l.until) {
			n += l.n
		} else {
			delete(loans, vm)
		}
	}
	return n
}

// Adjust returns the share with the loans: less what was lent, and more by what was
// borrowed. At least one connection of its own is left. While held is set, all that may be
// lent counts as lent, since a previous process of the VM may have lent it.
func (l *Loans) Adjust(share, floors int, held bool, now time.Time) int {
	lent := count(l.lent, now)
	if held {
		lent = max(lent, lendable(share, floors))
	}
	return max(1, share-lent) + count(l.borrowed, now)
}

// lendable returns how many connections of a share are lent at most: half of those that
// are not set aside for customers. With the rest, a VM can start while loans of its
// previous process run.
func lendable(share, floors int) int { return max(0, share-floors) / 2 }

// Lend lends connections to the borrower, up to wanted in total with those that it has
// already, and returns their number. Zero leaves an earlier loan as it is. The share is
// the one without loans; the customers show what is in use. The caller closes idle
// connections beyond the adjusted share before it answers.
func (l *Loans) Lend(borrower string, wanted, share, floors int, held bool, customers []Customer, now time.Time) int {
	adjusted := l.Adjust(share, floors, held, now)
	if held || wanted <= 0 {
		return 0
	}
	t := sum(customers)
	// One connection is kept free for the owner's own customers.
	free := adjusted - t.open - t.unusedFloors - 1
	for i := range customers {
		c := &customers[i]
		if c.wantsConnection() {
			return 0
		}
		free += c.unneeded(now)
	}
	present := l.lent[borrower].n
	more := min(wanted-present, MaxLoan, free, lendable(share, floors)-count(l.lent, now))
	if len(l.borrowed) > 0 {
		more = 0
	}
	total := present + max(0, more)
	if total == 0 {
		return 0
	}
	if l.lent == nil {
		l.lent = make(map[string]loan)
	}
	l.lent[borrower] = loan{total, now.Add(LoanHold)}
	return min(wanted, total)
}

// unneeded returns how many of the customer's idle connections may be closed for a loan.
func (c *Customer) unneeded(now time.Time) int {
	idleFor := now.Sub(c.IdleSince)
	n := min(c.Idle, c.Open-c.Floor)
	switch {
	case c.Idle == 0 || idleFor < spareIdle:
		return 0
	case idleFor < lastIdle:
		n = min(n, c.Open-1)
	}
	return max(0, n)
}

// Ask reports whether to send a request now. If not, it returns when to ask at the
// earliest, or zero while an answer is awaited.
func (l *Loans) Ask(now time.Time) (bool, time.Time) {
	switch {
	case l.asking:
		return false, time.Time{}
	case now.Before(l.askAt):
		return false, l.askAt
	}
	l.asking = true
	return true, time.Time{}
}

// Borrowed returns the number of connections borrowed from the lender.
func (l *Loans) Borrowed(lender string, now time.Time) int {
	count(l.borrowed, now)
	return l.borrowed[lender].n
}

// IsBorrower reports whether connections are borrowed.
func (l *Loans) IsBorrower(now time.Time) bool { return count(l.borrowed, now) > 0 }

// Answered records the answer to a request that was sent at the given time: the number of
// connections that the lender lends in total, or zero if it lends none or did not answer.
// An earlier loan of the lender then runs to its end.
func (l *Loans) Answered(lender string, n int, sentAt, now time.Time) {
	l.asking = false
	if n <= 0 {
		l.refusals++
		l.askAt = now.Add(min(minAskInterval<<min(max(0, l.refusals-quickRequests), 10), maxAskInterval))
		return
	}
	l.refusals, l.askAt = 0, now
	if l.borrowed == nil {
		l.borrowed = make(map[string]loan)
	}
	l.borrowed[lender] = loan{n, sentAt.Add(loanTime)}
}

// Renewal returns a lender whose loan ends soon and is still needed, and for how many
// connections, or zero.
func (l *Loans) Renewal(share, floors int, customers []Customer, now time.Time) (lender string, n int) {
	adjusted := l.Adjust(share, floors, false, now)
	inUse := 0
	for i := range customers {
		inUse += customers[i].Open - customers[i].Idle
	}
	for vm, b := range l.borrowed {
		if needed := min(b.n, inUse-(adjusted-b.n)); needed > n && b.until.Sub(now) < renewTime {
			lender, n = vm, needed
		}
	}
	return lender, n
}
