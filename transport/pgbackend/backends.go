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

// refreshInterval is the interval at which connection limits are updated, waiting
// requests past their deadline are refused, and failed connection attempts are
// retried.
const refreshInterval = 20 * time.Millisecond

// Waiters receives the results of Acquire. The methods must not block.
type Waiters interface {
	// Granted is called when the request holds the connection.
	Granted(id state.WaiterID, server string, conn state.ConnID)
	// NotGranted is called when the request is refused.
	NotGranted(id state.WaiterID, reason queueing.Reason)
}

// Options are the dependencies and settings of Backends. The zero value of Queueing
// selects the defaults; all other fields are required.
type Options struct {
	Tables      *state.Tables
	Network     network.Network
	Credentials Credentials
	Waiters     Waiters
	Queueing    queueing.Options
	// Limit returns the maximum number of connections that this VM may currently
	// have open to the server.
	Limit func(server *state.BackendServer) int
	// OnDemand is called with the number of connections to a server that this VM
	// could use.
	OnDemand func(server string, conns int)
	// OnConnectFailure is called after a connection attempt to the server has failed.
	OnConnectFailure func(server string)
	Logger           log.Interface
	Scope            tally.Scope
}

// Backends manages this VM's connections to all backend servers.
type Backends struct {
	Options

	ctx        context.Context // done after Run; ends connection attempts
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // readers, connection attempts and cancel requests

	mu    sync.Mutex             // guards conns; no other lock is taken under it
	conns map[state.ConnID]*Conn // open connections, pooled or held
}

// New returns Backends without connections. Run must be called to enforce limits
// and deadlines and to close the connections.
func New(o Options) *Backends {
	ctx, cancel := context.WithCancel(context.Background())
	return &Backends{Options: o, ctx: ctx, cancel: cancel, conns: make(map[state.ConnID]*Conn)}
}

// Run updates limits and expires waiting requests until ctx is done. It then
// closes all connections and waits for their goroutines. The error is always nil.
func (b *Backends) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.close()
			return nil
		case <-ticker.C:
			b.refreshAll(time.Now())
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
	b.goroutines.Wait()
}

// refreshAll refreshes the servers that this VM has connections to or waiting
// requests for.
func (b *Backends) refreshAll(now time.Time) {
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

// ApplyLimit applies a reduced connection limit of a server immediately instead
// of at the next refresh.
func (b *Backends) ApplyLimit(server string) {
	if cfg := b.Tables.Config.Current(); cfg != nil {
		if s, _ := findServer(cfg, server); s != nil {
			b.refresh(s, time.Now())
		}
	}
}

// refresh applies the server's current limit, expires its waiting requests and
// reports the number of wanted connections.
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
	b.execute(server.Name, effects)
	b.OnDemand(server.Name, wanted)
}

// Acquire requests a connection. The result is passed to Waiters.
func (b *Backends) Acquire(server *state.BackendServer, w state.ConnWaiter, now time.Time) {
	limit := b.Limit(server)
	var effects []queueing.Effect
	wanted := 0
	b.Tables.Backends.With(server.Name, func(s *state.ServerConns) {
		s.Limit = limit
		effects = queueing.Acquire(s, w, now, b.Queueing)
		wanted = s.Wanted()
	})
	b.execute(server.Name, effects)
	if wanted > limit {
		b.OnDemand(server.Name, wanted)
	}
}

// Withdraw removes a request for a connection that has not been granted yet.
func (b *Backends) Withdraw(server string, id state.WaiterID) {
	b.Tables.Backends.With(server, func(s *state.ServerConns) { queueing.RemoveWaiter(s, id) })
}

// Release returns a connection to the pool, or hands it to the next waiting
// request.
func (b *Backends) Release(server string, conn state.ConnID, now time.Time) {
	c := b.lookup(conn)
	if c == nil {
		return
	}
	if !c.release() {
		return // open removes it when its reader ends
	}
	var effects []queueing.Effect
	b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.Release(s, conn, now) })
	b.execute(server, effects)
}

