// Package sqlback runs statements on backend servers.
//
// An Executor holds the connections of the customers for which its VM was
// chosen, and runs the statements that VMs pass on to it. A connection serves
// one customer only, and brings session values and prepared names in line
// before each statement.
package sqlback

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// startTimeout bounds dialling a server and its answer to the opening, which
	// waits for a slot.
	startTimeout = 700 * time.Millisecond
	// ownTimeout bounds the answer to a command of the VM's own that no statement
	// waits for, such as the end of a transaction, which takes no slot.
	ownTimeout = 700 * time.Millisecond
	// jobsPerOpening is how many jobs wait for each opening that is under way. An
	// opening takes a slot for about as long as a statement, so more at once delay
	// the statements, and take the places of other customers after a restart.
	jobsPerOpening = 4
	// redialDelay is the least time between a failed opening and the next one.
	redialDelay = 200 * time.Millisecond
	// sweepInterval is how often idle connections are looked over.
	sweepInterval = 200 * time.Millisecond
	// movedIdle is how long a connection is kept when another VM was chosen.
	movedIdle = time.Second
	// spareIdle is how long a connection is kept that was not needed.
	spareIdle = 20 * time.Second
	// maxWaiting bounds the statements that wait for connections of one
	// customer to one server.
	maxWaiting = 64
	queueLimit = 1 << 14
	// abandonedSlack is added to the time for which clients may rest inside a
	// transaction.
	abandonedSlack = time.Second
	// transientIdle is how long customers without a connection of their own keep
	// one, see placement.PlanConnections.
	transientIdle = 150 * time.Millisecond
	// unreachableAfter is how long openings fail before the other VMs are told.
	unreachableAfter = 250 * time.Millisecond
	probeInterval    = 500 * time.Millisecond
)

// waitBuckets reach from a connection that is free to the longest wait for one.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 11)

type poolKey struct{ customer, server string }

// serverPool is a customer's connections to one server.
type serverPool struct {
	key      poolKey
	conns    []*conn
	waiting  []*job
	failedAt time.Time // latest failed opening; zero after a good one
}

// job is a statement that this VM runs.
type job struct {
	work     *statement.Work
	from     string
	done     func(statement.Result)
	span     trace.Span
	begin    time.Time
	timer    *time.Timer
	conn     *conn
	begun    state.Point // position at the beginning of its transaction
	offered  bool        // some bytes of the statement were sent
	finished bool
	aborted  bool // its client is gone: end the transaction
}

// Executor runs statements. Create it with New.
type Executor struct {
	net     network.Network
	dialect Dialect
	queue   *pool.Queue
	table   *catalog.Table
	logger  log.Interface
	opened  tally.Counter
	waited  tally.Histogram
	tracer  trace.Tracer
	// chosen reports whether this VM holds the customer's connections to the
	// server.
	chosen func(customer string, s *catalog.Server) bool
	// reached tells the other VMs which servers this VM cannot reach.
	reached func(unreachable []string)

	probedAt time.Time // used by Run only

	mu          lockrank.Mutex // guards the fields below
	pools       map[poolKey]*serverPool
	txs         map[uint64]*conn
	running     int // jobs without a result
	effects     []func()
	lastTx      uint64
	failing     map[string]time.Time // server to its first failed opening since a good one
	unreachable map[string]bool
}

// Options are the parts that an Executor uses.
type Options struct {
	Network network.Network
	Dialect Dialect
	Pool    *pool.Pool
	Table   *catalog.Table
	Logger  log.Interface
	Scope   tally.Scope
	Tracer  trace.Tracer
	Chosen  func(customer string, s *catalog.Server) bool
	Reached func(unreachable []string)
}

// New returns an executor. Run looks after its connections.
func New(o Options) *Executor {
	return &Executor{
		net: o.Network, dialect: o.Dialect, queue: o.Pool.NewQueue(queueLimit), table: o.Table, logger: o.Logger,
		opened: o.Scope.Counter("server_connections_opened"), waited: o.Scope.Histogram("connection_wait", waitBuckets),
		tracer: o.Tracer, chosen: o.Chosen, reached: o.Reached,
		mu: lockrank.New(lockrank.Backends), pools: make(map[poolKey]*serverPool), txs: make(map[uint64]*conn),
		failing: make(map[string]time.Time), unreachable: make(map[string]bool),
	}
}

// post runs an event in order with the executor's other events, and then the
// effects that it left, without the lock.
func (e *Executor) post(event func()) {
	e.queue.PostAlways(func() {
		event()
		e.mu.Lock()
		effects := e.effects
		e.effects = nil
		e.mu.Unlock()
		for _, effect := range effects {
			effect()
		}
	})
}

