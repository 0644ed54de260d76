package promotion

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	// lostDrain is how long statements that were sent to a lost primary may still be
	// answered.
	lostDrain = 100 * time.Millisecond
	// switchoverDrain is the same for a primary that works. It covers nearly all
	// statements.
	switchoverDrain = 300 * time.Millisecond
	// settleTimeout limits how long orders are repeated for a server whose
	// designation the VMs have accepted.
	settleTimeout = 6 * time.Second
	// switchoverRetryDelay separates attempts of a switchover. During an attempt the
	// group takes no writes.
	switchoverRetryDelay = time.Second
)

// On a platform that does not enforce fencing, an order cannot be superseded, and a
// replaced primary goes on for a while. Therefore the VMs stop using all other servers
// of the group before the first order, and an order whose outcome is unknown is only
// ever repeated for the same server.

// orderResult is the result of promoting a designated server.
type orderResult uint8

const (
	promoted    orderResult = iota
	notRunning              // the platform refused the order because the server is not running
	notOrdered              // the platform received no order
	outcomeOpen             // an order may have been executed, or may still be
)

// replaceFenced promotes another server because the primary is lost. awaited is the
// server that a previous attempt designated without success, or "".
func (c *Coordinator) replaceFenced(ctx context.Context, group string, primary *catalog.Server, awaited string, gs *groupState) {
	defer c.finishPromotion(gs)
	startedAt := clock.Now()
	former := primary
	if primary != nil && primary.ID == awaited {
		former = nil // it may still take over
	}
	syncReplicas := c.syncReplicas(group)
	tried := make(map[string]bool)
	selectUntried := func() (succession.Candidate, bool) {
		survey := c.survey(ctx, group, former)
		best, ok := bestUntried(survey, syncReplicas, tried, awaited)
		c.logSelection(group, survey, best, ok)
		return best, ok && (syncReplicas > 0 || best.Server.ID == awaited || c.mayPromote(group, best))
	}
	for range maxOrders {
		best, ok := selectUntried()
		if !ok || ctx.Err() != nil || c.confirmedSince(group, startedAt) || !c.designate(ctx, group, best.Server, lostDrain) {
			return
		}
		if syncReplicas > 0 {
			// Commits may have been acknowledged until the VMs accepted the designation.
			last, ok := selectUntried()
			if !ok {
				if primary != nil {
					c.designate(ctx, group, primary, 0)
				}
				return
			}
			if last.Server.ID != best.Server.ID && !c.designate(ctx, group, last.Server, 0) {
				return
			}
			best = last
		}
		if c.promoteDesignated(ctx, group, best, former, gs) != notRunning {
			return
		}
		tried[best.Server.ID] = true
	}
}

// bestUntried returns the awaited server if it is a candidate, because an order to
// promote it may be pending, and else the one that succession.SelectSuccessor selects.
// It skips those in tried, which the platform refused to promote.
func bestUntried(survey succession.Survey, syncReplicas int, tried map[string]bool, awaited string) (succession.Candidate, bool) {
	left := succession.Survey{Silent: slices.Clone(survey.Silent)}
	for _, candidate := range survey.Candidates {
		switch {
		case tried[candidate.Server.ID]:
			left.Silent = append(left.Silent, candidate.Server.ID)
		case candidate.Server.ID == awaited:
			return candidate, true
		default:
			left.Candidates = append(left.Candidates, candidate)
		}
	}
	return succession.SelectSuccessor(left, syncReplicas)
}

