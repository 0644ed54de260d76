package sqlfront

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/sqlsession"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// holdPart is the part of a statement's time for which it may wait without
	// running: for a primary to be found, or for a connection. A failover takes
	// longer than the statement's time, so a longer wait only keeps the client
	// from coming back.
	holdPart = 0.2
	// retryDelay is the pause after every server that fits has refused. A
	// failover takes a second or more.
	retryDelay = 30 * time.Millisecond
	// minTimeout is used for routes without a time-out.
	minTimeout = 50 * time.Millisecond
	// busyRetryAfter is what clients are told to wait when capacity is missing.
	busyRetryAfter = 200 * time.Millisecond
)

// session is a client's connection. Its fields are used by the events of its
// queue only.
type session struct {
	server  *Server
	core    *sqlsession.Session
	conn    net.Conn
	out     *outbox.Outbox
	queue   *pool.Queue
	stopped atomic.Bool // no more requests are to be read

	current *run
	waiting bool // the admission of a transaction is under way
	backlog []statement.Request
	closed  bool
	drained bool // the reader has ended, so no request is lost by closing
	idleTx  *time.Timer
}

// run is an operation under way.
type run struct {
	op       *sqlsession.Operation
	started  time.Duration
	deadline time.Duration
	hold     time.Duration // until when it may wait
	tried    map[string]bool
	attempts int
	running  []string        // servers of the attempts without a result
	hedge    *time.Timer     // runs the operation on a second server
	ctx      context.Context // carries span
	span     trace.Span
	failed   failure // the latest one that was logged
}

// failure is an attempt that failed.
type failure struct {
	server string
	code   statement.Code
}

func (c *session) busy() bool { return c.current != nil || c.waiting }

// request takes a request from the client.
func (c *session) request(r statement.Request) {
	if c.closed {
		return
	}
	if c.busy() {
		if len(c.backlog) >= maxBacklog {
			c.out.Abort()
			return
		}
		c.backlog = append(c.backlog, r)
		return
	}
	c.handle(r)
}

func (c *session) handle(r statement.Request) {
	c.stopIdleTimer()
	config := c.server.Table.Current().Config
	step := c.core.Handle(r, config)
	if step.End != nil {
		c.server.Runner.Abort(step.End.VM, step.End.ID)
	}
	switch {
	case step.Run != nil:
		c.start(step.Run)
	case step.Charge:
		c.admitTx(r, step)
	default:
		if step.Answer.Code != statement.OK {
			c.logRefusal(r.ID, step.Customer, step.Answer, 0, 0)
		}
		c.answer(*step.Answer)
		if step.Close {
			c.finish()
			return
		}
		c.next()
	}
}

// admitTx answers BEGIN once the transaction is counted.
func (c *session) admitTx(r statement.Request, step sqlsession.Step) {
	c.waiting = true
	c.server.Admitter.Admit(step.Customer, func(admitted bool, retryAfter time.Duration) {
		c.queue.PostAlways(func() {
			c.waiting = false
			if c.closed {
				return
			}
			a := *step.Answer
			if !admitted {
				c.core.Unbegin()
				a.Code, a.Text, a.State = statement.Busy, overLimit(retryAfter), c.core.State()
				c.logRefusal(r.ID, step.Customer, &a, 0, 0)
			}
			c.answer(a)
			c.next()
		})
	})
}

func overLimit(retryAfter time.Duration) string {
	return "over the customer's limit; retry after " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + " ms"
}

// start begins an operation.
func (c *session) start(op *sqlsession.Operation) {
	now := clock.Now()
	timeout := max(op.Route.Timeout, minTimeout)
	ctx, span := c.server.Tracer.Start(context.Background(), "statement", trace.WithAttributes(attribute.String("id", op.Request.ID)))
	u := &run{
		op: op, started: now, deadline: now + timeout, tried: make(map[string]bool), ctx: ctx, span: span,
		hold: now + time.Duration(holdPart*float64(timeout)),
	}
	c.current = u
	if !op.Charge {
		c.attempt(u)
		return
	}
	c.server.Admitter.Admit(op.Customer, func(admitted bool, retryAfter time.Duration) {
		c.queue.PostAlways(func() {
			if c.current != u {
				return
			}
			c.server.admission.RecordDuration(clock.Now() - now)
			if !admitted {
				c.conclude(u, statement.Result{Answer: statement.Refusal(statement.Busy, overLimit(retryAfter))}, "", "")
				return
			}
			c.attempt(u)
		})
	})
}

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

