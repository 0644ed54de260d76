// Package sqlback runs statements on backend servers.
//
// An Executor pools connections for the customers assigned to its VM and runs the
// statements that other VMs forward to it. A connection serves one customer only.
// Before each statement it is given the session variables and the prepared
// statement that the statement needs.
package sqlback

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/coordination/connbudget"
	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// startTimeout bounds dialling a server, and the handshake, which waits for a
	// slot on the server.
	startTimeout = 700 * time.Millisecond
	// internalTimeout bounds the answer to a command that no job waits for, such as
	// a rollback. Such commands take no slot on the server.
	internalTimeout = 700 * time.Millisecond
	// redialDelay is the minimum time between a failed connection attempt and the
	// next one.
	redialDelay = 200 * time.Millisecond
	// sweepInterval is how often connections are checked for removal.
	sweepInterval = 200 * time.Millisecond
	// reassignedIdleTimeout closes idle connections of customers that were assigned
	// to another VM.
	reassignedIdleTimeout = time.Second
	// idleTimeout closes idle connections.
	idleTimeout = 20 * time.Second
	// maxWaitingJobs bounds the statements of one customer that wait for a
	// connection to one server.
	maxWaitingJobs = 64
	queueLimit     = 1 << 14 // events
	// abandonedTxMargin is added to the configured idle time of transactions, so
	// that the VM of the client ends them first.
	abandonedTxMargin = time.Second
	// unreachableAfter is how long connection attempts must fail before the server
	// is reported as unreachable to the other VMs.
	unreachableAfter = 250 * time.Millisecond
	probeInterval    = 500 * time.Millisecond // between probes of unreachable servers
)

// connectionWaitBuckets range from the use of an idle connection to the longest wait
// for a busy one: 1 ms to 1 s.
var connectionWaitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 11)

type poolKey struct{ customer, server string }

// serverPool holds one customer's connections to one server.
type serverPool struct {
	key      poolKey
	group    string // of the server
	budget   *serverBudget
	account  connbudget.Account
	conns    []*conn
	waiting  classqueue.Queue[*job]
	failedAt time.Time // latest failed connection attempt; zero after a success
}

// job is a statement that this VM runs on a backend server.
type job struct {
	stmt        *statement.RemoteStatement
	origin      string
	done        func(statement.Result)
	span        trace.Span
	submittedAt time.Time
	arrivedAt   time.Duration // reading of clock.Now, as are sentAt and startBy
	sentAt      time.Duration // when the statement was sent
	startBy     time.Duration // order among the waiting jobs of a class; zero without a class
	held        bool          // was held back; see holdBack
	timer       *time.Timer
	conn        *conn
	beginPoint  state.Point // log position that BEGIN returned
	sent        bool        // the statement was sent, at least in part, and may have run
	finished    bool
	draining    bool // the server is no longer the designated primary, but its answer still counts
	aborted     bool // AbortTx or AbortLink was called: end the transaction after the statement
}

// Executor runs statements on backend servers. Create it with New.
type Executor struct {
	net               network.Network
	dialect           Dialect
	queue             *pool.Queue
	table             *catalog.Table
	logger            log.Interface
	connectionsOpened tally.Counter
	connectionWait    tally.Histogram
	tracer            trace.Tracer
	// holdsConnections reports whether this VM is assigned the customer's
	// connections to the server.
	holdsConnections func(customer string, s *catalog.Server) bool
	// reportUnreachable tells the other VMs which servers this VM cannot reach.
	reportUnreachable func(unreachable []string)
	checkPrimary      func(group, server string) fencing.Verdict
	countStatement    func(w *statement.RemoteStatement, sentAt time.Duration, n int64)
	view              func() *placement.View
	metrics           budgetMetrics
	lending           Lending
	startedAt         time.Time

	lastProbe time.Time // used by Run only

	mu            lockrank.Mutex // guards the fields below
	pools         map[poolKey]*serverPool
	budgets       map[string]*serverBudget // by server
	changedShares int                      // plans that changed this VM's share, since the last line of the log
	askAt         time.Time                // of the next request for a loan at the earliest
	txs           map[uint64]*conn         // by transaction ID, see newTxID
	runningJobs   int                      // jobs without a result
	callbacks     []func()                 // run after the current event, without mu
	drains        []*primaryDrain
	failingSince  map[string]time.Time // server to its first failed connection attempt since a success
	unreachable   map[string]bool
	admission     admissionControl
}

