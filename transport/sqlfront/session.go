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
	// maxWaitFraction is the fraction of a statement's time-out for which it may
	// wait before it runs: for a primary or for a connection. A failover takes longer
	// than the time-out, so a longer wait only delays the client's retry.
	maxWaitFraction = 0.2
	// minTimeout is the shortest time-out, also for routes that have none.
	minTimeout = 50 * time.Millisecond
)

// session is a client's connection. Its mutable fields are used only by events of
// its queue, except readStopped.
type session struct {
	server       *Server
	stateMachine *sqlsession.Session // decides on requests and tracks the transaction
	conn         net.Conn
	out          *outbox.Outbox
	queue        *pool.Queue
	readStopped  atomic.Bool // the reader must not read further requests

	current     *execution          // nil while no statement runs
	admitting   bool                // a BEGIN waits for its rate limit check
	backlog     []statement.Request // requests that wait for the current one
	closed      bool
	readerDone  bool // the reader has ended, so closing loses no request
	idleTxTimer *time.Timer
	txStartedAt time.Duration // when BEGIN of the open transaction arrived
}

// execution is an operation that is running or waiting to run.
type execution struct {
	op          *sqlsession.Operation
	startedAt   time.Duration
	deadline    time.Duration   // reading of clock.Now, as are startedAt and waitUntil
	waitUntil   time.Duration   // refuse the operation if no server could run it until then
	tried       map[string]bool // servers not to choose again
	attempts    int
	runningOn   []string        // servers of attempts that have no result yet
	hedgeTimer  *time.Timer     // starts an attempt on a second server
	ctx         context.Context // contains span
	span        trace.Span
	lastFailure failure // latest failure that was logged
	admission   *admission
	refusal     *statement.Result // of an attempt that found too little room; nil if there was none
}

// failure identifies a failed attempt for logging.
type failure struct {
	server string
	code   statement.Code
}

func (c *session) busy() bool { return c.current != nil || c.admitting }

// handlePanic ends the session after an event failed with a run-time error. The broken
// connection leaves the outcome of its requests open.
func (c *session) handlePanic(err error, stack []byte) {
	c.server.Logger.WithError(err).WithFields(log.Fields{"client": c.conn.RemoteAddr().String(), "stack": string(stack)}).
		Error("session: a request caused a run-time error, the session is closed.")
	c.server.runtimeErrors.Inc(1)
	c.out.CloseNow()
}

// receive handles a request from the client, or queues it while another is being
// processed.
func (c *session) receive(r statement.Request) {
	if c.closed {
		return
	}
	if c.busy() {
		if len(c.backlog) >= maxBacklog {
			c.out.CloseNow()
			return
		}
		c.backlog = append(c.backlog, r)
		return
	}
	c.handle(r)
}

// handle carries out what the session's state machine decides for a request.
func (c *session) handle(r statement.Request) {
	c.stopIdleTxTimer()
	config := c.server.Table.Current().Config
	step := c.stateMachine.Handle(r, config)
	if step.End != nil {
		c.server.Runner.AbortTxOn(step.End.VM, step.End.ID)
	}
	switch {
	case step.Run != nil:
		c.start(step.Run)
	case step.Charge:
		c.txStartedAt = clock.Now()
		c.admitTx(r, step)
	default:
		if step.Answer.Code != statement.OK {
			c.logRefusal(r.ID, step.Customer, step.Answer, 0, 0)
		}
		c.sendAnswer(*step.Answer)
		if step.Close {
			c.stopReading()
		}
		c.handleNext()
	}
}

// admitTx answers BEGIN after the transaction was checked against the rate limit.
func (c *session) admitTx(r statement.Request, step sqlsession.Step) {
	c.admitting = true
	c.server.Admitter.Admit(step.Customer, c.server.Table.Current().Config.RouteRank(step.Route), func(admitted bool, retryAfter time.Duration) {
		c.queue.PostUnbounded(func() {
			c.admitting = false
			if c.closed {
				return
			}
			a := *step.Answer
			if !admitted {
				c.stateMachine.UndoBegin()
				a.Code, a.Text, a.State = statement.Busy, rateLimitText(retryAfter), c.stateMachine.State()
				c.logRefusal(r.ID, step.Customer, &a, 0, 0)
			}
			c.sendAnswer(a)
			c.handleNext()
		})
	})
}

func rateLimitText(retryAfter time.Duration) string {
	return "over the customer's limit; retry after " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + " ms"
}

// start runs an operation after it was checked against the rate limit, if it is
// subject to one.
func (c *session) start(op *sqlsession.Operation) {
	now := clock.Now()
	timeout := max(op.Route.Timeout, minTimeout)
	ctx, span := c.server.Tracer.Start(context.Background(), "statement", trace.WithAttributes(attribute.String("id", op.Request.ID)))
	ex := &execution{
		op: op, startedAt: now, deadline: now + timeout, tried: make(map[string]bool), ctx: ctx, span: span,
		waitUntil: now + time.Duration(maxWaitFraction*float64(timeout)),
	}
	if ex.admission = c.admissionOf(op, now); ex.admission != nil {
		ex.waitUntil = now + ex.admission.permittedWait(now, timeout, ex.waitUntil-now)
	}
	c.current = ex
	if !op.Charge {
		c.startAttempt(ex)
		return
	}
	c.server.Admitter.Admit(op.Customer, c.server.Table.Current().Config.RouteRank(op.Route), func(admitted bool, retryAfter time.Duration) {
		c.queue.PostUnbounded(func() {
			if c.current != ex {
				return
			}
			c.server.admissionLatency.RecordDuration(clock.Now() - now)
			if !admitted {
				c.finishExecution(ex, statement.Result{Answer: statement.Refusal(statement.Busy, rateLimitText(retryAfter))}, "", "")
				return
			}
			c.startAttempt(ex)
		})
	})
}

