package sessions

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pgserver"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// client is the session of one client. Its fields are used only by the worker
// that runs its queue, unless they say otherwise.
type client struct {
	sessions   *Sessions
	st         *state.Session
	out        *pgserver.Client
	queue      *pool.Queue
	statements pgwire.Statements
	secret     uint32 // constant

	// idle holds a value while no request runs. The reader takes it before it
	// posts a request.
	idle  chan struct{}
	ended chan struct{} // closed when the session has ended
	once  sync.Once     // closes ended

	batch    *pgwire.Batch
	held     [][]byte
	txStatus byte // status of the last ReadyForQuery; zero before the first
	timer    *time.Timer
	wakes    []session.Wake
	span     trace.Span // of the request
	hop      trace.Span // of the request on a backend server
}

// post runs a decision on the client's queue. It reports false if the session
// has ended.
func (c *client) post(decide func(now time.Time) []session.Effect) bool {
	return c.queue.PostAlways(func() { c.run(decide) })
}

func (c *client) run(decide func(now time.Time) []session.Effect) {
	now := time.Now()
	c.st.Lock()
	effects := decide(now)
	c.st.Unlock()
	for _, e := range effects {
		c.perform(e, now)
	}
}

// Request implements pgserver.Session.
func (c *client) Request(b *pgwire.Batch) bool {
	select {
	case <-c.idle:
	case <-c.ended:
		return false
	}
	return c.queue.PostAlways(func() { c.start(b) })
}

// Gone implements pgserver.Session.
func (c *client) Gone() {
	c.post(func(time.Time) []session.Effect { return c.sessions.Decider.Gone(c.st) })
	c.queue.PostAlways(c.end)
}

// end forgets the session. It runs on the client's queue.
func (c *client) end() {
	c.once.Do(func() {
		close(c.ended)
		if c.timer != nil {
			c.timer.Stop()
		}
		c.endSpans(session.Outcome{})
		c.out.Finish()
		c.sessions.remove(c)
		c.sessions.Tables.Sessions.Remove(c.st.ID)
		c.queue.Close()
	})
}

// start begins a request.
func (c *client) start(b *pgwire.Batch) {
	if b.OnlySync {
		c.ready()
		return
	}
	c.statements.Analyse(b)
	c.batch = b
	if b.Setting != nil && b.Setting.Own() {
		c.finish(session.Finish{Outcome: c.ownSetting(b)})
		return
	}
	if b.Unsupported != "" {
		out := session.Refused(session.Unsupported)
		out.Detail = b.Unsupported
		c.finish(session.Finish{Outcome: out})
		return
	}
	c.run(func(now time.Time) []session.Effect {
		r := state.Request{
			Number:       c.st.Request.Number + 1,
			Class:        b.Class,
			MayCommit:    b.MayCommit,
			OnlyBegins:   b.OnlyBegins,
			Payload:      b,
			Idempotent:   c.st.Idempotent || b.Hints.Idempotent,
			MaxStaleness: b.Hints.MaxStaleness,
			Arrived:      now,
			Deadline:     now.Add(c.deadline()),
		}
		c.startSpan(r)
		return c.sessions.Decider.Arrive(c.st, r, now)
	})
}

// deadline returns the longest time that a request of the session may take.
func (c *client) deadline() time.Duration {
	if cfg := c.sessions.Tables.Config.Current(); cfg != nil {
		if r := cfg.Routes[c.st.Route]; r != nil && r.Deadline > 0 {
			return r.Deadline
		}
	}
	return c.sessions.DefaultDeadline
}

