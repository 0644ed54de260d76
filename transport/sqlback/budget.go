package sqlback

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/connbudget"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// planInterval is the least time between two plans for a server. A plan hashes every
	// customer with every VM of the data centre (about 0.1 ms at 80 customers).
	planInterval = 250 * time.Millisecond
	// planBatch is the number of servers beyond which plans are made less often, so that a
	// VM of a large fleet makes at most planBatch plans in planInterval while its view
	// changes.
	planBatch = 32
	// idlePlanInterval replaces planInterval for servers without new statements.
	idlePlanInterval = time.Second
)

// closeDelay is the time between the end of a connection and the start of the one that
// replaces it. The server counts the first until it has read its end, which takes about
// 0.1 ms inside a data centre.
const closeDelay = time.Millisecond

// serverBudget is this VM's share of the connections to one server. Executor.mu guards
// its fields, except those of the plan's origin, which only events use.
type serverBudget struct {
	server string
	pools  []*serverPool // of the server's customers
	fair   connbudget.Server
	share  connbudget.Share
	loans  connbudget.Loans
	lender uint32 // which lender is asked next; moves on when one lends no more
	plan   placement.ConnectionPlan
	// heldUntil is when the loans of a previous process of this VM have ended.
	heldUntil time.Time
	timer     *time.Timer // runs balance when idle connections may be taken
	timing    time.Time   // when timer runs; zero if it is stopped
	// scratch is the result of state, which is used only until the next call.
	scratch []connbudget.Customer

	plannedAt time.Time
	config    *catalog.Config
	view      *placement.View
}

// budgetMetrics counts how connections move.
type budgetMetrics struct {
	open      tally.Gauge
	reclaimed tally.Counter // idle connections closed for another customer
	yielded   tally.Counter // connections closed after a statement, for a customer that waited for long
	shed      tally.Counter // connections closed because the share fell
	// refusedWait is the time that statements waited which got no connection.
	refusedWait tally.Histogram
	lent        tally.Counter // connections lent to other VMs
	borrowed    tally.Counter // connections borrowed from other VMs
}

func newBudgetMetrics(scope tally.Scope) budgetMetrics {
	return budgetMetrics{
		open: scope.Gauge("server_connections_open"), reclaimed: scope.Counter("server_connections_reclaimed"),
		yielded: scope.Counter("server_connections_yielded"), shed: scope.Counter("server_connections_shed"),
		refusedWait: scope.Histogram("connection_wait_refused", connectionWaitBuckets),
		lent:        scope.Counter("server_connections_lent"), borrowed: scope.Counter("server_connections_borrowed"),
	}
}

// budget returns the budget of the server. The caller holds mu.
func (e *Executor) budget(server string) *serverBudget {
	b := e.budgets[server]
	if b == nil {
		b = &serverBudget{server: server, lender: rand.Uint32()}
		if e.lending != nil {
			b.heldUntil = e.startedAt.Add(connbudget.LoanHold)
		}
		b.timer = time.AfterFunc(time.Hour, func() { e.post(func() { e.handleBudgetTimer(b) }) })
		b.timer.Stop()
		e.budgets[server] = b
	}
	return b
}

// refreshPlan computes the VM's share of the connections to the server if the view or the
// configuration has changed, at most once in the interval. It is called by events, without
// mu: the view has a lock of a lower rank.
func (e *Executor) refreshPlan(d *catalog.Deployment, server *catalog.Server, interval time.Duration) {
	if d.Config == nil {
		return
	}
	e.mu.Lock()
	b := e.budget(server.ID)
	now := time.Now()
	interval *= time.Duration(1 + len(e.budgets)/planBatch)
	due := b.config != d.Config || now.Sub(b.plannedAt) >= interval
	e.mu.Unlock()
	if !due {
		return
	}
	view := e.view()
	if b.config == d.Config && b.view == view && !b.plannedAt.IsZero() {
		return
	}
	plan := placement.PlanConnections(d.Config, view, server)
	e.mu.Lock()
	defer e.mu.Unlock()
	b.config, b.view, b.plannedAt = d.Config, view, now
	if b.plan.Share != plan.Share {
		e.changedShares++
	}
	b.plan = plan
	b.share.Plan(plan.Share, now)
}

