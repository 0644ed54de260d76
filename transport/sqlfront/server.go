// Package sqlfront serves clients' SQL sessions.
//
// The reader of a connection only splits the stream into requests and queues them.
// Pool workers apply the decisions of package sqlsession.
package sqlfront

import (
	"bufio"
	"context"
	"crypto/sha256"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/sqlsession"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// configTimeout bounds how long a new session waits for the first
	// configuration. Clients give up after 2 s.
	configTimeout = 1500 * time.Millisecond
	// pollInterval is the time between checks for a configuration, and the pause
	// after a failed accept.
	pollInterval = 20 * time.Millisecond
	// readBufferSize is small because most sessions are idle most of the time.
	readBufferSize = 512 // bytes
	queueLimit     = 16  // events
	// maxBacklog bounds the requests that a client may send before the answer to an
	// earlier one; the connection of a client that sends more is closed.
	maxBacklog  = 64
	outboxLimit = 1 << 20 // bytes; no request is read while more are queued
)

// Runner runs statements on the VMs of the fleet.
type Runner interface {
	// Run runs the statement on the named VM and calls done once, on a pool worker.
	Run(vm string, w *statement.RemoteStatement, done func(statement.Result))
	// AbortTxOn rolls back a transaction that its session no longer uses, for example
	// because the client has disconnected or the transaction was idle for too long.
	AbortTxOn(vm string, tx uint64)
}

// Admitter enforces the rate limits of customers.
type Admitter interface {
	// Admit calls done once with whether the operation is within the customer's
	// limit, and if not, after how long a retry can succeed. Operations of the rank 0 are
	// admitted first, see catalog.Config.RouteRank.
	Admit(customer string, rank int, done func(admitted bool, retryAfter time.Duration))
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Network    network.Network
	Address    string // listen address, HOST:PORT
	DataCentre string // of this VM
	Dialect    Dialect
	Pool       *pool.Pool
	Table      *catalog.Table
	Leadership *leadership.Table
	View       func() *placement.View
	Runner     Runner
	Admitter   Admitter
	Logger     log.Interface
	Scope      tally.Scope
	Tracer     trace.Tracer
}

// Server accepts client connections and serves their sessions. Create it with New.
type Server struct {
	Options
	metrics

	mu       lockrank.Mutex // guards the fields below
	sessions map[*session]struct{}
	shedding bool // new sessions are refused and idle ones closed
	draining bool // idle transactions are rolled back
}

// New returns a server, which accepts clients once Run is called.
func New(o Options) *Server {
	s := &Server{Options: o, mu: lockrank.New(lockrank.Sessions), sessions: make(map[*session]struct{})}
	s.metrics = newMetrics(o.Scope)
	return s
}

// Run accepts clients until ctx is done. It returns an error if it cannot listen
// on Options.Address.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.Network.Listen(s.Address)
	if err != nil {
		return err
	}
	network.Serve(ctx, listener, pollInterval, func(conn net.Conn) { s.serveConn(ctx, conn) }, func(err error) {
		s.Logger.WithError(err).Warn("session: a client could not be accepted.")
	})
	return nil
}

// serveConn reads a client's requests and queues them until its connection ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	r := bufio.NewReaderSize(conn, readBufferSize)
	out := outbox.New(conn, outboxLimit)
	defer out.CloseAfterFlush()
	start, err := s.Dialect.ReadStart(r)
	if err != nil {
		return
	}
	if s.isShedding() {
		// A new session would be closed as soon as it is idle, and its first request
		// might already be on its way.
		refusal := statement.Refusal(statement.Busy, "this VM takes no sessions, connect to another one")
		out.Enqueue(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	config := s.awaitConfig(ctx)
	if config == nil {
		refusal := statement.Refusal(statement.Busy, "no configuration is known yet")
		out.Enqueue(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	stateMachine, refusal := sqlsession.Open(config, start.Database, hashKey(start.Key))
	if stateMachine == nil {
		s.outcomes[refusal.Code].Inc(1)
		s.Logger.WithFields(log.Fields{"database": start.Database, "code": refusal.Code.String(), "config": config.Version}).
			Info("session: start refused.")
		out.Enqueue(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	c := &session{server: s, stateMachine: stateMachine, conn: conn, out: out, queue: s.Pool.NewQueue(queueLimit)}
	c.queue.HandlePanics(c.handlePanic)
	defer c.queue.Close()
	s.add(c)
	defer s.remove(c)
	out.Enqueue(s.Dialect.AppendReady(nil))
	for out.WaitForSpace() {
		request, ok, err := s.Dialect.ReadRequest(r)
		if err != nil || !ok {
			break
		}
		if !c.queue.PostBlocking(func() { c.receive(request) }) {
			break
		}
	}
	if c.readStopped.Load() {
		c.queue.PostUnbounded(c.readerStopped)
		out.WaitClosed()
	}
	c.queue.PostUnbounded(c.disconnected)
}

func hashKey(key string) state.KeyHash { return sha256.Sum256([]byte(key)) }

// awaitConfig returns the configuration, or nil if none arrives within
// configTimeout.
func (s *Server) awaitConfig(ctx context.Context) *catalog.Config {
	for waited := time.Duration(0); waited < configTimeout; waited += pollInterval {
		if c := s.Table.Current().Config; c != nil {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (s *Server) add(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[c] = struct{}{}
}

func (s *Server) remove(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		all = append(all, c)
	}
	return all
}

// SetCloseIdle turns load shedding on or off. While it is on, new sessions are
// refused, and open ones are closed when they are idle outside a transaction, so
// that their clients reconnect to other VMs.
func (s *Server) SetCloseIdle(on bool) {
	s.mu.Lock()
	changed := s.shedding != on
	s.shedding = on
	s.mu.Unlock()
	if !on || !changed {
		return
	}
	for _, c := range s.allSessions() {
		c.queue.PostUnbounded(c.becomeIdle)
	}
}

// EndTransactions rolls back idle transactions, from now on as soon as they become
// idle.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.allSessions() {
		c.queue.PostUnbounded(c.abortIdleTx)
	}
}

func (s *Server) isShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// SessionCount returns the number of open sessions. A VM that drains waits until
// it is zero.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
