// Package sqlfront serves clients' SQL sessions.
//
// A connection's reader only frames requests and queues them; pool workers run
// the decisions of package sqlsession and carry out their effects.
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
	// configWait bounds how long an opening waits for the first configuration.
	// Clients give up after 2 s.
	configWait  = 1500 * time.Millisecond
	configCheck = 20 * time.Millisecond
	// readBuffer is small because most sessions rest most of the time.
	readBuffer = 512
	queueLimit = 16
	// maxBacklog bounds the requests that a client sends without waiting.
	maxBacklog = 64
	outboxHigh = 1 << 20
)

// Runner runs statements on the fleet's VMs.
type Runner interface {
	// Run runs the work on the named VM and calls done once, on a pool worker.
	Run(vm string, w *statement.Work, done func(statement.Result))
	// Abort ends a transaction whose client is gone.
	Abort(vm string, tx uint64)
}

// Admitter counts customers' operations.
type Admitter interface {
	// Admit calls done once with whether the operation is inside the customer's
	// limit, and if not, when a retry can succeed.
	Admit(customer string, done func(admitted bool, retryAfter time.Duration))
}

// Options are the parts that a Server uses.
type Options struct {
	Network    network.Network
	Address    string
	DataCentre string
	Dialect    Dialect
	Pool       *pool.Pool
	Table      *catalog.Table
	Leads      *leadership.Table
	View       func() *placement.View
	Runner     Runner
	Admitter   Admitter
	Logger     log.Interface
	Scope      tally.Scope
	Tracer     trace.Tracer
}

// Server serves clients. Create it with New.
type Server struct {
	Options
	metrics

	mu       lockrank.Mutex // guards the fields below
	sessions map[*session]struct{}
	shedding bool // sessions are closed when they rest
	draining bool // open transactions are ended
}

// New returns a server. Run serves.
func New(o Options) *Server {
	s := &Server{Options: o, mu: lockrank.New(lockrank.Sessions), sessions: make(map[*session]struct{})}
	s.metrics = newMetrics(o.Scope)
	return s
}

// Run accepts clients until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.Network.Listen(s.Address)
	if err != nil {
		return err
	}
	network.Accept(ctx, listener, configCheck, func(conn net.Conn) { s.serve(ctx, conn) }, func(err error) {
		s.Logger.WithError(err).Warn("session: a client could not be accepted.")
	})
	return nil
}

// serve frames a client's requests until its connection ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	r := bufio.NewReaderSize(conn, readBuffer)
	out := outbox.New(conn, outboxHigh)
	defer out.Finish()
	start, err := s.Dialect.ReadStart(r)
	if err != nil {
		return
	}
	if s.isShedding() {
		// It would be closed as soon as it rests, perhaps with a request under way.
		refusal := statement.Refusal(statement.Busy, "this VM takes no sessions, connect to another one")
		out.Write(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	config := s.awaitConfig(ctx)
	if config == nil {
		refusal := statement.Refusal(statement.Busy, "no configuration is known yet")
		out.Write(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	core, refusal := sqlsession.Open(config, start.Database, keyHash(start.Key))
	if core == nil {
		s.outcomes[refusal.Code].Inc(1)
		s.Logger.WithFields(log.Fields{"database": start.Database, "code": refusal.Code.String(), "config": config.Version}).
			Info("session: refused at its start.")
		out.Write(s.Dialect.AppendRefusal(nil, &refusal))
		return
	}
	c := &session{server: s, core: core, conn: conn, out: out, queue: s.Pool.NewQueue(queueLimit)}
	defer c.queue.Close()
	s.add(c)
	defer s.remove(c)
	out.Write(s.Dialect.AppendReady(nil))
	for out.Wait() {
		request, ok, err := s.Dialect.ReadRequest(r)
		if err != nil || !ok {
			break
		}
		if !c.queue.PostWait(func() { c.request(request) }) {
			break
		}
	}
	if c.stopped.Load() {
		c.queue.PostAlways(c.readerEnded)
		out.WaitClosed()
	}
	c.queue.PostAlways(c.gone)
}

func keyHash(key string) state.KeyHash { return sha256.Sum256([]byte(key)) }

// awaitConfig returns the configuration, or nil if none is known in time.
func (s *Server) awaitConfig(ctx context.Context) *catalog.Config {
	for waited := time.Duration(0); waited < configWait; waited += configCheck {
		if c := s.Table.Current().Config; c != nil {
			return c
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(configCheck):
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

func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for c := range s.sessions {
		all = append(all, c)
	}
	return all
}

// Shed closes sessions whenever they rest between operations, or stops doing
// so. Their clients connect again, to VMs that take new sessions.
func (s *Server) Shed(on bool) {
	s.mu.Lock()
	changed := s.shedding != on
	s.shedding = on
	s.mu.Unlock()
	if !on || !changed {
		return
	}
	for _, c := range s.all() {
		c.queue.PostAlways(c.rest)
	}
}

// EndTransactions ends the transactions in which no statement runs.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.queue.PostAlways(c.endIdleTx)
	}
}

func (s *Server) isShedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding
}

// Open returns the number of open sessions.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