// finishExecution sends the answer of the operation and handles the next request.
func (c *session) finishExecution(ex *execution, r statement.Result, vm, server string) {
	c.current = nil
	ex.stopHedge()
	ex.span.End()
	elapsed := clock.Now() - ex.startedAt
	c.server.statementLatency[ex.op.Route.Consistency].RecordDuration(elapsed)
	c.server.outcomes[r.Answer.Code].Inc(1)
	a := c.stateMachine.Finish(ex.op, r, vm, server)
	if a.Code != statement.OK {
		c.logRefusal(ex.op.Request.ID, ex.op.Customer, &a, elapsed, ex.attempts)
	}
	c.sendAnswer(a)
	c.handleNext()
}

func (c *session) logRefusal(id, customer string, a *statement.Answer, elapsed time.Duration, attempts int) {
	c.server.Logger.WithFields(log.Fields{
		"id": id, "customer": customer, "code": a.Code.String(), "why": a.Text, "took_ms": elapsed.Milliseconds(), "attempts": attempts,
		"config": c.server.Table.Current().Config.Version,
	}).Warn("session: request refused.")
}

func (c *session) sendAnswer(a statement.Answer) {
	if !c.closed {
		c.out.Enqueue(c.server.Dialect.AppendAnswer(nil, &a))
	}
}

// handleNext handles the next queued request, or makes the session idle.
func (c *session) handleNext() {
	if len(c.backlog) > 0 && c.stateMachine.State() == statement.Idle && c.server.isShedding() {
		// A client that sends requests without waiting for answers is never idle.
		c.stopReading()
	}
	if len(c.backlog) > 0 && !c.closed {
		r := c.backlog[0]
		c.backlog = c.backlog[1:]
		c.handle(r)
		return
	}
	c.becomeIdle()
}

// becomeIdle is called when no request is being processed. It starts the idle timer
// of an open transaction, and closes the session if the server sheds load.
func (c *session) becomeIdle() {
	if c.closed || c.busy() || len(c.backlog) > 0 {
		return
	}
	if c.stateMachine.State() == statement.Idle {
		if c.readerDone || c.server.isShedding() {
			c.closeIdle()
		}
		return
	}
	if c.readerDone {
		// The client cannot send the rest of its transaction.
		if tx := c.stateMachine.FailTx(); tx != nil {
			c.server.Runner.AbortTxOn(tx.VM, tx.ID)
		}
		c.closeAfterOutput()
		return
	}
	c.server.mu.Lock()
	draining := c.server.draining
	c.server.mu.Unlock()
	if draining {
		c.abortIdleTx()
		return
	}
	if config := c.server.Table.Current().Config; config.TxIdle > 0 {
		c.stopIdleTxTimer()
		c.idleTxTimer = time.AfterFunc(config.TxIdle, func() { c.queue.PostUnbounded(c.abortIdleTx) })
	}
}

func (c *session) stopIdleTxTimer() {
	if c.idleTxTimer != nil {
		c.idleTxTimer.Stop()
		c.idleTxTimer = nil
	}
}

// abortIdleTx rolls back a transaction in which no statement runs.
func (c *session) abortIdleTx() {
	if c.closed || c.busy() || c.stateMachine.State() != statement.InTx {
		return
	}
	if tx := c.stateMachine.FailTx(); tx != nil {
		c.server.Runner.AbortTxOn(tx.VM, tx.ID)
	}
	c.server.Logger.Info("session: idle transaction rolled back.")
}

// closeIdle closes an idle session. It stops the reader first, because every
// request that was read must be answered.
func (c *session) closeIdle() {
	if c.readerDone {
		c.closeAfterOutput()
		return
	}
	c.stopReading()
}

// stopReading ends the reader. Requests that it has read are still handled.
func (c *session) stopReading() {
	if c.readStopped.CompareAndSwap(false, true) {
		if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.closeAfterOutput()
		}
	}
}

// readerStopped is the last event of a reader that stopReading ended.
func (c *session) readerStopped() {
	c.readerDone = true
	c.becomeIdle()
}

// closeAfterOutput closes the session once all answers have been sent.
func (c *session) closeAfterOutput() {
	c.closed = true
	c.stopIdleTxTimer()
	c.out.CloseAfterFlush()
}

// disconnected handles the end of the connection: it rolls back the open
// transaction, and the result of a running statement is dropped.
func (c *session) disconnected() {
	c.closed = true
	c.stopIdleTxTimer()
	if tx := c.stateMachine.FailTx(); tx != nil {
		c.server.Runner.AbortTxOn(tx.VM, tx.ID)
	}
	if c.current != nil {
		c.current.stopHedge()
		c.current.span.End()
		c.current = nil
	}
}
