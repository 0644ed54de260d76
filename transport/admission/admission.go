// Package admission counts customers' operations against their limits, with
// tokens that the customer's ledger VMs grant.
package admission

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// Caller calls other VMs.
type Caller interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	View() *placement.View
}

const (
	// maxWait is how long an operation waits for a token. It is less than a
	// quarter of the shortest latency objective, up to which a refusal counts
	// as immediate.
	maxWait = 30 * time.Millisecond
	// askAgainAfter is the pause after a grant that was too small.
	askAgainAfter = 10 * time.Millisecond
	// answerTimeout is how long a ledger's answer is waited for before the other
	// one is asked. A VM whose processor share is used up rests for up to a tenth
	// of a second; most answers come within a round trip.
	answerTimeout = 40 * time.Millisecond
	// maxLostWait is how long an operation waits if a ledger is lost before it
	// answers. Its successor is known when the link closes.
	maxLostWait = 300 * time.Millisecond
	// slowFor is how long a ledger that did not answer in time is asked only
	// after the other one.
	slowFor = time.Second
)

// waiter is an operation that waits for a token.
type waiter struct {
	done  Done
	since time.Duration
}

// Done is told whether an operation is admitted, and if not, when a retry can
// succeed.
type Done func(admitted bool, retryAfter time.Duration)

// Gate admits operations of this VM's clients and grants tokens as a ledger.
type Gate struct {
	table  *catalog.Table
	quota  *quota.Table
	caller Caller
	logger log.Interface

	admitted, refused tally.Counter

	mu      lockrank.Mutex           // guards the fields below
	waiting map[string][]waiter      // by customer, oldest first
	slow    map[string]time.Duration // VM to the time until which it is asked last
	view    *placement.View          // that ledgers belong to
	ledgers map[string][catalog.Halves]string
}

// New returns a gate.
func New(table *catalog.Table, q *quota.Table, caller Caller, logger log.Interface, scope tally.Scope) *Gate {
	return &Gate{
		table: table, quota: q, caller: caller, logger: logger,
		admitted: scope.Counter("operations_admitted"), refused: scope.Counter("operations_over_limit"),
		mu: lockrank.New(lockrank.Session), waiting: make(map[string][]waiter), slow: make(map[string]time.Duration),
	}
}

// Admit implements sqlfront.Admitter. Operations of clients without a customer
// are not counted.
func (g *Gate) Admit(customer string, done func(bool, time.Duration)) {
	config := g.table.Current().Config
	if config == nil || config.Customer(customer) == nil {
		done(true, 0)
		return
	}
	g.mu.Lock()
	now := clock.Now()
	a := g.quota.Admit(customer, now)
	if !a.Admitted {
		g.waiting[customer] = append(g.waiting[customer], waiter{done, now})
	}
	g.mu.Unlock()
	if a.Admitted {
		g.admitted.Inc(1)
		done(true, 0)
	}
	if a.Ask > 0 {
		g.ask(customer, a.Ask)
	}
}

// question asks a customer's ledgers for tokens, one after the other.
type question struct {
	customer string
	want     int
	got      int
	left     []catalog.Half // whose ledgers are still to be asked
	ledgers  [catalog.Halves]string
	failed   bool // a ledger was lost before it answered
}

// ask asks the customer's ledgers for n tokens.
func (g *Gate) ask(customer string, n int) {
	view := g.caller.View()
	q := &question{customer: customer, want: n, ledgers: g.ledgersOf(customer, view)}
	for _, i := range g.order(view, q.ledgers) {
		q.left = append(q.left, catalog.Half{Customer: customer, Index: i})
	}
	g.askNext(q)
}

// ledgersOf returns the customer's ledgers. Finding them takes a look at all VMs,
// so they are kept until the view changes.
func (g *Gate) ledgersOf(customer string, view *placement.View) [catalog.Halves]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view != view {
		g.view, g.ledgers = view, make(map[string][catalog.Halves]string)
	}
	ledgers, known := g.ledgers[customer]
	if !known {
		ledgers = view.Ledgers(customer)
		g.ledgers[customer] = ledgers
	}
	return ledgers
}

// order returns the halves in the order in which their ledgers are asked: slow
// ones last, and else those of this data centre first.
func (g *Gate) order(view *placement.View, ledgers [catalog.Halves]string) []uint8 {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := func(i uint8) int {
		switch vm := ledgers[i]; {
		case g.slow[vm] > now:
			return 2
		case view.Near(vm):
			return 0
		}
		return 1
	}
	first := view.Half()
	second := catalog.Halves - 1 - first
	if cost(second) < cost(first) {
		first, second = second, first
	}
	return []uint8{first, second}
}

