package sqlback

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// abortTx rolls back the connection's transaction now, or when its statement
// ends. The caller holds mu.
func (e *Executor) abortTx(c *conn) {
	if c.job != nil {
		c.job.aborted = true
		return
	}
	e.rollback(c)
}

// rollback rolls back the transaction of a connection without a job. The caller
// holds mu.
func (e *Executor) rollback(c *conn) {
	e.clearTx(c)
	c.state, c.internalSince = connBusy, time.Now()
	e.send(c, commandRollback, statement.Command{Verb: statement.Rollback})
}

// newTxID returns a random ID for a transaction. A session may still send the ID of a
// transaction that a previous process of this VM had open, so IDs must not repeat
// across restarts. The caller holds mu.
func (e *Executor) newTxID() uint64 {
	for {
		id := rand.Uint64()
		if _, used := e.txs[id]; id != 0 && !used {
			return id
		}
	}
}

// findTx returns the connection of the transaction that the job's statement belongs
// to, or nil if the transaction is not open here. The caller holds mu.
func (e *Executor) findTx(j *job) *conn {
	c := e.txs[j.stmt.Tx]
	if c == nil || c.origin != j.origin || c.job != nil {
		return nil
	}
	if key := (poolKey{j.stmt.Customer, j.stmt.Server}); c.pool.key != key {
		e.logger.WithFields(log.Fields{"id": j.stmt.Command.ID, "customer": key.customer, "server": key.server, "open_for": c.pool.key.customer, "open_on": c.pool.key.server}).
			Error("backend: the statement's transaction belongs to another customer or server.")
		return nil
	}
	return c
}

func (e *Executor) clearTx(c *conn) {
	delete(e.txs, c.tx)
	c.tx, c.origin = 0, ""
}

// startSpan starts the span of a statement on this VM as a child of the hop that
// forwarded it.
func (e *Executor) startSpan(w *statement.RemoteStatement) trace.Span {
	if w.Trace == (statement.Trace{}) {
		return noop.Span{}
	}
	parent := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: w.Trace.TraceID, SpanID: w.Trace.SpanID, TraceFlags: trace.FlagsSampled, Remote: true,
	})
	ctx := trace.ContextWithSpanContext(context.Background(), parent)
	_, span := e.tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("server", w.Server)))
	return span
}

