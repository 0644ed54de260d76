package sqlback

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// abandon ends the connection's transaction now, or when its statement ends.
// The caller holds mu.
func (e *Executor) abandon(c *conn) {
	if c.job != nil {
		c.job.aborted = true
		return
	}
	e.rollback(c)
}

// rollback ends the transaction of a connection without a job.
func (e *Executor) rollback(c *conn) {
	e.forgetTx(c)
	c.state, c.ownSince = connBusy, time.Now()
	e.send(c, stepRollback, statement.Command{Verb: statement.Rollback})
}

func (e *Executor) forgetTx(c *conn) {
	delete(e.txs, c.tx)
	c.tx, c.from = 0, ""
}

// startSpan begins the span of a statement on this VM, as a part of the hop on
// which it came.
func (e *Executor) startSpan(w *statement.Work) trace.Span {
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

// submit gives the job a connection or lets it wait for one.
func (e *Executor) submit(j *job) {
	server := e.table.Current().Servers[j.work.Server]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	j.timer = time.AfterFunc(j.work.Timeout, func() { e.post(func() { e.expired(j) }) })
	if j.work.Tx != 0 {
		c := e.txs[j.work.Tx]
		if c == nil || c.from != j.from || c.job != nil {
			e.finish(j, statement.Refusal(statement.Aborted, "the transaction was ended"))
			return
		}
		e.assign(c, j)
		return
	}
	if server == nil {
		e.finish(j, statement.Refusal(statement.Unreachable, "the server is not registered here"))
		return
	}
	p := e.pool(poolKey{j.work.Customer, j.work.Server})
	if c := p.idle(j.work.Values); c != nil {
		e.assign(c, j)
		return
	}
	if !e.grow(p, server) && len(p.conns) == 0 {
		e.finish(j, statement.Refusal(statement.Unreachable, "the last opening of a connection failed"))
		return
	}
	if len(p.waiting) >= maxWaiting {
		e.finish(j, statement.Refusal(statement.Busy, "too many statements wait for a connection"))
		return
	}
	p.waiting = append(p.waiting, j)
	if j.work.Wait > 0 && j.work.Wait < j.work.Timeout {
		time.AfterFunc(j.work.Wait, func() { e.post(func() { e.waitedOut(j) }) })
	}
}

// assign starts the job on the connection.
func (e *Executor) assign(c *conn, j *job) {
	c.job, j.conn = j, c
	e.waited.RecordDuration(time.Since(j.begin))
	c.state = connBusy
	for _, command := range c.prepare(j) {
		e.send(c, stepSetup, command)
	}
	w := j.work
	switch {
	case w.Opens && w.ReadOnlyTx:
		e.send(c, stepBegin, statement.Command{Verb: statement.BeginReadOnly, After: w.Command.After})
	case w.Opens || w.Wrapped():
		e.send(c, stepBegin, statement.Command{Verb: statement.Begin})
	}
	if len(c.expects) == 0 {
		e.sendMain(c)
	}
}

// sendMain sends the job's statement, after its setup succeeded. A BEGIN that a
// server refused must not be followed by its statement: it would run outside of
// the transaction.
func (e *Executor) sendMain(c *conn) {
	j := c.job
	j.offered = true
	command := j.work.Command
	if j.work.Opens {
		command.After.Term, command.After.Position = 0, 0
	}
	e.send(c, stepMain, command)
	if j.work.Wrapped() {
		e.send(c, stepRollback, statement.Command{Verb: statement.Rollback})
	}
}

func (e *Executor) send(c *conn, s step, command statement.Command) {
	c.expects = append(c.expects, s)
	c.out.Write(e.dialect.AppendCommand(nil, &command))
}

// answered takes the answer to the oldest command under way.
func (e *Executor) answered(c *conn, a statement.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		return
	}
	if len(c.expects) == 0 {
		e.logger.WithField("server", c.pool.key.server).Error("backend: answer to no command.")
		e.close(c, statement.Lost, "the server answered without being asked")
		return
	}
	s := c.expects[0]
	c.expects = c.expects[1:]
	switch s {
	case stepSetup:
		if a.Code != statement.OK {
			e.close(c, statement.Unreachable, "session values were refused: "+a.Text)
			return
		}
	case stepBegin:
		if a.Code != statement.OK {
			e.finishAnswer(c, a)
			return
		}
		c.job.begun = a.At
	case stepMain:
		e.mainAnswered(c, a)
		return
	case stepRollback:
		if a.Code != statement.OK || a.State != statement.Idle {
			e.close(c, statement.Lost, "a rollback failed")
			return
		}
	}
	if len(c.expects) > 0 {
		return
	}
	if c.job != nil && !c.job.offered {
		e.sendMain(c)
		return
	}
	if c.job == nil {
		e.free(c)
	}
}