// Execute runs a statement for a VM and calls done once.
func (e *Executor) Execute(from string, w *statement.Work, done func(statement.Result)) {
	j := &job{work: w, from: from, done: done, begin: time.Now(), span: e.startSpan(w)}
	e.post(func() { e.submit(j) })
}

// Abort ends a transaction whose client is gone.
func (e *Executor) Abort(from string, tx uint64) {
	e.post(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c := e.txs[tx]; c != nil && c.from == from {
			e.abandon(c)
		}
	})
}

// AbortAll ends the transactions of a VM whose link broke.
func (e *Executor) AbortAll(from string) {
	e.post(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.txs {
			if c.from == from {
				e.abandon(c)
			}
		}
	})
}

func (e *Executor) pool(key poolKey) *serverPool {
	p := e.pools[key]
	if p == nil {
		p = &serverPool{key: key}
		e.pools[key] = p
	}
	return p
}

// idle returns an idle connection, one with the same values if there is one.
func (p *serverPool) idle(values []statement.Value) *conn {
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

// grow opens a connection if more are allowed and needed. It reports false if
// none may be opened now.
func (e *Executor) grow(p *serverPool, server *catalog.Server) bool {
	if time.Since(p.failedAt) < redialDelay {
		return false
	}
	starting := 0
	for _, c := range p.conns {
		if c.state == connStarting {
			starting++
		}
	}
	if starting > len(p.waiting)/jobsPerOpening || len(p.conns) >= e.plan(p.key.customer, server).Limit {
		return len(p.conns) > 0
	}
	c := &conn{pool: p, prepared: make(map[string]bool)}
	p.conns = append(p.conns, c)
	e.opened.Inc(1)
	go e.connect(c, server.Address, server.Group)
	return true
}

// plan returns what connections the customer may have to the server.
func (e *Executor) plan(customer string, server *catalog.Server) placement.Connections {
	config := e.table.Current().Config
	if config == nil {
		return placement.Connections{Limit: 1}
	}
	return placement.PlanConnections(config, customer, server.Group)
}

// started takes a new connection into use.
func (e *Executor) started(c *conn, out *outbox.Outbox) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		out.Abort()
		return
	}
	c.out = out
	c.pool.failedAt = time.Time{}
	delete(e.failing, c.pool.key.server)
	e.setReachable(c.pool.key.server, true)
	e.free(c)
}

// startFailed drops a connection that could not be opened and refuses the jobs
// that nothing else can run.
func (e *Executor) startFailed(c *conn, answer statement.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := c.pool
	server := p.key.server
	e.drop(c)
	p.failedAt = time.Now()
	e.logger.WithFields(log.Fields{"server": server, "customer": p.key.customer, "code": answer.Code.String(), "why": answer.Text}).
		Warn("backend: connection not opened.")
	if answer.Code == statement.Unreachable || answer.Code == statement.Down {
		if e.failing[server].IsZero() {
			e.failing[server] = time.Now()
		}
		if time.Since(e.failing[server]) >= unreachableAfter {
			e.setReachable(server, false)
		}
	}
	if len(p.conns) > 0 {
		return
	}
	for _, j := range p.waiting {
		e.finish(j, statement.Refusal(answer.Code, answer.Text))
	}
	p.waiting = nil
}

// free gives an idle connection the oldest waiting job.
func (e *Executor) free(c *conn) {
	c.state, c.idleSince = connIdle, time.Now()
	p := c.pool
	for len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !j.finished {
			e.assign(c, j)
			return
		}
	}
}

// broken ends a connection that failed.
func (e *Executor) broken(c *conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.state == connClosed {
		return
	}
	if c.state != connIdle {
		e.logger.WithError(err).WithField("server", c.pool.key.server).Warn("backend: connection broke.")
	}
	code := statement.Unreachable
	if c.job != nil && c.job.offered {
		code = statement.Lost
	}
	e.close(c, code, "the connection broke")
}

// close closes the connection and ends its job with the code.
func (e *Executor) close(c *conn, code statement.Code, why string) {
	j := c.job
	c.job = nil
	if c.tx != 0 {
		e.forgetTx(c)
	}
	e.drop(c)
	if j != nil {
		e.finish(j, statement.Refusal(code, why))
	}
}

// drop removes the connection from its pool and lets a waiting job open another.
func (e *Executor) drop(c *conn) {
	c.state = connClosed
	if c.out != nil {
		c.out.Abort()
	}
	p := c.pool
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == c })
	if len(p.waiting) > 0 && c.out != nil {
		if server := e.table.Current().Servers[p.key.server]; server != nil {
			e.grow(p, server)
		}
	}
}
