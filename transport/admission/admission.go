// Package admission enforces customers' rate limits with tokens that the
// customer's ledgers grant. A ledger is the VM that accounts for a half of a
// customer's limit.
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

// Caller sends calls to other VMs.
type Caller interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	View() *placement.View
}

const (
	// maxWait is how long an operation waits for a token. It is less than a
	// quarter of the shortest latency objective; up to a quarter, a refusal
	// counts as immediate.
	maxWait = 30 * time.Millisecond
	// retryDelay is the pause after a grant that did not cover all waiting
	// operations.
	retryDelay = 10 * time.Millisecond
	// answerTimeout is how long a ledger may take to answer before the other
	// one is asked. A VM that has used up its CPU quota may be throttled for up
	// to 100 ms; most answers arrive within a round trip.
	answerTimeout = 40 * time.Millisecond
	// maxWaitAfterLoss is how long an operation waits if the link to a ledger
	// is lost before the answer arrives. The successor is known once the link
	// is closed.
	maxWaitAfterLoss = 300 * time.Millisecond
	// slowPeriod is how long a ledger that did not answer in time is asked only
	// after the other one.
	slowPeriod = time.Second
)

// waiter is an operation that waits for a token.
type waiter struct {
	done  Done
	since time.Duration
}

// Done receives the decision on an operation. If the operation is not admitted,
// retryAfter is the time after which a retry can succeed.
type Done func(admitted bool, retryAfter time.Duration)

// Gate admits operations of this VM's clients and, as a ledger, grants tokens
// to other VMs.
type Gate struct {
	table  *catalog.Table
	quota  *quota.Table
	caller Caller
	logger log.Interface

	admitted, refused tally.Counter

	mu          lockrank.Mutex           // guards the fields below
	waiting     map[string][]waiter      // by customer, oldest first
	slowUntil   map[string]time.Duration // VM to the end of the period in which it is asked last
	ledgersView *placement.View          // for which ledgers was computed
	ledgers     map[string][catalog.Halves]string
}

// New returns a gate.
func New(table *catalog.Table, q *quota.Table, caller Caller, logger log.Interface, scope tally.Scope) *Gate {
	return &Gate{
		table: table, quota: q, caller: caller, logger: logger,
		admitted: scope.Counter("operations_admitted"), refused: scope.Counter("operations_over_limit"),
		mu: lockrank.New(lockrank.Session), waiting: make(map[string][]waiter), slowUntil: make(map[string]time.Duration),
	}
}

// Admit implements sqlfront.Admitter. Operations without a configured customer
// are not limited.
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
		g.requestTokens(customer, a.Ask)
	}
}

// tokenRequest is a request for tokens to a customer's ledgers, one after the
// other.
type tokenRequest struct {
	customer   string
	want       int
	granted    int
	remaining  []catalog.Half // halves whose ledgers have not been asked yet
	ledgers    [catalog.Halves]string
	ledgerLost bool // the link to a ledger was lost before it answered
}

// requestTokens requests n tokens from the customer's ledgers.
func (g *Gate) requestTokens(customer string, n int) {
	view := g.caller.View()
	r := &tokenRequest{customer: customer, want: n, ledgers: g.cachedLedgers(customer, view)}
	for _, i := range g.ledgerOrder(view, r.ledgers) {
		r.remaining = append(r.remaining, catalog.Half{Customer: customer, Index: i})
	}
	g.requestNext(r)
}

// cachedLedgers returns the customer's ledgers. They are cached until the view
// changes, because their computation inspects all VMs.
func (g *Gate) cachedLedgers(customer string, view *placement.View) [catalog.Halves]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledgersView != view {
		g.ledgersView, g.ledgers = view, make(map[string][catalog.Halves]string)
	}
	ledgers, known := g.ledgers[customer]
	if !known {
		ledgers = view.Ledgers(customer)
		g.ledgers[customer] = ledgers
	}
	return ledgers
}

