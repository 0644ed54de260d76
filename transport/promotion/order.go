package promotion

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

// queryPrimary requests a leadership confirmation from the primary.
func (c *Coordinator) queryPrimary(group string, primary *catalog.Server, gs *groupState) {
	c.queryLeadership(group, primary, func(r statement.Result) {
		c.mu.Lock()
		defer c.mu.Unlock()
		gs.queryPending = false
		if !r.PrimaryConfirmed {
			gs.failures++
		}
		if r.Answer.Code == statement.Down {
			gs.refusals++
		}
	})
}

// queryLeadership requests a leadership confirmation from a server, records its answer and
// then calls done.
func (c *Coordinator) queryLeadership(group string, server *catalog.Server, done func(statement.Result)) {
	sentAt := clock.Now()
	c.runOnServer(group, server, statement.RemoteStatement{
		BeginsTx: true, Command: statement.Command{Verb: statement.Rollback},
	}, func(r statement.Result) {
		c.Leadership.With(group, func(l *leadership.Group) {
			switch {
			case r.PrimaryConfirmed:
				l.RecordConfirmation(server.ID, r.Answer.At, sentAt)
			case r.Answer.Code == statement.ReadOnly:
				l.RecordNotPrimary(server)
			}
		})
		done(r)
	})
}

// confirmsLeadership queries a server and reports whether it confirms that it is the
// primary.
func (c *Coordinator) confirmsLeadership(ctx context.Context, group string, server *catalog.Server) bool {
	confirmed := make(chan bool, 1)
	c.queryLeadership(group, server, func(r statement.Result) { confirmed <- r.PrimaryConfirmed })
	select {
	case <-ctx.Done():
		return false
	case isPrimary := <-confirmed:
		return isPrimary
	}
}

// runOnServer runs a command of the coordinator itself on a server. It uses a
// connection of the customer with the highest rate, because that is the most
// likely one to be open.
func (c *Coordinator) runOnServer(group string, server *catalog.Server, w statement.RemoteStatement, done func(statement.Result)) {
	w.Group, w.Server, w.Customer = group, server.ID, c.connectionCustomer()
	w.Timeout, w.Wait = queryTimeout, queryTimeout
	vm, ok := c.View().ConnectionOwner(w.Customer, server, placement.MaxConnectionOwners(c.Table.Current().Config, group))
	if !ok {
		vm = c.Name
	}
	c.Runner.Run(vm, &w, done)
}

func (c *Coordinator) connectionCustomer() string {
	best := ""
	rate := -1.0
	for _, customer := range c.Table.Current().Config.Customers {
		if customer.Rate > rate {
			best, rate = customer.Name, customer.Rate
		}
	}
	return best
}

// queryServer queries a server for its role and position.
func (c *Coordinator) queryServer(ctx context.Context, group string, server *catalog.Server, cmd statement.Command) (sqlback.Report, error) {
	results := make(chan statement.Result, 1)
	c.runOnServer(group, server, statement.RemoteStatement{Command: cmd}, func(r statement.Result) { results <- r })
	select {
	case <-ctx.Done():
		return sqlback.Report{}, ctx.Err()
	case r := <-results:
		if r.Answer.Code != statement.OK || len(r.Answer.Rows) != 1 {
			return sqlback.Report{}, eris.Errorf("the server returned no report: %s %s", r.Answer.Code, r.Answer.Text)
		}
		return c.Reports.DecodeReport(r.Answer.Rows[0])
	}
}

// replacePrimary promotes another server because the primary is lost. Orders
// that are not confirmed are repeated with a new fencing token.
func (c *Coordinator) replacePrimary(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer c.finishPromotion(gs)
	startedAt := clock.Now()
	if c.syncReplicas(group) > 0 {
		defer c.resumeReplicas(ctx, group, gs)
	}
	for range maxOrders {
		claim := c.claim()
		best, ok := c.awaitSuccessor(ctx, group, primary, gs)
		if c.claim() != claim {
			continue // another VM held the duty meanwhile, and may have promoted a server
		}
		if !ok {
			return
		}
		if ctx.Err() != nil || c.confirmedSince(group, startedAt) || c.promote(ctx, group, best, gs) {
			return
		}
	}
}

// confirmedSince reports whether a primary has confirmed its leadership since then.
func (c *Coordinator) confirmedSince(group string, since time.Duration) bool {
	confirmed := false
	c.Leadership.With(group, func(l *leadership.Group) { confirmed = l.ConfirmedAt() >= since })
	return confirmed
}

// switchOver replaces a primary that is being taken out of service. The primary
// stops accepting writes first, so that its successor can receive its complete
// log.
func (c *Coordinator) switchOver(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer c.finishPromotion(gs)
	if _, ok := c.bestReplica(ctx, group, primary); !ok {
		return
	}
	synchronous := c.syncReplicas(group) > 0
	if synchronous && !c.hasSuccessor(ctx, group, primary) {
		c.delaySwitchover(gs)
		return
	}
	// An order that does not change the primary verifies that the platform
	// responds. If the primary stepped down and no successor could be promoted,
	// the group would have no primary.
	if !c.orderToStay(ctx, group, primary, gs) {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(maxPromoteDelay):
	}
	end, steppedDown := c.stopPrimary(ctx, group, primary)
	if synchronous && !steppedDown {
		// The primary may go on acknowledging commits.
		c.delaySwitchover(gs)
		return
	}
	best, complete := c.awaitCatchUp(ctx, group, primary, end)
	if best.Diverged && !steppedDown {
		c.delaySwitchover(gs) // the primary may still work
		return
	}
	if synchronous && !complete || best.Diverged {
		c.Logger.WithFields(log.Fields{"group": group, "server": primary.ID}).Warn("promotion: no replica caught up, the leaving primary is kept.")
		c.delaySwitchover(gs)
		best = succession.Candidate{Server: primary, Received: end}
	}
	for range maxOrders {
		if best.Server == nil || ctx.Err() != nil || c.promote(ctx, group, best, gs) {
			return
		}
	}
}