// conclude answers the operation.
func (c *session) conclude(u *run, r statement.Result, vm, server string) {
	c.current = nil
	u.stopHedge()
	u.span.End()
	took := clock.Now() - u.started
	c.server.latency[u.op.Route.Consistency].RecordDuration(took)
	c.server.outcomes[r.Answer.Code].Inc(1)
	a := c.core.Finish(u.op, r, vm, server)
	if a.Code != statement.OK {
		c.logRefusal(u.op.Request.ID, u.op.Customer, &a, took, u.attempts)
	}
	c.answer(a)
	c.next()
}

func (c *session) logRefusal(id, customer string, a *statement.Answer, took time.Duration, attempts int) {
	c.server.Logger.WithFields(log.Fields{
		"id": id, "customer": customer, "code": a.Code.String(), "why": a.Text, "took_ms": took.Milliseconds(), "attempts": attempts,
	}).Warn("session: request refused.")
}

func (c *session) answer(a statement.Answer) {
	if !c.closed {
		c.out.Write(c.server.Dialect.AppendAnswer(nil, &a))
	}
}

// next handles the next request, or rests.
func (c *session) next() {
	if len(c.backlog) > 0 && !c.closed {
		r := c.backlog[0]
		c.backlog = c.backlog[1:]
		c.handle(r)
		return
	}
	c.rest()
}

// rest is called when no request is under way: an open transaction is ended if
// it rests for too long, and a session that is shed is closed.
func (c *session) rest() {
	if c.closed || c.busy() || len(c.backlog) > 0 {
		return
	}
	if c.core.State() == statement.Idle {
		if c.drained || c.server.isShedding() {
			c.leave()
		}
		return
	}
	c.server.mu.Lock()
	draining := c.server.draining
	c.server.mu.Unlock()
	if draining {
		c.endIdleTx()
		return
	}
	if config := c.server.Table.Current().Config; config.TxIdle > 0 {
		c.stopIdleTimer()
		c.idleTx = time.AfterFunc(config.TxIdle, func() { c.queue.PostAlways(c.endIdleTx) })
	}
}

func (c *session) stopIdleTimer() {
	if c.idleTx != nil {
		c.idleTx.Stop()
		c.idleTx = nil
	}
}

// endIdleTx ends a transaction in which no statement runs.
func (c *session) endIdleTx() {
	if c.closed || c.busy() || c.core.State() != statement.InTx {
		return
	}
	if tx := c.core.Abandon(); tx != nil {
		c.server.Runner.Abort(tx.VM, tx.ID)
	}
	c.server.Logger.Info("session: a resting transaction was ended.")
}

// leave closes a session that rests. It stops the reader first: a request that
// was read must be answered.
func (c *session) leave() {
	if c.drained {
		c.finish()
		return
	}
	if c.stopped.CompareAndSwap(false, true) {
		if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.finish()
		}
	}
}

// readerEnded is the last event of a reader that was stopped.
func (c *session) readerEnded() {
	c.drained = true
	c.rest()
}

// finish closes the session after what was answered.
func (c *session) finish() {
	c.closed = true
	c.stopIdleTimer()
	c.out.Finish()
}

// gone ends what the client left behind.
func (c *session) gone() {
	c.closed = true
	c.stopIdleTimer()
	if tx := c.core.Abandon(); tx != nil {
		c.server.Runner.Abort(tx.VM, tx.ID)
	}
	if c.current != nil {
		c.current.stopHedge()
		c.current.span.End()
		c.current = nil
	}
}