// ledgerOrder returns the halves in the order in which their ledgers are asked:
// slow ledgers last, otherwise ledgers of this data centre first.
func (g *Gate) ledgerOrder(view *placement.View, ledgers [catalog.Halves]string) []uint8 {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := func(i uint8) int {
		switch vm := ledgers[i]; {
		case g.slowUntil[vm] > now:
			return 2
		case view.InSameDataCentre(vm):
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

// requestNext requests the missing tokens from the next ledger. If there are
// enough tokens or no ledgers left, it distributes the tokens.
func (g *Gate) requestNext(r *tokenRequest) {
	for r.granted < r.want && len(r.remaining) > 0 {
		h := r.remaining[0]
		r.remaining = r.remaining[1:]
		ledger := r.ledgers[h.Index]
		if ledger != g.caller.View().Self {
			if g.requestFrom(r, ledger, h) {
				return
			}
			r.ledgerLost = true
			continue
		}
		r.granted += g.Grant(h, r.want-r.granted)
	}
	g.distribute(r)
}

// requestFrom requests tokens from another VM and continues the token request
// when it answers or times out. It returns false if there is no link to the VM.
func (g *Gate) requestFrom(r *tokenRequest, ledger string, h catalog.Half) bool {
	var resumed atomic.Bool // the token request has continued
	timeout := time.AfterFunc(answerTimeout, func() {
		if resumed.CompareAndSwap(false, true) {
			g.markSlow(ledger, h.Customer)
			g.requestNext(r)
		}
	})
	sent := g.caller.Call(ledger, fleetwire.KindTokens, fleetwire.AppendTokens(nil, h, r.want-r.granted), func(f fleetwire.Frame, ok bool) {
		timeout.Stop()
		tokens := g.decodeGrant(f, ok)
		if !resumed.CompareAndSwap(false, true) {
			g.quota.GrantedLate(h.Customer, tokens, clock.Now())
			return
		}
		r.granted += tokens
		r.ledgerLost = r.ledgerLost || !ok
		g.requestNext(r)
	})
	if !sent {
		timeout.Stop()
	}
	return sent || !resumed.CompareAndSwap(false, true)
}

// markSlow makes the ledger be asked after the other one for slowPeriod.
func (g *Gate) markSlow(ledger, customer string) {
	now := clock.Now()
	g.mu.Lock()
	known := g.slowUntil[ledger] > now
	g.slowUntil[ledger] = now + slowPeriod
	g.mu.Unlock()
	if !known {
		g.logger.WithFields(log.Fields{"vm": ledger, "customer": customer}).Warn("limits: a ledger does not answer in time.")
	}
}

// decodeGrant returns the tokens that a ledger granted, or 0 if the link was
// lost.
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

// distribute passes the granted tokens to waiting operations and refuses those
// that have waited too long. If operations remain, it requests tokens again
// after retryDelay.
func (g *Gate) distribute(r *tokenRequest) {
	customer := r.customer
	config := g.table.Current().Config
	retryAfter := time.Second
	if c := config.Customer(customer); c != nil {
		retryAfter = quota.Wait(c)
	}
	now := clock.Now()
	g.mu.Lock()
	admitted := g.quota.Granted(customer, r.granted, now)
	waiting := g.waiting[customer]
	served, rest := waiting[:admitted], waiting[admitted:]
	limit := maxWait
	if r.ledgerLost {
		// The loss of a ledger does not mean that the limit is reached; its
		// successor is asked.
		limit = maxWaitAfterLoss
	}
	refused := 0
	for refused < len(rest) && now-rest[refused].since >= limit {
		refused++
	}
	g.quota.Refuse(customer, refused)
	rejected, rest := rest[:refused], rest[refused:]
	g.waiting[customer] = rest
	g.mu.Unlock()
	g.admitted.Inc(int64(admitted))
	g.refused.Inc(int64(refused))
	for _, w := range served {
		w.done(true, 0)
	}
	for _, w := range rejected {
		w.done(false, retryAfter)
	}
	if len(rest) == 0 {
		return
	}
	time.AfterFunc(retryDelay, func() {
		if ask := g.quota.AskAgain(customer); ask > 0 {
			g.requestTokens(customer, ask)
		}
	})
}

// Grant grants up to n tokens of a half of a customer's limit, as its ledger.
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