// state returns the state of the server's customers, in the order of b.pools. The caller
// holds mu.
func (b *serverBudget) state(now time.Time) (connbudget.Limits, []connbudget.Customer) {
	customers := slices.Grow(b.scratch[:0], len(b.pools))[:len(b.pools)]
	b.scratch = customers
	for i, p := range b.pools {
		c := &customers[i]
		planned, held := b.plan.Customers[p.key.customer]
		*c = connbudget.Customer{Account: &p.account, Weight: planned.Weight, Floor: planned.Floor, Foreign: !held, Open: len(p.conns)}
		if !held {
			c.Weight = 1
		}
		if now.Sub(p.failedAt) >= redialDelay {
			c.Waiting, c.WaitingSince = p.waitingCount(), p.waitingSince()
		}
		for _, conn := range p.conns {
			switch {
			case conn.state == connStarting:
				c.Starting++
			case conn.state == connIdle:
				if c.Idle == 0 || conn.idleSince.Before(c.IdleSince) {
					c.IdleSince = conn.idleSince
				}
				c.Idle++
			case !conn.usedSince.IsZero():
				c.Using += now.Sub(conn.usedSince)
			}
		}
	}
	return connbudget.Limits{Share: b.adjustedShare(now), Reserve: b.plan.Reserve}, customers
}

// balance opens and closes connections to the server as its waiting jobs need them. The
// caller holds mu.
func (e *Executor) balance(b *serverBudget) {
	server := e.table.Current().Servers[b.server]
	if server == nil {
		return
	}
	for {
		now := time.Now()
		if !b.needsBalance(now) {
			b.wakeAt(time.Time{}, now)
			return
		}
		limits, customers := b.state(now)
		a := connbudget.Next(limits, customers, now)
		switch a.Kind {
		case connbudget.Nothing:
			at := e.askForLoan(b, a.Missing, now)
			if at.IsZero() || !a.At.IsZero() && a.At.Before(at) {
				at = a.At
			}
			b.wakeAt(at, now)
			return
		case connbudget.Open:
			e.open(b.pools[a.Customer], server, 0)
		case connbudget.Reclaim:
			e.metrics.reclaimed.Inc(1)
			e.closeLeastRecentlyUsed(b.pools[a.Victim])
			e.open(b.pools[a.Customer], server, closeDelay)
		case connbudget.Close:
			e.metrics.shed.Inc(1)
			e.closeLeastRecentlyUsed(b.pools[a.Victim])
		}
	}
}

// adjustedShare returns the share with the loans.
func (b *serverBudget) adjustedShare(now time.Time) int {
	return b.loans.Adjust(b.share.At(now), b.plan.Floors, now.Before(b.heldUntil), now)
}

// needsBalance reports whether jobs wait or the share is exceeded.
func (b *serverBudget) needsBalance(now time.Time) bool {
	open := 0
	for _, p := range b.pools {
		if p.waitingCount() > 0 {
			return true
		}
		open += len(p.conns)
	}
	return open > b.adjustedShare(now)
}

// wakeAt makes the budget's timer run at the time; zero stops it.
func (b *serverBudget) wakeAt(at, now time.Time) {
	switch {
	case at.IsZero():
		b.timer.Stop()
		b.timing = at
	case !at.Equal(b.timing):
		b.timing = at
		b.timer.Reset(at.Sub(now))
	}
}

func (e *Executor) handleBudgetTimer(b *serverBudget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b.timing = time.Time{}
	e.balance(b)
}

// serveNext assigns the next waiting job to a connection without a job, or marks it idle.
// A new connection is not taken from its customer before it has been used. The caller
// holds mu.
func (e *Executor) serveNext(c *conn) {
	c.state, c.idleSince = connIdle, time.Now()
	if j := c.pool.next(); j != nil {
		e.assign(c, j)
	}
	e.balance(c.pool.budget)
}

