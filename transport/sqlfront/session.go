package sqlfront

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

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
	// minTimeout is used for routes without a time-out.
	minTimeout = 50 * time.Millisecond
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