// promote orders a promotion, waits for it to take effect, and reports whether
// the server has become the primary.
func (c *Coordinator) promote(ctx context.Context, group string, candidate succession.Candidate, gs *groupState) bool {
	before := c.beginTerm(group, candidate, gs)
	err := c.giveOrder(ctx, group, candidate.Server, gs)
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrNotSent) {
		c.setPromotions(gs, before)
	}
	if err != nil || !c.awaitLeadership(ctx, group, candidate.Server) {
		return false
	}
	c.refineTerm(group, candidate.Server.ID, gs)
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.ordersEndAt = 0
	return true
}

// awaitLeadership waits until the server confirms its leadership, for at most
// succession.RepeatAfter, and reports whether it did.
func (c *Coordinator) awaitLeadership(ctx context.Context, group string, server *catalog.Server) bool {
	ordered := clock.Now()
	deadline := time.Now().Add(succession.RepeatAfter)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if c.confirmsLeadership(ctx, group, server) {
			c.steps[stepConfirm].RecordDuration(clock.Now() - ordered)
			c.Logger.WithFields(log.Fields{"group": group, "server": server.ID}).Info("promotion: the new primary has confirmed its leadership.")
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// needsSupersede reports whether an order may still be carried out although the primary
// works. The caller holds the coordinator's mu.
func (gs *groupState) needsSupersede(status *succession.GroupStatus) bool {
	return gs.orderUnconfirmed && status.Now >= gs.supersedeAt && status.RecentlyConfirmed() && status.ConfirmedAt >= gs.queriedAt
}

// supersedeOrder orders the current primary to remain the primary. An earlier
// order whose response was lost then has no effect if it is executed late.
func (c *Coordinator) supersedeOrder(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer c.finishStep(gs)
	c.orderToStay(ctx, group, primary, gs)
}

// orderToStay orders the primary to remain the primary, and reports whether the order was
// executed. The server must confirm its leadership first: for one that was replaced, the
// order would be a promotion, which drops the commits of its successor.
func (c *Coordinator) orderToStay(ctx context.Context, group string, primary *catalog.Server, gs *groupState) bool {
	if !c.confirmsLeadership(ctx, group, primary) || c.giveOrder(ctx, group, primary, gs) != nil {
		return false
	}
	c.dropFailedPromotions(group, primary.ID, gs)
	return true
}

// giveOrder gives one order to the platform. Its errors are those of sendOrder.
func (c *Coordinator) giveOrder(ctx context.Context, group string, server *catalog.Server, gs *groupState) error {
	c.recordOrder(ctx, group, gs)
	err := c.sendOrder(ctx, group, server)
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.ordering = false
	c.recordChanged = true
	switch {
	case err == nil:
		gs.orderUnconfirmed = false
		gs.ordersEndAt = clock.Now() + maxPromoteDelay
	case errors.Is(err, ErrRefused):
		// Another VM may have claimed the duty, so this VM has to claim it
		// again.
		c.dropTokens()
	case !errors.Is(err, ErrNotSent):
		gs.orderUnconfirmed = true
	}
	return err
}

// recordOrder begins to record that an order may be carried out even if this VM ends. The
// order doesn't wait for that: the store may be slow or unavailable. Where commits wait for
// replicas, a successor assumes that an order is out.
func (c *Coordinator) recordOrder(ctx context.Context, group string, gs *groupState) {
	if c.syncReplicas(group) > 0 {
		return
	}
	c.mu.Lock()
	gs.ordering, c.recordChanged = true, true
	c.mu.Unlock()
	c.saveRecord(ctx)
}

// sendOrder sends one order to the platform. Its errors are those of Platform.Promote;
// ErrNotSent also if this VM has no fencing token left, or no contact with a majority of the
// VMs.
func (c *Coordinator) sendOrder(ctx context.Context, group string, server *catalog.Server) error {
	if c.View().InMinority() {
		// The majority may have another coordinator.
		c.Logger.WithFields(log.Fields{"group": group, "server": server.ID}).Warn("promotion: order not sent, no majority of the VMs is reachable.")
		return ErrNotSent
	}
	token, ok := c.nextFencingToken()
	if !ok {
		return ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.orderCount.Inc(1)
	begin := clock.Now()
	err := c.Platform.Promote(ctx, group, server.ID, c.Name, token)
	c.steps[stepOrder].RecordDuration(clock.Now() - begin)
	entry := c.Logger.WithFields(log.Fields{"group": group, "server": server.ID, "token": token})
	if err != nil {
		entry.WithError(err).Warn("promotion: order not confirmed.")
		return err
	}
	entry.Info("promotion: order carried out.")
	return nil
}

// finishStep ends a step after which the group is watched as before.
func (c *Coordinator) finishStep(gs *groupState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.promoting = false
}

func (c *Coordinator) finishPromotion(gs *groupState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.promoting = false
	gs.failures, gs.refusals = 0, 0
	gs.watchedSince = clock.Now()
}