// Options are the dependencies of an Executor.
type Options struct {
	Network           network.Network
	Dialect           Dialect
	Pool              *pool.Pool
	Table             *catalog.Table
	Logger            log.Interface
	Scope             tally.Scope
	Tracer            trace.Tracer
	HoldsConnections  func(customer string, s *catalog.Server) bool // this VM holds the customer's connections to the server
	ReportUnreachable func(unreachable []string)                    // called after each change, with all unreachable servers in order
	// Lending sends requests for loans of connections; nil disables loans.
	Lending Lending
	// View returns the present view, from which the VM's shares of connections follow;
	// nil has this VM only. It is called without locks.
	View func() *placement.View
	// CheckPrimary reports whether this VM may use the server as the primary of the
	// group; nil allows all servers. It must not take locks of a rank up to
	// lockrank.Backends.
	CheckPrimary func(group, server string) fencing.Verdict
	// CountStatement records that the statement was sent to a server at the given time (n
	// is 1), or that the server refused it without running it (n is -1). It must not take
	// locks of a rank up to lockrank.Backends. Nil records nothing.
	CountStatement func(w *statement.RemoteStatement, sentAt time.Duration, n int64)
}

// New returns an executor. Run must be called to maintain its connections.
func New(o Options) *Executor {
	if o.CountStatement == nil {
		o.CountStatement = func(*statement.RemoteStatement, time.Duration, int64) {}
	}
	if o.CheckPrimary == nil {
		o.CheckPrimary = func(string, string) fencing.Verdict { return fencing.Allowed }
	}
	if o.View == nil {
		o.View = func() *placement.View { return nil }
	}
	return &Executor{
		net: o.Network, dialect: o.Dialect, queue: o.Pool.NewQueue(queueLimit), table: o.Table, logger: o.Logger,
		connectionsOpened: o.Scope.Counter("server_connections_opened"), connectionWait: o.Scope.Histogram("connection_wait", connectionWaitBuckets),
		tracer: o.Tracer, holdsConnections: o.HoldsConnections, reportUnreachable: o.ReportUnreachable,
		checkPrimary: o.CheckPrimary, countStatement: o.CountStatement, view: o.View, metrics: newBudgetMetrics(o.Scope), lending: o.Lending, startedAt: time.Now(), budgets: make(map[string]*serverBudget),
		mu: lockrank.New(lockrank.Backends), pools: make(map[poolKey]*serverPool), txs: make(map[uint64]*conn),
		failingSince: make(map[string]time.Time), unreachable: make(map[string]bool),
		admission: newAdmissionControl(o.Scope),
	}
}

// post runs an event in order with the executor's other events, and then the
// callbacks that the event queued, without holding mu.
func (e *Executor) post(event func()) {
	e.queue.PostUnbounded(func() {
		event()
		e.mu.Lock()
		callbacks := e.callbacks
		e.callbacks = nil
		e.mu.Unlock()
		for _, callback := range callbacks {
			pool.Protect(callback, e.logPanic)
		}
	})
}

// logPanic logs a run-time error in a callback, which belongs to one statement.
func (e *Executor) logPanic(err error, stack []byte) {
	e.logger.WithError(err).WithField("stack", string(stack)).Error("backend: a result caused a run-time error.")
}

// handleMessage handles a message of a server on the connection. A run-time error closes
// the connection.
func (e *Executor) handleMessage(c *conn, handle func()) {
	pool.Protect(handle, func(err error, stack []byte) {
		e.logger.WithError(err).WithFields(log.Fields{"server": c.pool.key.server, "stack": string(stack)}).
			Error("backend: a message caused a run-time error, the connection is closed.")
		e.connectionBroken(c, err)
	})
}

// Execute runs a statement and calls done once, on a pool worker. origin
// identifies the link on which the statement arrived, or this VM.
func (e *Executor) Execute(origin string, w *statement.RemoteStatement, done func(statement.Result)) {
	j := &job{stmt: w, origin: origin, done: done, submittedAt: time.Now(), arrivedAt: clock.Now(), span: e.startSpan(w)}
	e.post(func() { e.submit(j) })
}