// perform carries out an effect.
func (c *client) perform(e session.Effect, now time.Time) {
	s := c.sessions
	switch e := e.(type) {
	case session.Acquire:
		c.acquire(e, now)
	case session.WithdrawAcquire:
		s.backends.Withdraw(e.Server, e.ID)
	case session.Send:
		c.send(e)
	case session.Forward:
		c.out.Write(e.Part.([]byte))
	case session.Hold:
		c.held = append(c.held, e.Part.([]byte))
	case session.FlushHeld:
		for _, b := range c.held {
			c.out.Write(b)
		}
		c.held = nil
	case session.DropHeld:
		c.held = nil
	case session.Finish:
		c.finish(e)
	case session.Release:
		c.endHop()
		s.backends.Release(e.Server, e.Conn, now)
	case session.Discard:
		c.endHop()
		s.backends.Discard(e.Conn)
	case session.CancelBackend:
		s.backends.Cancel(e.Conn)
	case session.Await:
		s.groups.Wait(e.Group, e.Waiter)
	case session.WithdrawAwait:
		s.groups.Withdraw(e.Group, e.ID)
	case session.Wake:
		c.wake(e)
	case session.ReportToken:
		c.out.Send(&pgproto3.ParameterStatus{Name: pgwire.SettingSession, Value: c.token()})
	case session.Suspect:
		s.groups.Suspect(e.Group, e.Server)
	case session.AdvanceLimits:
		s.limits.Advance(e.At)
	case session.CloseClient:
		c.close(e.Outcome)
	}
}

func (c *client) acquire(e session.Acquire, now time.Time) {
	cfg := c.sessions.Tables.Config.Current()
	for _, g := range cfg.Groups {
		if server := g.Server(e.Server); server != nil {
			c.sessions.backends.Acquire(server, e.Waiter, now)
			return
		}
	}
	c.sessions.NotGranted(e.Waiter.ID, 0)
}

// send hands the request to the backend connection.
func (c *client) send(e session.Send) {
	s := c.sessions
	if c.st.TargetsPrimary {
		s.metrics.onPrimary.Inc(1)
	} else {
		s.metrics.onReplica.Inc(1)
	}
	c.startHop(e)
	want := pgwire.Preparation{
		Owner: c.st.ID, Variables: c.st.Variables, ReadOnly: e.ReadOnly, InTransaction: c.st.InTransaction,
		Lookup: func(name string) *pgproto3.Parse { return c.statements[name] },
	}
	if e.Opening != nil {
		want.Opening = e.Opening.(*pgwire.Batch)
	}
	ok := s.backends.Send(e.Conn, c, e.Request, c.batch, func(w *pgwire.Connection) pgwire.Prepared {
		return w.Prepare(want, c.batch)
	})
	if !ok {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.Unsent(c.st, e.Conn, e.Request, now)
		})
	}
}

// Part implements pgbackend.Sink.
func (c *client) Part(conn state.ConnID, request uint64, p pgwire.Part) {
	if !c.out.Wait() {
		return
	}
	c.queue.PostWait(func() {
		c.run(func(time.Time) []session.Effect {
			return c.sessions.Decider.Part(c.st, conn, request, p.Kind, p.Bytes)
		})
	})
}

// Ended implements pgbackend.Sink.
func (c *client) Ended(conn state.ConnID, request uint64, end session.End, prepared int) {
	posted := c.queue.PostAlways(func() {
		if c.st.Conn == conn && c.st.Request.Number == request && c.st.Phase == state.PhaseExecuting {
			c.answered(conn, end, prepared)
		}
		c.run(func(now time.Time) []session.Effect {
			return c.sessions.Decider.Ended(c.st, conn, request, end, now)
		})
	})
	if !posted {
		c.sessions.backends.Discard(conn)
	}
}

// answered updates what is known of prepared statements and settings.
func (c *client) answered(conn state.ConnID, end session.End, prepared int) {
	c.txStatus = end.Status
	c.statements.Prepared(c.batch, prepared)
	if c.batch.Setting == nil || end.ErrorCode != "" {
		return
	}
	c.sessions.backends.Wire(conn, func(w *pgwire.Connection) {
		vars, ok := pgwire.Remember(c.st.Variables, c.batch.Setting)
		if end.InTransaction || !ok {
			w.Changed()
			return
		}
		c.st.Lock()
		c.st.Variables = vars
		c.st.Unlock()
		w.SettingChanged(vars)
	})
}

