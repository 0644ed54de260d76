package pgbackend

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// expireInterval is how often waiting requests are checked for their deadline
// and connecting is retried.
const expireInterval = 20 * time.Millisecond

// Waiters takes the answers to Acquire. Its methods must not block.
type Waiters interface {
	Granted(id state.WaiterID, server string, conn state.ConnID)
	NotGranted(id state.WaiterID, reason queueing.Reason)
}

// Options are the parts that Backends works with.
type Options struct {
	Tables      *state.Tables
	Network     network.Network
	Credentials Credentials
	Waiters     Waiters
	Queueing    queueing.Options
	// Limit returns the number of connections that this VM may have open to the
	// server now.
	Limit func(server *state.BackendServer) int
	// Wanted is told how many connections to a server this VM has a use for.
	Wanted func(server string, conns int)
	// Failed is told of a server that cannot be reached.
	Failed func(server string)
	Logger log.Interface
	Scope  tally.Scope
}

// Backends are the connections of this VM to all backend servers.
type Backends struct {
	Options

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex // guards conns; no other lock is taken under it
	conns map[state.ConnID]*Conn
}

// New returns Backends without connections.
func New(o Options) *Backends {
	ctx, cancel := context.WithCancel(context.Background())
	return &Backends{Options: o, ctx: ctx, cancel: cancel, conns: make(map[state.ConnID]*Conn)}
}

// Run keeps limits up to date and expires waiting requests until ctx is done.
// Then it closes all connections.
func (b *Backends) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.close()
			return nil
		case <-ticker.C:
			b.tick(time.Now())
		}
	}
}

func (b *Backends) close() {
	b.cancel()
	b.mu.Lock()
	for _, c := range b.conns {
		c.discard()
	}
	b.mu.Unlock()
	b.tasks.Wait()
}

// tick looks at the servers that this VM has connections or requests for.
func (b *Backends) tick(now time.Time) {
	cfg := b.Tables.Config.Current()
	if cfg == nil {
		return
	}
	for _, name := range b.Tables.Backends.Servers() {
		if server, _ := findServer(cfg, name); server != nil {
			b.refresh(server, now)
		}
	}
}

// Lower applies a reduced connection limit of a server at once.
func (b *Backends) Lower(server string) {
	if cfg := b.Tables.Config.Current(); cfg != nil {
		if s, _ := findServer(cfg, server); s != nil {
			b.refresh(s, time.Now())
		}
	}
}

func (b *Backends) refresh(server *state.BackendServer, now time.Time) {
	limit := b.Limit(server)
	var effects []queueing.Effect
	wanted := 0
	b.Tables.Backends.With(server.Name, func(s *state.ServerConns) {
		if s.Limit != limit {
			effects = queueing.SetLimit(s, limit, now)
		}
		effects = append(effects, queueing.Expire(s, now)...)
		wanted = s.Wanted()
	})
	b.run(server.Name, effects)
	b.Wanted(server.Name, wanted)
}

// Acquire asks for a connection. The answer goes to Waiters.
func (b *Backends) Acquire(server *state.BackendServer, w state.ConnWaiter, now time.Time) {
	limit := b.Limit(server)
	var effects []queueing.Effect
	wanted := 0
	b.Tables.Backends.With(server.Name, func(s *state.ServerConns) {
		s.Limit = limit
		effects = queueing.Acquire(s, w, now, b.Queueing)
		wanted = s.Wanted()
	})
	b.run(server.Name, effects)
	if wanted > limit {
		b.Wanted(server.Name, wanted)
	}
}

// Withdraw takes back an Acquire.
func (b *Backends) Withdraw(server string, id state.WaiterID) {
	b.Tables.Backends.With(server, func(s *state.ServerConns) { queueing.Withdraw(s, id) })
}

// Release returns a connection that is ready for another request.
func (b *Backends) Release(server string, conn state.ConnID, now time.Time) {
	c := b.lookup(conn)
	if c == nil {
		return
	}
	if !c.release() {
		return // its reader forgets it
	}
	var effects []queueing.Effect
	b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.Release(s, conn, now) })
	b.run(server, effects)
}

