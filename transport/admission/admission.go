// Package admission enforces customers' rate limits with tokens that the
// customer's quota coordinators grant. A quota coordinator is the VM that
// accounts for a partition of a customer's limit.
package admission

import (
	"slices"
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
	// DecodesRanks reports whether the VM decodes the ranks in a request for tokens.
	DecodesRanks(vm string) bool
}

const (
	// maxWait is how long an operation waits for a token. It is less than a
	// quarter of the shortest latency objective; up to a quarter, a refusal
	// counts as immediate.
	maxWait = 30 * time.Millisecond
	// retryDelay is the pause after a grant that did not cover all waiting
	// operations.
	retryDelay = 10 * time.Millisecond
	// responseTimeout is how long a quota coordinator may take to respond before the other
	// one is asked. A VM that has used up its CPU quota may be throttled for up
	// to 100 ms; most responses arrive within a round trip.
	responseTimeout = 40 * time.Millisecond
	// maxWaitAfterLoss is how long an operation waits if the link to a quota
	// coordinator is lost before the response arrives. The successor is known once the
	// link is closed.
	maxWaitAfterLoss = 300 * time.Millisecond
	// slowPeriod is how long a quota coordinator that did not respond in time is asked
	// only after the other one.
	slowPeriod = time.Second
)

// waiter is an operation that waits for a token.
type waiter struct {
	done  Done
	rank  int
	since time.Duration
}

// Done receives the decision on an operation. If the operation is not admitted,
// retryAfter is the time after which a retry can succeed.
type Done func(admitted bool, retryAfter time.Duration)

// Controller admits operations of this VM's clients and, as a quota coordinator,
// grants tokens to other VMs.
type Controller struct {
	table  *catalog.Table
	quota  *quota.Table
	caller Caller
	logger log.Interface

	admitted, refused tally.Counter

	mu               lockrank.Mutex           // guards the fields below
	waiting          map[string][]waiter      // by customer, in order of their rank and age
	slowUntil        map[string]time.Duration // VM to the end of the period in which it is asked last
	coordinatorsView *placement.View          // for which coordinators was computed
	coordinators     map[string][catalog.LimitPartitions]string
}

// New returns a Controller.
func New(table *catalog.Table, q *quota.Table, caller Caller, logger log.Interface, scope tally.Scope) *Controller {
	return &Controller{
		table: table, quota: q, caller: caller, logger: logger,
		admitted: scope.Counter("operations_admitted"), refused: scope.Counter("operations_over_limit"),
		mu: lockrank.New(lockrank.Session), waiting: make(map[string][]waiter), slowUntil: make(map[string]time.Duration),
	}
}

// Admit implements sqlfront.Admitter. Operations without a configured customer
// are not limited.
func (g *Controller) Admit(customer string, rank int, done func(bool, time.Duration)) {
	rank = min(rank, quota.NumRanks-1)
	config := g.table.Current().Config
	if config == nil || config.Customer(customer) == nil {
		done(true, 0)
		return
	}
	g.mu.Lock()
	now := clock.Now()
	a := g.quota.Admit(customer, rank, now)
	if !a.Admitted {
		list := g.waiting[customer]
		i := len(list)
		for i > 0 && list[i-1].rank > rank {
			i--
		}
		g.waiting[customer] = slices.Insert(list, i, waiter{done, rank, now})
	}
	g.mu.Unlock()
	if a.Admitted {
		g.admitted.Inc(1)
		done(true, 0)
	}
	if a.Request.Total() > 0 {
		g.requestTokens(customer, a.Request)
	}
}

// tokenRequest is a request for tokens to a customer's quota coordinators, one
// after the other.
type tokenRequest struct {
	customer        string
	want            quota.Wanted
	granted         int
	remaining       []catalog.LimitPartition // partitions whose quota coordinators have not been asked yet
	coordinators    [catalog.LimitPartitions]string
	coordinatorLost bool // the link to a quota coordinator was lost before it responded
}

// requestTokens requests tokens from the customer's quota coordinators.
func (g *Controller) requestTokens(customer string, want quota.Wanted) {
	view := g.caller.View()
	r := &tokenRequest{customer: customer, want: want, coordinators: g.cachedCoordinators(customer, view)}
	for _, i := range g.coordinatorOrder(view, r.coordinators) {
		r.remaining = append(r.remaining, catalog.LimitPartition{Customer: customer, Index: i})
	}
	g.requestNext(r)
}

// cachedCoordinators returns the customer's quota coordinators. They are cached
// until the view changes, because their computation inspects all VMs.
func (g *Controller) cachedCoordinators(customer string, view *placement.View) [catalog.LimitPartitions]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coordinatorsView != view {
		g.coordinatorsView, g.coordinators = view, make(map[string][catalog.LimitPartitions]string)
	}
	coordinators, known := g.coordinators[customer]
	if !known {
		coordinators = view.QuotaCoordinators(customer)
		g.coordinators[customer] = coordinators
	}
	return coordinators
}