// Discard closes a connection without notifying its holder.
func (b *Backends) Discard(conn state.ConnID) {
	if c := b.lookup(conn); c != nil {
		c.discard()
	}
}

// Send prepares the connection for the session and sends the request. The response
// goes to h, which holds the connection until Release or Discard. Send returns
// false if the connection failed before any byte was sent.
func (b *Backends) Send(conn state.ConnID, h ResponseHandler, request uint64, batch *pgwire.Batch, prepare func(c *pgwire.ConnectionState) pgwire.Prepared) bool {
	c := b.lookup(conn)
	return c != nil && c.send(h, request, batch, prepare(&c.protocolState))
}

// WithProtocolState calls f with the protocol state of a connection that the
// caller holds. It does nothing if the connection is closed.
func (b *Backends) WithProtocolState(conn state.ConnID, f func(c *pgwire.ConnectionState)) {
	if c := b.lookup(conn); c != nil {
		f(&c.protocolState)
	}
}

// Cancel asks the backend server to cancel the statement that runs on the
// connection. It does not wait for the server; failures are logged.
func (b *Backends) Cancel(conn state.ConnID) {
	c := b.lookup(conn)
	if c == nil {
		return
	}
	b.goroutines.Go(func() {
		if err := c.cancel(b.ctx); err != nil {
			b.Logger.WithError(err).Warn("backend: cancel request failed")
		}
	})
}

// Warm opens connections to the server before they are needed, up to the limit.
func (b *Backends) Warm(server *state.BackendServer, conns int, now time.Time) {
	limit := b.Limit(server)
	var effects []queueing.Effect
	b.Tables.Backends.With(server.Name, func(s *state.ServerConns) {
		s.Limit = limit
		effects = queueing.Prewarm(s, conns, now)
	})
	b.execute(server.Name, effects)
}

func (b *Backends) lookup(conn state.ConnID) *Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns[conn]
}

// execute carries out effects. No lock is held.
func (b *Backends) execute(server string, effects []queueing.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queueing.Grant:
			b.Waiters.Granted(e.Waiter, server, e.Conn)
		case queueing.Refuse:
			b.Waiters.NotGranted(e.Waiter, e.Reason)
		case queueing.Open:
			b.goroutines.Go(func() { b.open(e.Server) })
		case queueing.Close:
			b.Discard(e.Conn)
		}
	}
}

// open opens a connection, adds it to the pool and reads from it until it fails.
// It runs on its own goroutine.
func (b *Backends) open(server string) {
	c, err := b.connect(server)
	now := time.Now()
	if err != nil {
		if b.ctx.Err() != nil {
			return
		}
		b.Logger.WithError(err).WithField("server", server).Warn("backend: connection attempt failed")
		b.Scope.Tagged(map[string]string{"server": server}).Counter("backend_connect_failures").Inc(1)
		var effects []queueing.Effect
		b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.OpenFailed(s, now) })
		b.execute(server, effects)
		b.OnConnectFailure(server)
		return
	}
	if !b.add(c) {
		c.discard()
		return
	}
	var effects []queueing.Effect
	b.Tables.Backends.With(server, func(s *state.ServerConns) { effects = queueing.Opened(s, c.ID, now) })
	b.execute(server, effects)
	holder, request := c.read()
	b.remove(c)
	if holder != nil {
		holder.HandleConnLost(c.ID, request)
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

// add registers a connection. It returns false after Run has ended.
func (b *Backends) add(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return false
	}
	b.conns[c.ID] = c
	return true
}

func (b *Backends) remove(c *Conn) {
	b.mu.Lock()
	delete(b.conns, c.ID)
	b.mu.Unlock()
	var effects []queueing.Effect
	b.Tables.Backends.With(c.Server, func(s *state.ServerConns) { effects = queueing.Closed(s, c.ID, time.Now()) })
	b.execute(c.Server, effects)
}

func findServer(cfg *state.Config, name string) (*state.BackendServer, *state.Group) {
	for _, g := range cfg.Groups {
		if s := g.Server(name); s != nil {
			return s, g
		}
	}
	return nil, nil
}