// askNext asks the next ledger for what is missing, or ends the question.
func (g *Gate) askNext(q *question) {
	for q.got < q.want && len(q.left) > 0 {
		h := q.left[0]
		q.left = q.left[1:]
		ledger := q.ledgers[h.Index]
		if ledger != g.caller.View().Self {
			if g.askVM(q, ledger, h) {
				return
			}
			q.failed = true
			continue
		}
		q.got += g.Grant(h, q.want-q.got)
	}
	g.granted(q)
}

// askVM asks another VM, and goes on with the question when it answers or is
// late. It reports false if the VM is not linked.
func (g *Gate) askVM(q *question, ledger string, h catalog.Half) bool {
	var settled atomic.Bool // the question went on
	late := time.AfterFunc(answerTimeout, func() {
		if settled.CompareAndSwap(false, true) {
			g.setSlow(ledger, h.Customer)
			g.askNext(q)
		}
	})
	sent := g.caller.Call(ledger, fleetwire.KindTokens, fleetwire.AppendTokens(nil, h, q.want-q.got), func(f fleetwire.Frame, ok bool) {
		late.Stop()
		tokens := g.decodeGrant(f, ok)
		if !settled.CompareAndSwap(false, true) {
			g.quota.GrantedLate(h.Customer, tokens, clock.Now())
			return
		}
		q.got += tokens
		q.failed = q.failed || !ok
		g.askNext(q)
	})
	if !sent {
		late.Stop()
	}
	return sent || !settled.CompareAndSwap(false, true)
}

// setSlow asks the ledger only after the other one for a while.
func (g *Gate) setSlow(ledger, customer string) {
	now := clock.Now()
	g.mu.Lock()
	known := g.slow[ledger] > now
	g.slow[ledger] = now + slowFor
	g.mu.Unlock()
	if !known {
		g.logger.WithFields(log.Fields{"vm": ledger, "customer": customer}).Warn("limits: a ledger does not answer in time.")
	}
}

// decodeGrant returns the tokens that a ledger granted: none if its link broke.
func (g *Gate) decodeGrant(f fleetwire.Frame, ok bool) int {
	if !ok {
		return 0
	}
	granted, err := fleetwire.DecodeNumber(f.Body)
	if err != nil {
		g.logger.WithError(err).Error("limits: a grant cannot be decoded.")
		return 0
	}
	return int(granted)
}

// granted passes what the ledgers granted on to the operations that wait for it.
func (g *Gate) granted(q *question) {
	customer := q.customer
	config := g.table.Current().Config
	retryAfter := time.Second
	if c := config.Customer(customer); c != nil {
		retryAfter = quota.Wait(c)
	}
	now := clock.Now()
	g.mu.Lock()
	admitted := g.quota.Granted(customer, q.got, now)
	waiting := g.waiting[customer]
	served, rest := waiting[:admitted], waiting[admitted:]
	limit := maxWait
	if q.failed {
		// A ledger that was lost says nothing about the limit: its successor is asked.
		limit = maxLostWait
	}
	refused := 0
	for refused < len(rest) && now-rest[refused].since >= limit {
		refused++
	}
	g.quota.Refuse(customer, refused)
	turned, rest := rest[:refused], rest[refused:]
	g.waiting[customer] = rest
	g.mu.Unlock()
	g.admitted.Inc(int64(admitted))
	g.refused.Inc(int64(refused))
	for _, w := range served {
		w.done(true, 0)
	}
	for _, w := range turned {
		w.done(false, retryAfter)
	}
	if len(rest) == 0 {
		return
	}
	time.AfterFunc(askAgainAfter, func() {
		if ask := g.quota.AskAgain(customer); ask > 0 {
			g.ask(customer, ask)
		}
	})
}

// Grant grants up to n tokens of a half of a customer's limit as its ledger.
func (g *Gate) Grant(h catalog.Half, n int) int {
	config := g.table.Current().Config
	if config == nil {
		return 0
	}
	c := config.Customer(h.Customer)
	if c == nil {
		return 0
	}
	view, now := g.caller.View(), clock.Now()
	if view.Complete() {
		g.quota.Joined(now)
	}
	return g.quota.Take(c, h.Index, view.Members, n, now)
}
