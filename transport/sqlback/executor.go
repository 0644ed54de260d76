// Package sqlback runs statements on backend servers.
//
// An Executor holds the connections of the customers for which its VM was
// chosen, and runs the statements that VMs pass on to it. A connection serves
// one customer only, and brings session values and prepared names in line
// before each statement.
package sqlback

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

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
	Chosen  func(customer string, s *catalog.Server) bool
	Reached func(unreachable []string)
}

// New returns an executor. Run looks after its connections.
func New(o Options) *Executor {
	return &Executor{
		net: o.Network, dialect: o.Dialect, queue: o.Pool.NewQueue(queueLimit), table: o.Table, logger: o.Logger,
		opened: o.Scope.Counter("server_connections_opened"), chosen: o.Chosen, reached: o.Reached,
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
	j := &job{work: w, from: from, done: done}
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
	c.state = connBusy
	e.send(c, stepRollback, statement.Command{Verb: statement.Rollback})
}

func (e *Executor) forgetTx(c *conn) {
	delete(e.txs, c.tx)
	c.tx, c.from = 0, ""
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
	if starting > len(p.waiting) || len(p.conns) >= e.plan(p.key.customer, server).Limit {
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

// assign starts the job on the connection.
func (e *Executor) assign(c *conn, j *job) {
	c.job, j.conn = j, c
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
	if answer.Code == statement.Unreachable {
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

// setReachable tells the other VMs of a change.
func (e *Executor) setReachable(server string, reachable bool) {
	if e.unreachable[server] == !reachable {
		return
	}
	if reachable {
		delete(e.unreachable, server)
	} else {
		e.unreachable[server] = true
	}
	e.logger.WithFields(log.Fields{"server": server, "reachable": reachable}).Info("backend: reachability changed.")
	var all []string
	for id := range e.unreachable {
		all = append(all, id)
	}
	slices.Sort(all)
	go e.reached(all)
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

func (e *Executor) finish(j *job, a statement.Answer) { e.finishResult(j, statement.Result{Answer: a}) }

func (e *Executor) finishResult(j *job, r statement.Result) {
	if j.finished {
		return
	}
	j.finished = true
	e.running--
	j.timer.Stop()
	e.effects = append(e.effects, func() { j.done(r) })
}

// Run looks after idle connections and unreachable servers until ctx is done.
func (e *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.closeAll()
			return nil
		case <-ticker.C:
			e.post(e.sweep)
			if probed := time.Now(); probed.Sub(e.probedAt) >= probeInterval {
				e.probedAt = probed
				e.probe(ctx)
			}
		}
	}
}

// closeAll closes all connections when the VM stops.
func (e *Executor) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		for _, c := range p.conns {
			c.state = connClosed
			if c.out != nil {
				c.out.Abort()
			}
		}
	}
}

// sweep closes connections that are not needed here: those of servers that take
// no work, of customers served by another VM, and those idle for long.
func (e *Executor) sweep() {
	d := e.table.Current()
	e.mu.Lock()
	e.endAbandoned(d)
	var idle []*conn
	for key, p := range e.pools {
		if len(p.conns) == 0 && len(p.waiting) == 0 {
			delete(e.pools, key)
		}
		for _, c := range p.conns {
			if c.state == connIdle {
				idle = append(idle, c)
			}
		}
	}
	e.mu.Unlock()
	for _, c := range idle {
		server := d.Servers[c.pool.key.server]
		usable := server != nil && d.Usable(server)
		keep := spareIdle
		if usable && !e.plan(c.pool.key.customer, server).Permanent {
			keep = transientIdle
		}
		chosen := usable && e.chosen(c.pool.key.customer, server)
		e.mu.Lock()
		rest := time.Since(c.idleSince)
		if c.state == connIdle && (!usable || !chosen && rest > movedIdle || rest > keep) {
			e.close(c, statement.Unreachable, "not needed")
		}
		e.mu.Unlock()
	}
}

// endAbandoned ends transactions that rest for longer than VMs let their clients
// rest: the VM that opened one may have gone before it had the answer.
func (e *Executor) endAbandoned(d *catalog.Deployment) {
	if d.Config == nil || d.Config.TxIdle <= 0 {
		return
	}
	for _, c := range e.txs {
		if c.state == connResting && time.Since(c.idleSince) > d.Config.TxIdle+abandonedSlack {
			e.logger.WithField("server", c.pool.key.server).Warn("backend: abandoned transaction ended.")
			e.rollback(c)
		}
	}
}

// probe tries the servers that could not be reached. A connection without an
// opening costs the server no slot.
func (e *Executor) probe(ctx context.Context) {
	d := e.table.Current()
	e.mu.Lock()
	var gone, try []string
	for id := range e.unreachable {
		if d.Servers[id] == nil {
			gone = append(gone, id)
		} else {
			try = append(try, id)
		}
	}
	for _, id := range gone {
		delete(e.failing, id)
		e.setReachable(id, true)
	}
	e.mu.Unlock()
	for _, id := range try {
		go func() {
			dialCtx, cancel := context.WithTimeout(ctx, probeInterval)
			defer cancel()
			nc, err := e.net.Dial(dialCtx, d.Servers[id].Address)
			if err != nil {
				return
			}
			nc.Close()
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.failing, id)
			e.setReachable(id, true)
		}()
	}
}

// Open returns the number of statements under way and of open transactions.
func (e *Executor) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.txs)
}