// submit assigns the job to a connection or queues it until one is idle.
func (e *Executor) submit(j *job) {
	d := e.table.Current()
	server := d.Servers[j.stmt.Server]
	if server != nil && j.stmt.Tx == 0 {
		e.refreshPlan(d, server, planInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningJobs++
	j.timer = time.AfterFunc(j.stmt.Timeout, func() { e.post(func() { e.handleTimeout(j) }) })
	if j.stmt.Tx != 0 {
		if c := e.findTx(j); c != nil {
			e.assign(c, j)
		} else {
			e.finish(j, statement.Refusal(statement.Aborted, "the transaction was ended"))
		}
		return
	}
	e.place(j, server)
}

// place assigns a job outside of an open transaction to a connection, or queues, holds
// back or refuses it. The caller holds mu.
func (e *Executor) place(j *job, server *catalog.Server) {
	if server == nil {
		e.finish(j, statement.Refusal(statement.Unreachable, "the server is not registered here"))
		return
	}
	if !e.maySend(j.stmt, server.ID) {
		e.refuseLeft(j)
		return
	}
	if e.holdBack(j) {
		return
	}
	p := e.pool(poolKey{j.stmt.Customer, j.stmt.Server}, server.Group)
	if c := p.findIdle(j.stmt.Values); c != nil {
		if !e.refuseIfLate(j, p, true) {
			e.assign(c, j)
		}
		return
	}
	if len(p.conns) == 0 && time.Since(p.failedAt) < redialDelay {
		e.finish(j, statement.Refusal(statement.Unreachable, "the last opening of a connection failed"))
		return
	}
	if e.refuseIfLate(j, p, false) || !e.makeRoom(j, p) {
		return
	}
	p.enqueue(j)
	p.budget.fair.Wait(&p.account)
	e.balance(p.budget)
	if j.stmt.Wait > 0 && j.stmt.Wait < j.stmt.Timeout {
		time.AfterFunc(j.remainingWait(), func() { e.post(func() { e.handleWaitTimeout(j) }) })
	}
}

// assign runs the job on the connection. The caller holds mu.
func (e *Executor) assign(c *conn, j *job) {
	c.job, j.conn = j, c
	if j.stmt.Tx == 0 {
		c.admission = j.stmt.Admission
	}
	e.connectionWait.RecordDuration(time.Since(j.submittedAt))
	c.state = connBusy
	e.beginUse(c)
	if e.refuseIfLeft(c) || e.refuseIfNotPrimary(c) {
		return
	}
	for _, command := range c.setupCommands(j) {
		e.send(c, commandSetup, command)
	}
	w := j.stmt
	switch {
	case w.BeginsTx && w.ReadOnlyTx:
		e.send(c, commandBegin, statement.Command{Verb: statement.BeginReadOnly, After: w.Command.After})
	case w.BeginsTx || w.Wrapped():
		e.send(c, commandBegin, statement.Command{Verb: statement.Begin})
	}
	if len(c.unanswered) == 0 {
		e.sendStatement(c)
	}
}

// sendStatement sends the job's statement after its setup and BEGIN succeeded. It
// must not be sent with BEGIN: if the server refused BEGIN, the statement would
// run outside a transaction.
func (e *Executor) sendStatement(c *conn) {
	if e.refuseIfLeft(c) || e.refuseIfNotPrimary(c) {
		return
	}
	j := c.job
	j.sent, j.sentAt = true, clock.Now()
	e.countStatement(j.stmt, j.sentAt, 1)
	command := j.stmt.Command
	if j.stmt.BeginsTx {
		command.After.Term, command.After.Position = 0, 0
	}
	e.send(c, commandStatement, command)
	if j.stmt.Wrapped() {
		e.send(c, commandRollback, statement.Command{Verb: statement.Rollback})
	}
}

func (e *Executor) send(c *conn, kind commandKind, command statement.Command) {
	c.unanswered = append(c.unanswered, kind)
	c.out.Enqueue(e.dialect.AppendCommand(nil, &command))
}

// handleAnswer handles the answer to the oldest unanswered command.
func (e *Executor) handleAnswer(c *conn, a statement.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		return
	}
	if len(c.unanswered) == 0 {
		e.logger.WithField("server", c.pool.key.server).Error("backend: answer received without a command.")
		e.closeConn(c, statement.Lost, "the server answered without being asked")
		return
	}
	kind := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	switch kind {
	case commandSetup:
		if a.Code != statement.OK {
			e.closeConn(c, statement.Unreachable, "session values were refused: "+a.Text)
			return
		}
	case commandBegin:
		if a.Code != statement.OK {
			e.beginRefused(c, a)
			return
		}
		c.job.beginPoint = a.At
	case commandStatement:
		e.handleStatementAnswer(c, a)
		return
	case commandRollback:
		if a.Code != statement.OK || a.State != statement.Idle {
			e.closeConn(c, statement.Lost, "a rollback failed")
			return
		}
	}
	if len(c.unanswered) > 0 {
		return
	}
	if c.job != nil && !c.job.sent {
		e.sendStatement(c)
		return
	}
	if c.job == nil {
		e.release(c)
	}
}

// beginRefused ends the job with the refusal of its BEGIN. Its statement was not
// sent.
func (e *Executor) beginRefused(c *conn, a statement.Answer) {
	e.observeAnswer(c, &a)
	j := c.job
	c.job = nil
	r := statement.Result{Answer: a}
	if a.Code == statement.Busy {
		r.RetryAfter = e.retryAfterBusy(j)
	}
	e.finishResult(j, r)
	e.releaseOrRollback(c, a.State)
}

// releaseOrRollback releases a connection without a job, after a rollback if a
// transaction is still open. The caller holds mu.
func (e *Executor) releaseOrRollback(c *conn, s statement.TxState) {
	c.internalSince = time.Now()
	switch {
	case s != statement.Idle && !slices.Contains(c.unanswered, commandRollback):
		e.rollback(c)
	case len(c.unanswered) == 0:
		e.release(c)
	}
}

// handleStatementAnswer ends the job, and keeps the connection for its
// transaction if that stays open. The caller holds mu.
func (e *Executor) handleStatementAnswer(c *conn, a statement.Answer) {
	e.observeAnswer(c, &a)
	if a.Code == statement.OK && !e.answerCounts(c) {
		e.closeConn(c, statement.Lost, "the server may have been replaced as the primary")
		return
	}
	j := c.job
	c.job = nil
	w := j.stmt
	ok := a.Code == statement.OK
	if a.Code.NotRun() {
		e.countStatement(w, j.sentAt, -1)
	}
	if w.Command.Verb == statement.Rollback {
		// BEGIN confirmed that the server was the primary. It may have lost that role
		// since, so the confirmation holds for the log position at BEGIN only.
		a.At = j.beginPoint
	}
	r := statement.Result{Answer: a}
	if a.Code == statement.Busy {
		r.RetryAfter = e.retryAfterBusy(j)
	}
	r.PrimaryConfirmed = ok && w.ConfirmsLeadership()
	keep := ok && a.State == statement.InTx && (w.BeginsTx || w.Tx != 0) && !j.aborted
	if !keep {
		if c.tx != 0 {
			e.clearTx(c)
		}
		e.finishResult(j, r)
		e.releaseOrRollback(c, a.State)
		return
	}
	if c.tx == 0 {
		c.tx, c.txReadOnly, c.origin = e.newTxID(), w.ReadOnlyTx, j.origin
		e.txs[c.tx] = c
	}
	c.state, c.idleSince = connIdleInTx, time.Now()
	r.Tx = c.tx
	e.finishResult(j, r)
}

// handleTimeout ends a job whose time has run out. If it has a connection, that is
// closed too: a late answer could be taken for the answer to the next command.
func (e *Executor) handleTimeout(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case j.finished:
	case j.conn == nil:
		e.refuseWaiting(j, "no connection in time")
	default:
		code := statement.Busy
		if j.sent {
			code = statement.Timeout
			e.observeTimeout(j.conn)
		}
		e.closeConn(j.conn, code, "no answer in time")
	}
}

