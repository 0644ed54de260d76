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

// clientSession is the session of one client. Its fields are used only by events
// of its queue, unless a comment says otherwise.
type clientSession struct {
	sessions   *Sessions
	st         *state.Session // entry of the session table
	out        *pgserver.Client
	queue      *pool.Queue
	statements pgwire.PreparedStatements // prepared statements of the client
	secret     uint32                    // authenticates cancel requests; constant

	// idle holds one value while no request runs. The reader of the client
	// connection receives it before it posts a request.
	idle    chan struct{}
	ended   chan struct{} // closed when the session has ended
	endOnce sync.Once     // guards the clean-up in end

	ending      *session.Outcome // reason of EndSession; nil if the session is not ending
	batch       *pgwire.Batch    // the current request
	heldParts   [][]byte         // parts of the response, until FlushHeld or DropHeld
	txStatus    byte             // status of the last ReadyForQuery; zero before the first
	timer       *time.Timer
	scheduled   []session.SetTimer // future calls of Decider.HandleTimer
	requestSpan trace.Span         // nil if no request runs
	backendSpan trace.Span         // nil if no backend server runs the request
}

// post queues a decision. It returns false if the session has ended.
func (c *clientSession) post(decide func(now time.Time) []session.Effect) bool {
	return c.queue.PostUnbounded(func() { c.run(decide) })
}

// run makes a decision under the session's lock and then executes its effects.
func (c *clientSession) run(decide func(now time.Time) []session.Effect) {
	now := time.Now()
	c.st.Lock()
	effects := decide(now)
	c.st.Unlock()
	for _, e := range effects {
		c.execute(e, now)
	}
}

// Request implements pgserver.Session.
func (c *clientSession) Request(b *pgwire.Batch) bool {
	select {
	case <-c.idle:
	case <-c.ended:
		return false
	}
	return c.queue.PostUnbounded(func() { c.startRequest(b) })
}

// Disconnected implements pgserver.Session.
func (c *clientSession) Disconnected() {
	c.post(func(time.Time) []session.Effect { return c.sessions.Decider.HandleDisconnect(c.st) })
	c.queue.PostUnbounded(c.end)
}

// end removes the session and releases its resources. It runs as an event of the
// queue.
func (c *clientSession) end() {
	c.endOnce.Do(func() {
		close(c.ended)
		if c.timer != nil {
			c.timer.Stop()
		}
		c.endSpans(session.Outcome{})
		if c.ending != nil {
			c.out.Send(pgwire.ErrorResponseFor(*c.ending, true))
		}
		c.out.Finish()
		c.sessions.remove(c)
		c.sessions.Tables.Sessions.Remove(c.st.ID)
		c.queue.Close()
	})
}

// startRequest begins a request. Settings of the proxy and unsupported statements
// are answered here; all other requests go to the decider.
func (c *clientSession) startRequest(b *pgwire.Batch) {
	if b.IsSync {
		c.sendReady()
		return
	}
	c.statements.Analyse(b)
	c.batch = b
	if b.Setting != nil && b.Setting.IsProxySetting() {
		c.finish(session.Finish{Outcome: c.executeSetting(b)})
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
			Deadline:     now.Add(c.requestTimeout()),
		}
		c.startRequestSpan(r)
		return c.sessions.Decider.StartRequest(c.st, r, now)
	})
}

// requestTimeout returns the time from the arrival of a request of this session to
// its deadline.
func (c *clientSession) requestTimeout() time.Duration {
	if cfg := c.sessions.Tables.Config.Current(); cfg != nil {
		if r := cfg.Routes[c.st.Route]; r != nil && r.Deadline > 0 {
			return r.Deadline
		}
	}
	return c.sessions.DefaultDeadline
}