// AbortTx rolls back a transaction of origin that its session no longer uses. It
// does nothing if the transaction has ended.
func (e *Executor) AbortTx(origin string, tx uint64) {
	e.post(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c := e.txs[tx]; c != nil && c.origin == origin {
			e.abortTx(c)
		}
	})
}

// AbortLink rolls back all transactions that were opened over the link origin,
// which has closed.
func (e *Executor) AbortLink(origin string) {
	e.post(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.txs {
			if c.origin == origin {
				e.abortTx(c)
			}
		}
	})
}

func (e *Executor) pool(key poolKey, group string) *serverPool {
	p := e.pools[key]
	if p == nil {
		p = &serverPool{key: key, group: group, budget: e.budget(key.server)}
		e.pools[key] = p
		p.budget.pools = append(p.budget.pools, p)
	}
	return p
}

// findIdle returns an idle connection or nil. It prefers one with the same session
// variables, then one without any.
func (p *serverPool) findIdle(values []statement.Value) *conn {
	var best *conn
	for _, c := range p.conns {
		if c.state != connIdle {
			continue
		}
		if slices.Equal(c.values, values) {
			return c
		}
		if best == nil || len(c.values) == 0 {
			best = c
		}
	}
	return best
}

// connected makes a newly opened connection available to jobs.
func (e *Executor) connected(c *conn, out *outbox.Outbox) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		out.CloseNow()
		return
	}
	c.out = out
	c.pool.failedAt = time.Time{}
	delete(e.failingSince, c.pool.key.server)
	e.setReachable(c.pool.key.server, true)
	e.serveNext(c)
}

// connectFailed removes a connection that could not be opened, and refuses the
// waiting jobs if the pool has no other connection.
func (e *Executor) connectFailed(c *conn, answer statement.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := c.pool
	server := p.key.server
	e.removeConn(c)
	p.failedAt = time.Now()
	e.logger.WithFields(log.Fields{"server": server, "customer": p.key.customer, "code": answer.Code.String(), "why": answer.Text}).
		Warn("backend: connection not opened.")
	if answer.Code == statement.Unreachable || answer.Code == statement.Down {
		if e.failingSince[server].IsZero() {
			e.failingSince[server] = time.Now()
		}
		if time.Since(e.failingSince[server]) >= unreachableAfter {
			e.setReachable(server, false)
		}
	}
	defer e.balance(p.budget)
	if len(p.conns) > 0 {
		return
	}
	for j := p.next(); j != nil; j = p.next() {
		e.finish(j, statement.Refusal(answer.Code, answer.Text))
	}
}

// release assigns the next waiting job to the connection or marks it idle, unless
// another customer needs the connection more. The caller holds mu.
func (e *Executor) release(c *conn) {
	e.endUse(c)
	c.state, c.idleSince = connIdle, time.Now()
	if e.yield(c) {
		return
	}
	e.serveNext(c)
}

// connectionBroken handles a read error. A job whose statement was sent ends with
// Lost, because the statement may have run.
func (e *Executor) connectionBroken(c *conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		return
	}
	if c.state != connIdle {
		e.logger.WithError(err).WithField("server", c.pool.key.server).Warn("backend: connection broke.")
	}
	code := statement.Unreachable
	if c.job != nil && c.job.sent {
		code = statement.Lost
	}
	e.closeConn(c, code, "the connection broke")
}

// closeConn closes the connection and ends its job with the code. The caller
// holds mu.
func (e *Executor) closeConn(c *conn, code statement.Code, reason string) {
	j := c.job
	c.job = nil
	if c.tx != 0 {
		e.clearTx(c)
	}
	e.removeConn(c)
	if j != nil {
		e.finish(j, statement.Refusal(code, reason))
	}
}

// removeConn closes the connection and removes it from its pool. If it had been
// connected, jobs that wait may open another one. The caller holds mu.
func (e *Executor) removeConn(c *conn) {
	e.endUse(c)
	c.state = connClosed
	if c.out != nil {
		c.out.CloseNow()
	}
	p := c.pool
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == c })
	if c.out != nil {
		e.balance(p.budget)
	}
}
