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
	// retryDelay is the pause after every server that fits has refused. A
	// failover takes a second or more.
	retryDelay = 30 * time.Millisecond
	// busyRetryAfter is what clients are told to wait when capacity is missing.
	busyRetryAfter = 200 * time.Millisecond
)

// attempt runs the operation on the server that fits best now.
func (c *session) attempt(u *run) {
	if c.current != u {
		return
	}
	now := clock.Now()
	target, ok := c.choose(u, now)
	if !ok {
		c.later(u, now)
		return
	}
	c.send(u, target, now)
	if delay, may := u.op.HedgeAfter(); may {
		c.server.Leads.With(u.op.Route.Group, func(g *leadership.Group) { g.CountRead() })
		u.hedge = time.AfterFunc(delay, func() { c.queue.PostAlways(func() { c.runHedge(u) }) })
	}
}

func (c *session) choose(u *run, now time.Duration) (sqlsession.Target, bool) {
	s := c.server
	return sqlsession.Choose(u.op, sqlsession.Env{
		Deployment: s.Table.Current(), Leads: s.Leads, View: s.View(), DataCentre: s.DataCentre, Now: now, Tried: u.tried,
	})
}

// runHedge runs a read on a second server if the first has not answered yet. The
// first success counts.
func (c *session) runHedge(u *run) {
	if c.current != u || len(u.running) != 1 {
		return
	}
	u.tried[u.running[0]] = true
	now := clock.Now()
	target, ok := c.choose(u, now)
	if !ok {
		return
	}
	allowed := false
	c.server.Leads.With(u.op.Route.Group, func(g *leadership.Group) { allowed = g.Hedge() })
	if allowed {
		c.server.hedged.Inc(1)
		c.send(u, target, now)
	}
}

// send runs the operation at the target.
func (c *session) send(u *run, target sqlsession.Target, now time.Duration) {
	s := c.server
	w := target.Work
	w.Timeout = u.deadline - now
	w.Wait = max(u.hold-now, time.Millisecond)
	u.attempts++
	u.running = append(u.running, w.Server)
	s.Leads.With(w.Group, func(g *leadership.Group) { g.Sent(w.Server) })
	hop := s.startHop(u, s.View(), target.VM, &w)
	s.Runner.Run(target.VM, &w, func(r statement.Result) {
		hop.end(&r)
		c.observe(&w, &r, now)
		posted := c.queue.PostAlways(func() { c.result(u, target.VM, &w, r) })
		if !posted && r.Tx != 0 {
			s.Runner.Abort(target.VM, r.Tx)
		}
	})
}

// result takes the result of an attempt.
func (c *session) result(u *run, vm string, w *statement.Work, r statement.Result) {
	if c.current != u {
		if r.Tx != 0 {
			c.server.Runner.Abort(vm, r.Tx)
		}
		return
	}
	u.stopHedge()
	u.running = slices.DeleteFunc(u.running, func(server string) bool { return server == w.Server })
	failed := r.Answer.Code != statement.OK
	verdict := u.op.Judge(&r)
	if failed && verdict == sqlsession.Retry {
		// Repetitions of the same failure are counted by the attempts only.
		if f := (failure{w.Server, r.Answer.Code}); f != u.failed {
			u.failed = f
			c.server.logAttempt(u, vm, w, &r)
		}
		u.tried[w.Server] = true
	}
	switch {
	case failed && len(u.running) > 0:
		// The other attempt may still succeed.
	case verdict == sqlsession.Tell:
		c.conclude(u, r, vm, w.Server)
	case clock.Now() < u.deadline:
		c.attempt(u)
	default:
		c.later(u, u.deadline)
	}
}

func (u *run) stopHedge() {
	if u.hedge != nil {
		u.hedge.Stop()
		u.hedge = nil
	}
}

// logAttempt logs a failed attempt with what decided it: the configuration in
// force and the age of the latest proof of the group's lead.
func (s *Server) logAttempt(u *run, vm string, w *statement.Work, r *statement.Result) {
	var proofAge time.Duration
	s.Leads.With(w.Group, func(g *leadership.Group) { proofAge = clock.Now() - g.ProvenAt() })
	s.Logger.WithFields(log.Fields{
		"id": u.op.Request.ID, "customer": w.Customer, "group": w.Group, "server": w.Server, "vm": vm, "attempt": u.attempts,
		"code": r.Answer.Code.String(), "why": r.Answer.Text,
		"config": s.Table.Current().Config.Version, "proof_age_ms": proofAge.Milliseconds(),
	}).Info("session: attempt failed.")
}

// later tries again after a pause, or refuses an operation that has waited for
// as long as it may.
func (c *session) later(u *run, now time.Duration) {
	if now >= u.hold {
		text := "no server could run it; retry after " + strconv.FormatInt(busyRetryAfter.Milliseconds(), 10) + " ms"
		c.conclude(u, statement.Result{Answer: statement.Refusal(statement.Busy, text)}, "", "")
		return
	}
	clear(u.tried)
	time.AfterFunc(retryDelay, func() { c.queue.PostAlways(func() { c.attempt(u) }) })
}
