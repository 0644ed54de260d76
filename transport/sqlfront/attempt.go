package sqlfront

import (
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/sqlsession"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	// retryDelay is the pause after all suitable servers have failed. A failover
	// takes a second or more.
	retryDelay = 30 * time.Millisecond
	// busyRetryAfter is the delay after which clients are told to retry if no
	// server could run their statement.
	busyRetryAfter = 200 * time.Millisecond
)

// startAttempt runs the operation on the server that is currently the best choice, unless
// the configuration has withdrawn the session's access since the operation was received.
func (c *session) startAttempt(ex *execution) {
	if c.current != ex {
		return
	}
	if a, refused := c.stateMachine.Recheck(ex.op, c.server.Table.Current().Config); refused {
		c.finishExecution(ex, statement.Result{Answer: a}, "", "")
		return
	}
	now := clock.Now()
	target, ok := c.chooseTarget(ex, now)
	if !ok {
		c.retryOrRefuse(ex, now)
		return
	}
	c.send(ex, target, now)
	if delay, may := ex.op.HedgeAfter(); may {
		c.server.Leadership.With(ex.op.Route.Group, func(g *leadership.Group) { g.CountRead() })
		ex.hedgeTimer = time.AfterFunc(delay, func() { c.queue.PostUnbounded(func() { c.runHedge(ex) }) })
	}
}

func (c *session) chooseTarget(ex *execution, now time.Duration) (sqlsession.Target, bool) {
	s := c.server
	return sqlsession.Choose(ex.op, sqlsession.Env{
		Deployment: s.Table.Current(), Leadership: s.Leadership, View: s.View(), DataCentre: s.DataCentre, Now: now, Tried: ex.tried,
	})
}

// runHedge runs a read on a second server if the first has not answered yet. The
// client gets the first success.
func (c *session) runHedge(ex *execution) {
	if c.current != ex || len(ex.runningOn) != 1 {
		return
	}
	overdue := ex.runningOn[0]
	ex.tried[overdue] = true
	c.server.Leadership.With(ex.op.Route.Group, func(g *leadership.Group) { g.RecordOverdue(overdue) })
	now := clock.Now()
	target, ok := c.chooseTarget(ex, now)
	if !ok {
		return
	}
	allowed := false
	c.server.Leadership.With(ex.op.Route.Group, func(g *leadership.Group) { allowed = g.AllowHedge() })
	if allowed {
		c.server.readsHedged.Inc(1)
		c.send(ex, target, now)
	}
}

// send runs the operation on the target.
func (c *session) send(ex *execution, target sqlsession.Target, now time.Duration) {
	s := c.server
	w := target.Statement
	w.Timeout = ex.deadline - now
	w.Wait = max(ex.waitUntil-now, time.Millisecond)
	if ex.admission != nil {
		w.Admission = ex.admission.at(now)
	}
	ex.attempts++
	ex.runningOn = append(ex.runningOn, w.Server)
	s.Leadership.With(w.Group, func(g *leadership.Group) { g.StatementSent(w.Server) })
	hop := s.startHop(ex, s.View(), target.VM, &w)
	s.Runner.Run(target.VM, &w, func(r statement.Result) {
		hop.end(&r)
		c.observe(&w, &r, now)
		posted := c.queue.PostUnbounded(func() { c.handleResult(ex, target.VM, &w, r) })
		if !posted && r.Tx != 0 {
			s.Runner.AbortTxOn(target.VM, r.Tx)
		}
	})
}

// handleResult handles the result of an attempt. A transaction that a late result
// leaves open is ended.
func (c *session) handleResult(ex *execution, vm string, w *statement.RemoteStatement, r statement.Result) {
	if c.current != ex {
		if r.Tx != 0 {
			c.server.Runner.AbortTxOn(vm, r.Tx)
		}
		return
	}
	ex.stopHedge()
	ex.runningOn = slices.DeleteFunc(ex.runningOn, func(server string) bool { return server == w.Server })
	failed := r.Answer.Code != statement.OK
	verdict := ex.op.HandleResult(&r)
	if failed && verdict == sqlsession.Retry {
		// A failure that repeats is logged once; the number of attempts shows the
		// repetitions.
		if f := (failure{w.Server, r.Answer.Code}); f != ex.lastFailure {
			ex.lastFailure = f
			c.server.logAttempt(ex, vm, w, &r)
		}
		ex.tried[w.Server] = true
		if r.RetryAfter > 0 {
			c.avoidPrimary(ex, r)
		}
	}
	switch {
	case failed && len(ex.runningOn) > 0:
		// The other attempt may still succeed.
	case verdict == sqlsession.Answer:
		c.finishExecution(ex, withRetryTime(r), vm, w.Server)
	case clock.Now() < ex.deadline:
		c.startAttempt(ex)
	default:
		c.retryOrRefuse(ex, ex.deadline)
	}
}

func (ex *execution) stopHedge() {
	if ex.hedgeTimer != nil {
		ex.hedgeTimer.Stop()
		ex.hedgeTimer = nil
	}
}

// logAttempt logs a failed attempt with the state that the choice of the server
// depended on: the configuration in force, and the age of the latest leadership
// confirmation of which server is the group's primary.
func (s *Server) logAttempt(ex *execution, vm string, w *statement.RemoteStatement, r *statement.Result) {
	var confirmationAge time.Duration
	s.Leadership.With(w.Group, func(g *leadership.Group) { confirmationAge = clock.Now() - g.ConfirmedAt() })
	s.Logger.WithFields(log.Fields{
		"id": ex.op.Request.ID, "customer": w.Customer, "group": w.Group, "server": w.Server, "vm": vm, "attempt": ex.attempts,
		"code": r.Answer.Code.String(), "why": r.Answer.Text,
		"config": s.Table.Current().Config.Version, "proof_age_ms": confirmationAge.Milliseconds(),
	}).Info("session: attempt failed.")
}

// retryOrRefuse starts another attempt after retryDelay, or refuses the operation
// if it may not wait any longer.
func (c *session) retryOrRefuse(ex *execution, now time.Duration) {
	if ex.refusal != nil {
		c.finishExecution(ex, withRetryTime(*ex.refusal), "", "")
		return
	}
	if now >= ex.waitUntil {
		text := "no server could run it; retry after " + strconv.FormatInt(busyRetryAfter.Milliseconds(), 10) + " ms"
		c.finishExecution(ex, statement.Result{Answer: statement.Refusal(statement.Busy, text)}, "", "")
		return
	}
	clear(ex.tried)
	time.AfterFunc(retryDelay, func() { c.queue.PostUnbounded(func() { c.startAttempt(ex) }) })
}