// execute carries out an effect.
func (c *clientSession) execute(e session.Effect, now time.Time) {
	s := c.sessions
	switch e := e.(type) {
	case session.Acquire:
		c.acquire(e, now)
	case session.CancelAcquire:
		s.backends.Withdraw(e.Server, e.ID)
	case session.Send:
		c.send(e)
	case session.Forward:
		c.out.Write(e.Part.([]byte))
	case session.Hold:
		c.heldParts = append(c.heldParts, e.Part.([]byte))
	case session.FlushHeld:
		for _, b := range c.heldParts {
			c.out.Write(b)
		}
		c.heldParts = nil
	case session.DropHeld:
		c.heldParts = nil
	case session.Finish:
		c.finish(e)
	case session.Release:
		c.endBackendSpan()
		s.backends.Release(e.Server, e.Conn, now)
	case session.Discard:
		c.endBackendSpan()
		s.backends.Discard(e.Conn)
	case session.CancelBackend:
		s.backends.Cancel(e.Conn)
	case session.AwaitPosition:
		s.groups.Wait(e.Group, e.Waiter)
	case session.CancelAwait:
		s.groups.Withdraw(e.Group, e.ID)
	case session.SetTimer:
		c.scheduleTimer(e)
	case session.ReportToken:
		c.out.Send(&pgproto3.ParameterStatus{Name: pgwire.SettingSession, Value: c.token()})
	case session.ReportFailure:
		s.groups.Suspect(e.Group, e.Server)
	case session.AdvanceLimits:
		s.limits.Advance(e.At)
	case session.CloseClient:
		c.closeWithError(e.Outcome)
	case session.EndSession:
		c.ending = &e.Outcome
		c.out.StopReading()
	}
}

// acquire requests a connection to a backend server. If the server is no longer
// configured, the request is refused with queueing.QueueFull, the zero Reason.
func (c *clientSession) acquire(e session.Acquire, now time.Time) {
	cfg := c.sessions.Tables.Config.Current()
	for _, g := range cfg.Groups {
		if server := g.Server(e.Server); server != nil {
			c.sessions.backends.Acquire(server, e.Waiter, now)
			return
		}
	}
	c.sessions.NotGranted(e.Waiter.ID, 0)
}

// send prepares the backend connection for the session and sends the request. If
// the connection has already failed, the decider is told that nothing was sent.
func (c *clientSession) send(e session.Send) {
	s := c.sessions
	if c.st.TargetsPrimary {
		s.metrics.onPrimary.Inc(1)
	} else {
		s.metrics.onReplica.Inc(1)
	}
	c.startBackendSpan(e)
	preparation := pgwire.Preparation{
		Owner: c.st.ID, Variables: c.st.Variables, ReadOnly: e.ReadOnly, InTransaction: c.st.InTransaction,
		Lookup: func(name string) *pgproto3.Parse { return c.statements[name] },
	}
	if e.BeginPayload != nil {
		preparation.Opening = e.BeginPayload.(*pgwire.Batch)
	}
	ok := s.backends.Send(e.Conn, c, e.Request, c.batch, func(pc *pgwire.ConnectionState) pgwire.Prepared {
		return pc.Prepare(preparation, c.batch)
	})
	if !ok {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.HandleSendFailed(c.st, e.Conn, e.Request, now)
		})
	}
}

// HandlePart implements pgbackend.ResponseHandler.
func (c *clientSession) HandlePart(conn state.ConnID, request uint64, p pgwire.Part) {
	if !c.out.Wait() {
		return
	}
	c.queue.PostBlocking(func() {
		c.run(func(time.Time) []session.Effect {
			return c.sessions.Decider.HandlePart(c.st, conn, request, p.Kind, p.Bytes)
		})
	})
}

// HandleEnd implements pgbackend.ResponseHandler.
func (c *clientSession) HandleEnd(conn state.ConnID, request uint64, end session.End, prepared int) {
	posted := c.queue.PostUnbounded(func() {
		if c.st.Conn == conn && c.st.Request.Number == request && c.st.Phase == state.PhaseExecuting {
			c.recordResponse(conn, end, prepared)
		}
		c.run(func(now time.Time) []session.Effect {
			return c.sessions.Decider.HandleEnd(c.st, conn, request, end, now)
		})
	})
	if !posted {
		c.sessions.backends.Discard(conn)
	}
}

// recordResponse updates the transaction status, the prepared statements and the
// settings of the session after a response.
func (c *clientSession) recordResponse(conn state.ConnID, end session.End, prepared int) {
	c.txStatus = end.Status
	c.statements.RecordPrepared(c.batch, prepared)
	if c.batch.Setting == nil || end.ErrorCode != "" {
		return
	}
	c.sessions.backends.WithProtocolState(conn, func(pc *pgwire.ConnectionState) {
		vars, ok := pgwire.UpdateReplayedSettings(c.st.Variables, c.batch.Setting)
		if end.InTransaction || !ok {
			pc.Invalidate()
			return
		}
		c.st.Lock()
		c.st.Variables = vars
		c.st.Unlock()
		pc.SettingChanged(vars)
	})
}