// Lost implements pgbackend.Sink.
func (c *client) Lost(conn state.ConnID, request uint64) {
	c.post(func(now time.Time) []session.Effect {
		return c.sessions.Decider.Lost(c.st, conn, request, now)
	})
}

// finish tells the client how its request ended and lets the next one in.
func (c *client) finish(e session.Finish) {
	c.sessions.metrics.outcome(e.Outcome)
	if c.span != nil {
		c.sessions.metrics.latency.RecordDuration(time.Since(c.st.Request.Arrived))
	}
	c.endSpans(e.Outcome)
	if e.Outcome.Kind != session.Answered {
		if c.out.Full() {
			// The reader of the backend connection waits for this client.
			c.out.Abort()
		}
		c.out.Send(pgwire.Refuse(e.Outcome, false))
	}
	if c.batch != nil && c.batch.Unsynced {
		c.batch = nil
		c.idle <- struct{}{}
		return
	}
	c.batch = nil
	c.ready()
}

func (c *client) ready() {
	status := c.txStatus
	if status == 0 || !c.st.InTransaction {
		status = 'I'
	}
	c.out.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	c.idle <- struct{}{}
}

// close ends the session after telling the client why.
func (c *client) close(out session.Outcome) {
	c.sessions.metrics.outcome(out)
	c.out.Send(pgwire.Refuse(out, true))
	c.end()
}

// wake arms the client's timer for a call of Woken.
func (c *client) wake(w session.Wake) {
	kept := c.wakes[:0]
	for _, old := range c.wakes {
		if old.Request == w.Request {
			kept = append(kept, old)
		}
	}
	c.wakes = append(kept, w)
	c.arm()
}

func (c *client) arm() {
	if len(c.wakes) == 0 {
		return
	}
	next := c.wakes[0].At
	for _, w := range c.wakes[1:] {
		if w.At.Before(next) {
			next = w.At
		}
	}
	delay := time.Until(next)
	if c.timer == nil {
		c.timer = time.AfterFunc(delay, func() { c.queue.PostAlways(c.timeout) })
		return
	}
	c.timer.Reset(delay)
}

func (c *client) timeout() {
	now := time.Now()
	kept := c.wakes[:0]
	var due []session.Wake
	for _, w := range c.wakes {
		if w.At.After(now) {
			kept = append(kept, w)
			continue
		}
		due = append(due, w)
	}
	c.wakes = kept
	for _, w := range due {
		c.run(func(now time.Time) []session.Effect { return c.sessions.Decider.Woken(c.st, w.Request, now) })
	}
	c.arm()
}

func (c *client) startSpan(r state.Request) {
	_, c.span = c.sessions.Tracer.Start(context.Background(), "request", trace.WithAttributes(
		attribute.String("customer", c.st.Customer),
		attribute.String("route", c.st.Route),
		attribute.String("vm", c.sessions.Tables.Self.Name),
	))
}

func (c *client) startHop(e session.Send) {
	if c.span == nil {
		return
	}
	ctx := trace.ContextWithSpan(context.Background(), c.span)
	_, c.hop = c.sessions.Tracer.Start(ctx, "backend", trace.WithAttributes(
		attribute.String("server", c.st.Server),
		attribute.Bool("read_only", e.ReadOnly),
	))
}

func (c *client) endHop() {
	if c.hop != nil {
		c.hop.End()
		c.hop = nil
	}
}

func (c *client) endSpans(out session.Outcome) {
	c.endHop()
	if c.span == nil {
		return
	}
	if out.Kind != session.Answered {
		c.span.SetAttributes(attribute.String("refused", out.Reason.String()))
	}
	c.span.End()
	c.span = nil
}
