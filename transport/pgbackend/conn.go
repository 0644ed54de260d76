// Package pgbackend opens, pools and drives connections to backend servers. It
// carries out the decisions of package queueing.
package pgbackend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

// connectTimeout bounds the opening of a connection, and the sending of a
// cancel request.
const connectTimeout = 5 * time.Second

// Sink takes the answer to a request. Its methods may block, which stops the
// connection from being read.
type Sink interface {
	// Part takes a part of the answer.
	Part(conn state.ConnID, request uint64, p pgwire.Part)
	// Ended takes the end of the answer. prepared is the number of Parse
	// messages that succeeded.
	Ended(conn state.ConnID, request uint64, end session.End, prepared int)
	// Lost tells that the connection has failed while the sink held it.
	Lost(conn state.ConnID, request uint64)
}

// exchange is a request on a connection and where its answer goes.
type exchange struct {
	sink    Sink
	request uint64
	batch   *pgwire.Batch
	answer  *pgwire.Answer
}

// Conn is a connection to a backend server.
type Conn struct {
	ID     state.ConnID
	Server string

	pid       uint32
	secret    []byte
	conn      net.Conn
	out       *outbox.Outbox
	frontend  *pgproto3.Frontend
	network   network.Network
	address   string
	wire      pgwire.Connection // used only by the worker that holds the connection
	mu        sync.Mutex        // guards the fields below; only the outbox's lock is taken under it
	current   *exchange
	holder    Sink // who is told of a failure while nothing is executed; nil if pooled
	holderReq uint64
	closed    bool
}

// Credentials are the proxy's own towards backend servers.
type Credentials struct {
	User     string
	Password string
	Database string
}

func connect(ctx context.Context, nw network.Network, server *state.BackendServer, c Credentials, id state.ConnID) (*Conn, error) {
	host, port, err := net.SplitHostPort(server.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "address of backend server %s", server.Name)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, eris.Wrapf(err, "connection to backend server %s", server.Name)
	}
	cfg.User, cfg.Password, cfg.Database = c.User, c.Password, c.Database
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{"application_name": "chestnutdyke"}
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) { return nw.Dial(ctx, server.Address) }
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to backend server %s", server.Name)
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, eris.Wrapf(err, "connect to backend server %s", server.Name)
	}
	return &Conn{
		ID:       id,
		Server:   server.Name,
		pid:      h.PID,
		secret:   h.SecretKey,
		conn:     h.Conn,
		out:      outbox.New(h.Conn, pgwire.MaxBatchBytes),
		frontend: h.Frontend,
		network:  nw,
		address:  server.Address,
	}, nil
}

// release ends the hold on the connection. It reports false if the connection
// has failed.
func (c *Conn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = nil
	return !c.closed
}

// send sends a request with the preparation that the protocol layer put in
// front of it. It reports false if the connection has failed already; then no
// byte was sent and the sink is not told of the failure.
func (c *Conn) send(s Sink, request uint64, b *pgwire.Batch, p pgwire.Prepared) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.holder, c.holderReq = s, request
	c.current = &exchange{sink: s, request: request, batch: b, answer: pgwire.NewAnswer(p.Preparations)}
	c.out.Write(p.Bytes)
	return true
}

// read takes messages until the connection fails, and returns the holder to be
// told of it.
func (c *Conn) read() (Sink, uint64) {
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return c.fail()
		}
		x := c.executing()
		if x == nil {
			if unsolicited(msg) {
				continue
			}
			return c.fail()
		}
		if !c.take(x, msg) {
			return c.fail()
		}
	}
}

// take passes a message on. It reports false if the connection cannot be used
// any more.
func (c *Conn) take(x *exchange, msg pgproto3.BackendMessage) bool {
	step := x.answer.Add(msg, c.frontend.ReadBufferLen() > 0)
	for _, p := range step.Parts {
		x.sink.Part(c.ID, x.request, p)
	}
	if step.Fault != "" {
		return false
	}
	if !step.Ended {
		return true
	}
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	if x.answer.Tainted() {
		c.wire.Changed()
	}
	c.wire.Failed(x.batch, x.answer.Prepared())
	x.sink.Ended(c.ID, x.request, x.answer.End(), x.answer.Prepared())
	return true
}

func (c *Conn) executing() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// fail closes the connection and returns its holder, once.
func (c *Conn) fail() (Sink, uint64) {
	c.out.Abort()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	s, r := c.holder, c.holderReq
	c.holder, c.current = nil, nil
	return s, r
}

// discard closes the connection; its holder does not want to hear of it.
func (c *Conn) discard() {
	c.mu.Lock()
	c.holder = nil
	c.mu.Unlock()
	c.out.Abort()
}

// cancel asks the backend server to cancel what runs on the connection.
func (c *Conn) cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	conn, err := c.network.Dial(ctx, c.address)
	if err != nil {
		return eris.Wrapf(err, "cancel on backend server %s", c.Server)
	}
	defer conn.Close()
	raw, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return eris.Wrap(err, "cancel request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return eris.Wrap(err, "cancel request")
		}
	}
	if _, err := conn.Write(raw); err != nil {
		return eris.Wrapf(err, "cancel on backend server %s", c.Server)
	}
	var end [1]byte
	_, _ = conn.Read(end[:]) // the server closes the connection once it took the request
	return nil
}

func unsolicited(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return true
	}
	return false
}