// coordinatorOrder returns the partitions in the order in which their quota
// coordinators are asked: slow quota coordinators last, otherwise quota
// coordinators of this data centre first.
func (g *Controller) coordinatorOrder(view *placement.View, coordinators [catalog.LimitPartitions]string) []uint8 {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := func(i uint8) int {
		switch vm := coordinators[i]; {
		case g.slowUntil[vm] > now:
			return 2
		case view.InSameDataCentre(vm):
			return 0
		}
		return 1
	}
	first := view.PreferredPartition()
	second := catalog.LimitPartitions - 1 - first
	if cost(second) < cost(first) {
		first, second = second, first
	}
	return []uint8{first, second}
}

// requestNext requests the missing tokens from the next quota coordinator. If
// there are enough tokens or no quota coordinators left, it distributes the
// tokens.
func (g *Controller) requestNext(r *tokenRequest) {
	for r.granted < r.want.Total() && len(r.remaining) > 0 {
		p := r.remaining[0]
		r.remaining = r.remaining[1:]
		coordinator := r.coordinators[p.Index]
		if coordinator != g.caller.View().Self {
			if g.requestFrom(r, coordinator, p) {
				return
			}
			r.coordinatorLost = true
			continue
		}
		r.granted += g.Grant(p, r.want.After(r.granted))
	}
	g.distribute(r)
}

// requestFrom requests tokens from another VM and continues the token request
// when it responds or times out. It returns false if there is no link to the VM.
func (g *Controller) requestFrom(r *tokenRequest, coordinator string, p catalog.LimitPartition) bool {
	var resumed atomic.Bool // the token request has continued
	timeout := time.AfterFunc(responseTimeout, func() {
		if resumed.CompareAndSwap(false, true) {
			g.markSlow(coordinator, p.Customer)
			g.requestNext(r)
		}
	})
	request := fleetwire.AppendTokenRequest(nil, p, r.want.After(r.granted), g.caller.DecodesRanks(coordinator))
	sent := g.caller.Call(coordinator, fleetwire.KindTokenRequest, request, func(f fleetwire.Frame, ok bool) {
		timeout.Stop()
		tokens := g.decodeGrant(f, ok)
		if !resumed.CompareAndSwap(false, true) {
			g.quota.AddLateGranted(p.Customer, tokens, clock.Now())
			return
		}
		r.granted += tokens
		r.coordinatorLost = r.coordinatorLost || !ok
		g.requestNext(r)
	})
	if !sent {
		timeout.Stop()
	}
	return sent || !resumed.CompareAndSwap(false, true)
}

// markSlow makes the quota coordinator be asked after the other one for slowPeriod.
func (g *Controller) markSlow(coordinator, customer string) {
	now := clock.Now()
	g.mu.Lock()
	known := g.slowUntil[coordinator] > now
	g.slowUntil[coordinator] = now + slowPeriod
	g.mu.Unlock()
	if !known {
		g.logger.WithFields(log.Fields{"vm": coordinator, "customer": customer}).Warn("limits: a quota coordinator does not answer in time.")
	}
}

// decodeGrant returns the tokens that a quota coordinator granted, or 0 if the
// link was lost.
func (g *Controller) decodeGrant(f fleetwire.Frame, ok bool) int {
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
func (g *Controller) distribute(r *tokenRequest) {
	customer := r.customer
	config := g.table.Current().Config
	retryAfter := time.Second
	if c := config.Customer(customer); c != nil {
		retryAfter = quota.TokenInterval(c)
	}
	now := clock.Now()
	g.mu.Lock()
	admitted := g.quota.AddGranted(customer, r.granted, now)
	waiting := g.waiting[customer]
	served, rest := waiting[:admitted], waiting[admitted:]
	limit := maxWait
	if r.coordinatorLost {
		// The loss of a quota coordinator does not mean that the limit is reached; its
		// successor is asked.
		limit = maxWaitAfterLoss
	}
	var refused quota.Wanted
	var rejected, kept []waiter
	for _, w := range rest {
		if now-w.since >= limit {
			rejected = append(rejected, w)
			refused[w.rank]++
		} else {
			kept = append(kept, w)
		}
	}
	g.quota.Refuse(customer, refused)
	g.waiting[customer] = kept
	g.mu.Unlock()
	g.admitted.Inc(int64(admitted))
	g.refused.Inc(int64(len(rejected)))
	for _, w := range served {
		w.done(true, 0)
	}
	for _, w := range rejected {
		w.done(false, retryAfter)
	}
	if len(kept) == 0 {
		return
	}
	time.AfterFunc(retryDelay, func() {
		if ask := g.quota.RetryRequest(customer); ask.Total() > 0 {
			g.requestTokens(customer, ask)
		}
	})
}

// Grant grants up to the wanted tokens of a partition of a customer's limit, as its quota
// coordinator.
func (g *Controller) Grant(p catalog.LimitPartition, wanted quota.Wanted) int {
	config := g.table.Current().Config
	if config == nil {
		return 0
	}
	c := config.Customer(p.Customer)
	if c == nil {
		return 0
	}
	view, now := g.caller.View(), clock.Now()
	if !view.SelfIsCore() {
		return 0 // an edge owns no share
	}
	if view.Complete() {
		g.quota.AllVMsReachable(now)
	}
	return g.quota.Grant(c, p.Index, view.Members, wanted, now)
}
