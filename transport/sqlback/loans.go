package sqlback

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/connbudget"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// askInterval is the least time between two requests of this VM for loans, for any
	// server. It bounds the traffic to 50 requests a second.
	askInterval = 20 * time.Millisecond
	// answerTimeout is how long the answer to a request is awaited.
	answerTimeout = 100 * time.Millisecond
)

// Lending sends requests for loans of connections to other connection owners.
type Lending interface {
	// Lenders returns the other connection owners of the server that handle requests.
	Lenders(server *catalog.Server) []string
	// RequestConnections asks a VM to lend up to n connections to the server in total. It
	// calls done once with the number lent, or reports false if the VM is not linked.
	RequestConnections(vm, server string, n int, done func(lent int)) bool
}

// askForLoan asks another owner for connections if the budget permits a request. It
// returns when to try again, or zero. The caller holds mu.
func (e *Executor) askForLoan(b *serverBudget, wanted int, now time.Time) time.Time {
	if e.lending == nil || wanted == 0 {
		return time.Time{}
	}
	if now.Before(e.askAt) {
		return e.askAt
	}
	ask, at := b.loans.Ask(now)
	if !ask {
		return at
	}
	e.askAt = now.Add(askInterval)
	e.callbacks = append(e.callbacks, func() { e.requestMore(b, min(wanted, connbudget.MaxLoan), now) })
	return time.Time{}
}

// renewLoan asks for a loan again that ends soon and is still needed. Each loan is renewed
// about once a second, so askInterval does not apply. The caller holds mu.
func (e *Executor) renewLoan(b *serverBudget, now time.Time) {
	if !b.loans.IsBorrower(now) {
		return
	}
	_, customers := b.state(now)
	vm, n := b.loans.Renewal(b.share.At(now), b.plan.Floors, customers, now)
	if n == 0 {
		return
	}
	if ask, _ := b.loans.Ask(now); ask {
		e.callbacks = append(e.callbacks, func() { e.requestLoan(b, vm, n, now) })
	}
}

// requestMore asks the VM that lent the last time for more connections, or the next one if
// that lends no more. It is called without mu.
func (e *Executor) requestMore(b *serverBudget, more int, now time.Time) {
	server := e.table.Current().Servers[b.server]
	var lenders []string
	if server != nil {
		lenders = e.lending.Lenders(server)
	}
	if len(lenders) == 0 {
		e.post(func() { e.handleLoan(b, "", 0, now) })
		return
	}
	slices.Sort(lenders)
	e.mu.Lock()
	vm := lenders[b.lender%uint32(len(lenders))]
	wanted := b.loans.Borrowed(vm, now) + more
	e.mu.Unlock()
	e.requestLoan(b, vm, wanted, now)
}

// requestLoan asks a VM for a loan. It is called without mu.
func (e *Executor) requestLoan(b *serverBudget, vm string, wanted int, sentAt time.Time) {
	// Only the first of answer and time-out counts.
	answered := false
	finish := func(lent int) {
		e.post(func() {
			if !answered {
				answered = true
				e.handleLoan(b, vm, min(lent, wanted), sentAt)
			}
		})
	}
	timeout := time.AfterFunc(answerTimeout, func() { finish(0) })
	if !e.lending.RequestConnections(vm, b.server, wanted, func(lent int) {
		timeout.Stop()
		finish(lent)
	}) {
		timeout.Stop()
		finish(0)
	}
}

// handleLoan handles the answer of a lender.
func (e *Executor) handleLoan(b *serverBudget, vm string, lent int, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	before := b.loans.Borrowed(vm, now)
	b.loans.Answered(vm, lent, sentAt, now)
	if lent <= before {
		b.lender++
	} else {
		e.metrics.borrowed.Inc(int64(lent - before))
	}
	e.renewLoan(b, now)
	e.balance(b)
}

// LendConnections lends up to n of this VM's connections to the server to the borrower, in
// total, and calls reply with their number, after it has closed idle connections for them.
func (e *Executor) LendConnections(borrower, server string, n int, reply func(lent int)) {
	e.post(func() {
		d := e.table.Current()
		s := d.Servers[server]
		if s == nil || e.lending == nil {
			reply(0)
			return
		}
		e.refreshPlan(d, s, planInterval)
		e.mu.Lock()
		defer e.mu.Unlock()
		b, now := e.budget(server), time.Now()
		_, customers := b.state(now)
		lent := b.loans.Lend(borrower, n, b.share.At(now), b.plan.Floors, now.Before(b.heldUntil), customers, now)
		if lent > 0 {
			e.metrics.lent.Inc(int64(lent))
			e.balance(b)
		}
		e.callbacks = append(e.callbacks, func() { reply(lent) })
	})
}