// finishAnswer ends the job with an answer that came before its statement was
// sent.
func (e *Executor) finishAnswer(c *conn, a statement.Answer) {
	j := c.job
	c.job = nil
	e.finish(j, a)
	e.settle(c, a.State)
}

// settle frees a connection without a job, and ends what is left of a
// transaction first.
func (e *Executor) settle(c *conn, s statement.TxState) {
	c.ownSince = time.Now()
	switch {
	case s != statement.Idle && !slices.Contains(c.expects, stepRollback):
		e.rollback(c)
	case len(c.expects) == 0:
		e.free(c)
	}
}

func (e *Executor) mainAnswered(c *conn, a statement.Answer) {
	j := c.job
	c.job = nil
	w := j.work
	ok := a.Code == statement.OK
	if w.Command.Verb == statement.Rollback {
		// The server may have lost the lead since BEGIN; only its position at
		// BEGIN goes with the proof.
		a.At = j.begun
	}
	r := statement.Result{Answer: a}
	r.Proven = ok && w.Proves()
	keep := ok && a.State == statement.InTx && (w.Opens || w.Tx != 0) && !j.aborted
	if !keep {
		if c.tx != 0 {
			e.forgetTx(c)
		}
		e.finishResult(j, r)
		e.settle(c, a.State)
		return
	}
	if c.tx == 0 {
		e.lastTx++
		c.tx, c.from = e.lastTx, j.from
		e.txs[c.tx] = c
	}
	c.state, c.idleSince = connResting, time.Now()
	r.Tx = c.tx
	e.finishResult(j, r)
}

// expired ends a job that is over its time. A statement that runs is broken off
// with its connection, whose answer could no longer be told from another's.
func (e *Executor) expired(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case j.finished:
	case j.conn == nil:
		e.unqueue(j, "no connection in time")
	default:
		code := statement.Busy
		if j.offered {
			code = statement.Timeout
		}
		e.close(j.conn, code, "no answer in time")
	}
}

// waitedOut refuses a job that waited for a connection for as long as it may.
func (e *Executor) waitedOut(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.finished && j.conn == nil {
		e.unqueue(j, "all connections are in use")
	}
}

func (e *Executor) unqueue(j *job, why string) {
	p := e.pool(poolKey{j.work.Customer, j.work.Server})
	p.waiting = slices.DeleteFunc(p.waiting, func(other *job) bool { return other == j })
	e.finish(j, statement.Refusal(statement.Busy, why))
}

func (e *Executor) finish(j *job, a statement.Answer) { e.finishResult(j, statement.Result{Answer: a}) }

func (e *Executor) finishResult(j *job, r statement.Result) {
	if j.finished {
		return
	}
	j.finished = true
	e.running--
	j.timer.Stop()
	if r.Answer.Code != statement.OK {
		j.span.SetStatus(codes.Error, r.Answer.Code.String())
	}
	j.span.End()
	e.effects = append(e.effects, func() { j.done(r) })
}