// Discard closes a connection.
func (b *Backends) Discard(conn state.ConnID) {
	if c := b.lookup(conn); c != nil {
		c.discard()
	}
}

// Send prepares the connection for the session and sends the request. It
// reports false if the connection has failed before a byte was sent.
func (b *Backends) Send(conn state.ConnID, s Sink, request uint64, batch *pgwire.Batch, prepare func(c *pgwire.Connection) pgwire.Prepared) bool {
	c := b.lookup(conn)
	return c != nil && c.send(s, request, batch, prepare(&c.wire))
}

// Wire calls f with the protocol state of a connection that the caller holds.
func (b *Backends) Wire(conn state.ConnID, f func(c *pgwire.Connection)) {
	if c := b.lookup(conn); c != nil {
		f(&c.wire)
	}
}

// Cancel asks the backend server to cancel what runs on the connection.
func (b *Backends) Cancel(conn state.ConnID) {
	c := b.lookup(conn)
	if c == nil {
		return
	}
	b.tasks.Go(func() {
		if err := c.cancel(b.ctx); err != nil {
			b.Logger.WithError(err).Warn("backend: cancel failed.")
		}
	})
}

// Warm opens connections to the server ahead of their use.
func (b *Backends) Warm(server *state.BackendServer, conns int, now time.Time) {
	limit := b.Limit(server)
	var effects []queueing.Effect
	b.Tables.Backends.With(server.Name, func(s *state.ServerConns) {
		s.Limit = limit
		effects = queueing.Warm(s, conns, now)
	})
	b.run(server.Name, effects)
}

func (b *Backends) lookup(conn state.ConnID) *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns[conn]
}

func (b *Backends) run(server string, effects []queueing.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queueing.Grant:
			b.Waiters.Granted(e.Waiter, server, e.Conn)
		case queueing.Refuse:
			b.Waiters.NotGranted(e.Waiter, e.Reason)
		case queueing.Open:
			b.tasks.Go(func() { b.open(e.Server) })
		case queueing.Close:
			b.Discard(e.Conn)
		}
	}
}

// open opens a connection and reads from it until it fails.
func (b *Backends) open(server string) {
	c, err := b.connect(server)
	now := time.Now()
	if err != nil {
		if b.ctx.Err() != nil {
			return
		}
		b.Logger.WithError(err).WithField("server", server).Warn("backend: connect failed.")
		b.Scope.Tagged(map[string]string{"server": server}).Counter("backend_connect_failures").Inc(1)
		var effects []queueing.Effect
		b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.OpenFailed(s, now) })
		b.run(server, effects)
		b.Failed(server)
		return
	}
	if !b.add(c) {
		c.discard()
		return
	}
	var effects []queueing.Effect
	b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.Opened(s, c.ID, now) })
	b.run(server, effects)
	sink, request := c.read()
	b.forget(c)
	if sink != nil {
		sink.Lost(c.ID, request)
	}
}

func (b *Backends) connect(server string) (*Conn, error) {
	id := b.Tables.Backends.NewID()
	cfg := b.Tables.Config.Current()
	s, group := findServer(cfg, server)
	if s == nil {
		return nil, eris.Errorf("backend server %s is not in the configuration", server)
	}
	credentials := b.Credentials
	if credentials.Database == "" {
		credentials.Database = group.Name
	}
	return connect(b.ctx, b.Network, s, credentials, id)
}

func (b *Backends) add(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return false
	}
	b.conns[c.ID] = c
	return true
}

func (b *Backends) forget(c *Conn) {
	b.mu.Lock()
	delete(b.conns, c.ID)
	b.mu.Unlock()
	var effects []queueing.Effect
	b.Tables.Backends.With(c.Server, func(s *state.ServerConns) { effects = queueing.Closed(s, c.ID, time.Now()) })
	b.run(c.Server, effects)
}

func findServer(cfg *state.Config, name string) (*state.BackendServer, *state.Group) {
	for _, g := range cfg.Groups {
		if s := g.Server(name); s != nil {
			return s, g
		}
	}
	return nil, nil
}