// handleWaitTimeout refuses a job that got no connection within
// RemoteStatement.Wait.
func (e *Executor) handleWaitTimeout(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.finished && j.conn == nil {
		e.refuseWaiting(j, refusalTexts[classqueue.WaitOver])
	}
}

// refuseWaiting removes a job from the queue for connections and refuses it. The
// caller holds mu.
func (e *Executor) refuseWaiting(j *job, text string) {
	e.pool(poolKey{j.stmt.Customer, j.stmt.Server}, j.stmt.Group).removeWaiting(j)
	e.metrics.refusedWait.RecordDuration(time.Since(j.submittedAt))
	e.refuseFor(j, classqueue.WaitOver, text)
}

func (e *Executor) finish(j *job, a statement.Answer) { e.finishResult(j, statement.Result{Answer: a}) }

// finishResult ends the job unless it has ended. The caller holds mu.
func (e *Executor) finishResult(j *job, r statement.Result) {
	if j.finished {
		return
	}
	j.finished = true
	e.runningJobs--
	e.finishDrains()
	j.timer.Stop()
	if r.Answer.Code != statement.OK {
		j.span.SetStatus(codes.Error, r.Answer.Code.String())
	}
	j.span.End()
	e.callbacks = append(e.callbacks, func() { j.done(r) })
}