// yield closes a connection that was just released if the share is exceeded or if another
// customer needs it more than its own. The caller holds mu.
func (e *Executor) yield(c *conn) bool {
	b := c.pool.budget
	server := e.table.Current().Servers[b.server]
	now := time.Now()
	if server == nil || !b.needsBalance(now) {
		return false
	}
	limits, customers := b.state(now)
	if connbudget.Exceeds(limits, customers, slices.Index(b.pools, c.pool)) {
		e.metrics.shed.Inc(1)
		e.dropIdle(c)
		e.balance(b)
		return true
	}
	i := connbudget.Yield(limits, customers, slices.Index(b.pools, c.pool), now)
	if i < 0 {
		return false
	}
	e.metrics.yielded.Inc(1)
	e.dropIdle(c)
	e.open(b.pools[i], server, closeDelay)
	e.balance(b)
	return true
}

// open starts to open a connection after the delay. The caller holds mu.
func (e *Executor) open(p *serverPool, server *catalog.Server, delay time.Duration) {
	c := &conn{pool: p, prepared: make(map[string]bool)}
	p.conns = append(p.conns, c)
	e.connectionsOpened.Inc(1)
	go func() {
		time.Sleep(delay)
		e.connect(c, server.Address, server.Group)
	}()
}

// closeLeastRecentlyUsed closes the idle connection of the pool that was used least
// recently. The caller holds mu.
func (e *Executor) closeLeastRecentlyUsed(p *serverPool) {
	var oldest *conn
	for _, c := range p.conns {
		if c.state == connIdle && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
			oldest = c
		}
	}
	e.dropIdle(oldest)
}

// dropIdle closes an idle connection without opening another one. The caller holds mu.
func (e *Executor) dropIdle(c *conn) {
	c.state = connClosed
	c.out.CloseNow()
	p := c.pool
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == c })
}

// beginUse records that a job or a transaction uses the connection. The caller holds mu.
func (e *Executor) beginUse(c *conn) {
	if c.usedSince.IsZero() {
		c.usedSince = time.Now()
		c.pool.budget.fair.Use(&c.pool.account, c.pool.waitingCount() > 0)
	}
}

// endUse charges the customer for the use of the connection that ends. The caller holds mu.
func (e *Executor) endUse(c *conn) {
	if c.usedSince.IsZero() {
		return
	}
	weight := 1.0
	if planned, held := c.pool.budget.plan.Customers[c.pool.key.customer]; held {
		weight = planned.Weight
	}
	c.pool.budget.fair.Charge(&c.pool.account, weight, time.Since(c.usedSince))
	c.usedSince = time.Time{}
}

// removePool removes a pool without connections and jobs, and its budget with the last
// pool of the server. The caller holds mu.
func (e *Executor) removePool(key poolKey, p *serverPool) {
	delete(e.pools, key)
	b := p.budget
	b.pools = slices.DeleteFunc(b.pools, func(other *serverPool) bool { return other == p })
}

// sweepBudgets renews the plans, closes connections beyond the shares and removes the
// budgets of servers that are gone.
func (e *Executor) sweepBudgets(d *catalog.Deployment) {
	e.mu.Lock()
	var servers []*catalog.Server
	for id, b := range e.budgets {
		if server := d.Servers[id]; server != nil {
			servers = append(servers, server)
		} else if len(b.pools) == 0 {
			b.timer.Stop()
			delete(e.budgets, id)
		}
	}
	e.mu.Unlock()
	for _, server := range servers {
		e.refreshPlan(d, server, idlePlanInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changedShares > 0 {
		e.logger.WithField("servers", e.changedShares).Info("backend: shares of connections changed.")
		e.changedShares = 0
	}
	open := 0
	for _, b := range e.budgets {
		e.renewLoan(b, time.Now())
		e.balance(b)
		for _, p := range b.pools {
			open += len(p.conns)
		}
	}
	e.metrics.open.Update(float64(open))
}