// HandleConnLost implements pgbackend.ResponseHandler.
func (c *clientSession) HandleConnLost(conn state.ConnID, request uint64) {
	c.post(func(now time.Time) []session.Effect {
		return c.sessions.Decider.HandleConnLost(c.st, conn, request, now)
	})
}

// finish ends the request. The client is sent the error if the request was not
// answered, and the next request may start.
func (c *clientSession) finish(e session.Finish) {
	c.sessions.metrics.outcome(e.Outcome)
	if c.requestSpan != nil {
		c.sessions.metrics.latency.RecordDuration(time.Since(c.st.Request.Arrived))
	}
	c.endSpans(e.Outcome)
	if e.Outcome.Kind != session.Answered {
		if c.out.Full() {
			// The client does not read, and HandlePart blocks the reader of the
			// backend connection until the output drains.
			c.out.Abort()
		}
		c.out.Send(pgwire.ErrorResponseFor(e.Outcome, false))
	}
	if c.batch != nil && c.batch.SyncPending {
		c.batch = nil
		c.idle <- struct{}{}
		return
	}
	c.batch = nil
	c.sendReady()
}

// sendReady sends ReadyForQuery and lets the next request start.
func (c *clientSession) sendReady() {
	status := c.txStatus
	if status == 0 || !c.st.InTransaction {
		status = 'I'
	}
	c.out.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	c.idle <- struct{}{}
}

// closeWithError sends the client the reason and ends the session.
func (c *clientSession) closeWithError(out session.Outcome) {
	c.sessions.metrics.outcome(out)
	c.out.Send(pgwire.ErrorResponseFor(out, true))
	c.end()
}

// scheduleTimer schedules a call of Decider.HandleTimer, and drops the scheduled
// calls for earlier requests.
func (c *clientSession) scheduleTimer(w session.SetTimer) {
	remaining := c.scheduled[:0]
	for _, old := range c.scheduled {
		if old.Request == w.Request {
			remaining = append(remaining, old)
		}
	}
	c.scheduled = append(remaining, w)
	c.armTimer()
}

// armTimer sets the timer to the earliest scheduled call.
func (c *clientSession) armTimer() {
	if len(c.scheduled) == 0 {
		return
	}
	next := c.scheduled[0].At
	for _, w := range c.scheduled[1:] {
		if w.At.Before(next) {
			next = w.At
		}
	}
	delay := time.Until(next)
	if c.timer == nil {
		c.timer = time.AfterFunc(delay, func() { c.queue.PostUnbounded(c.timerFired) })
		return
	}
	c.timer.Reset(delay)
}

// timerFired makes the scheduled calls that are due.
func (c *clientSession) timerFired() {
	now := time.Now()
	remaining := c.scheduled[:0]
	var due []session.SetTimer
	for _, w := range c.scheduled {
		if w.At.After(now) {
			remaining = append(remaining, w)
			continue
		}
		due = append(due, w)
	}
	c.scheduled = remaining
	for _, w := range due {
		c.run(func(now time.Time) []session.Effect { return c.sessions.Decider.HandleTimer(c.st, w.Request, now) })
	}
	c.armTimer()
}

func (c *clientSession) startRequestSpan(r state.Request) {
	_, c.requestSpan = c.sessions.Tracer.Start(context.Background(), "request", trace.WithAttributes(
		attribute.String("customer", c.st.Customer),
		attribute.String("route", c.st.Route),
		attribute.String("vm", c.sessions.Tables.Self.Name),
	))
}

func (c *clientSession) startBackendSpan(e session.Send) {
	if c.requestSpan == nil {
		return
	}
	ctx := trace.ContextWithSpan(context.Background(), c.requestSpan)
	_, c.backendSpan = c.sessions.Tracer.Start(ctx, "backend", trace.WithAttributes(
		attribute.String("server", c.st.Server),
		attribute.Bool("read_only", e.ReadOnly),
	))
}

func (c *clientSession) endBackendSpan() {
	if c.backendSpan != nil {
		c.backendSpan.End()
		c.backendSpan = nil
	}
}

func (c *clientSession) endSpans(out session.Outcome) {
	c.endBackendSpan()
	if c.requestSpan == nil {
		return
	}
	if out.Kind != session.Answered {
		c.requestSpan.SetAttributes(attribute.String("refused", out.Reason.String()))
	}
	c.requestSpan.End()
	c.requestSpan = nil
}