// switchOverFenced replaces a primary that is being taken out of service. Once the VMs
// have stopped using it, its successor can receive its complete log.
func (c *Coordinator) switchOverFenced(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer c.finishPromotion(gs)
	defer c.delaySwitchover(gs)
	best, ok := c.bestReplica(ctx, group, primary)
	if !ok {
		return
	}
	if !c.designate(ctx, group, best.Server, switchoverDrain) {
		c.designate(ctx, group, primary, 0)
		return
	}
	last, err := c.queryServer(ctx, group, primary, statement.Command{Verb: statement.Status})
	if err != nil {
		c.Logger.WithError(err).WithField("server", primary.ID).Warn("promotion: the leaving primary did not report its position.")
	}
	caughtUp, complete := c.awaitCatchUp(ctx, group, primary, last.Received)
	if c.syncReplicas(group) > 0 && (err != nil || !complete) {
		c.designate(ctx, group, primary, 0)
		return
	}
	if caughtUp.Server == nil || caughtUp.Diverged {
		caughtUp = best
	}
	if caughtUp.Server.ID != best.Server.ID && !c.designate(ctx, group, caughtUp.Server, 0) {
		return
	}
	switch c.promoteDesignated(ctx, group, caughtUp, primary, gs) {
	case notOrdered, notRunning:
		// The leaving primary still is the primary.
		c.designate(ctx, group, primary, 0)
	}
}

// designate makes the VMs use no other server as the primary of the group, and reports
// whether none does.
func (c *Coordinator) designate(ctx context.Context, group string, server *catalog.Server, drain time.Duration) bool {
	token, ok := c.nextFencingToken()
	if !ok {
		return false
	}
	begin := clock.Now()
	done := c.Fencer.Designate(ctx, fencing.Designation{Group: group, Server: server.ID, Token: token}, drain)
	c.steps[stepFence].RecordDuration(clock.Now() - begin)
	c.Logger.WithFields(log.Fields{"group": group, "server": server.ID, "token": token, "ok": done, "ms": (clock.Now() - begin).Milliseconds()}).
		Info("promotion: designation sent.")
	return done
}

// promoteDesignated orders the promotion of a server that the VMs have accepted, until
// it confirms its leadership. former is the previous primary, or nil.
func (c *Coordinator) promoteDesignated(ctx context.Context, group string, candidate succession.Candidate, former *catalog.Server, gs *groupState) orderResult {
	before := c.beginTerm(group, candidate, gs)
	result := c.orderDesignated(ctx, group, candidate.Server, former)
	switch result {
	case promoted:
		c.refineTerm(group, candidate.Server.ID, gs)
	case notRunning, notOrdered:
		c.setPromotions(gs, before)
	}
	return result
}

// orderDesignated gives the orders of promoteDesignated.
func (c *Coordinator) orderDesignated(ctx context.Context, group string, server, former *catalog.Server) orderResult {
	result := notOrdered
	for begin := clock.Now(); clock.Now()-begin < settleTimeout && ctx.Err() == nil; time.Sleep(pollInterval) {
		err := c.sendFencedOrder(ctx, group, server)
		switch {
		case err == nil:
			result = outcomeOpen
			if former != nil && former.ID != server.ID {
				c.stepDown(group, former)
			}
			if c.awaitLeadership(ctx, group, server) {
				return promoted
			}
		case errors.Is(err, ErrRefused):
			return notRunning
		case !errors.Is(err, ErrNotSent):
			result = outcomeOpen
		case result == notOrdered:
			return notOrdered
		}
	}
	return result
}

// sendFencedOrder sends an order unless another VM may be the failover coordinator.
func (c *Coordinator) sendFencedOrder(ctx context.Context, group string, server *catalog.Server) error {
	if !c.isExclusive() || !c.holdsDuty() || !c.Fencer.HasLease() {
		return ErrNotSent
	}
	return c.sendOrder(ctx, group, server)
}

// stepDown makes a former primary a replica, so that no VM can use it any more, not
// even one that has restarted and doesn't know of its successor. The former primary
// may be unreachable, and it then becomes a replica later by itself.
func (c *Coordinator) stepDown(group string, former *catalog.Server) {
	term := uint64(0)
	c.Leadership.With(group, func(l *leadership.Group) { term = l.Term() })
	c.runOnServer(group, former, statement.RemoteStatement{Command: statement.Command{Verb: statement.StepDown, Term: term + 1}}, func(r statement.Result) {
		c.Logger.WithFields(log.Fields{"group": group, "server": former.ID, "code": r.Answer.Code.String(), "term": term + 1}).
			Info("promotion: the former primary was told to step down.")
	})
}
