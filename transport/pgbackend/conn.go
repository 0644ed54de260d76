// Package pgbackend opens, pools and uses connections to backend servers. It
// executes the effects that package queueing decides on.
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

// connectTimeout limits the time for opening a connection, including
// authentication, and the time for sending a cancel request.
const connectTimeout = 5 * time.Second

// ResponseHandler receives the response to a request. The methods are called by the
// goroutine that reads the connection. While one of them blocks, the connection is
// not read, which applies back pressure to the backend server.
type ResponseHandler interface {
	// HandlePart receives the next part of the response.
	HandlePart(conn state.ConnID, request uint64, p pgwire.Part)
	// HandleEnd is called after the last part. prepared is the number of Parse
	// messages that succeeded.
	HandleEnd(conn state.ConnID, request uint64, end session.End, prepared int)
	// HandleConnLost is called if the connection fails while the handler holds it.
	HandleConnLost(conn state.ConnID, request uint64)
}

// pendingRequest is a request that was sent on a connection and whose response is
// incomplete.
type pendingRequest struct {
	handler  ResponseHandler
	request  uint64
	batch    *pgwire.Batch
	response *pgwire.Answer
}

// Conn is an authenticated connection to a backend server. At most one session
// holds it at a time.
type Conn struct {
	ID     state.ConnID
	Server string

	pid           uint32
	secret        []byte
	conn          net.Conn
	out           *outbox.Outbox
	frontend      *pgproto3.Frontend
	network       network.Network
	address       string
	protocolState pgwire.ConnectionState // used by the holder's worker, and by the reader until it has called HandleEnd

	mu            sync.Mutex      // guards the fields below; only the outbox's lock is taken under it
	current       *pendingRequest // nil between requests
	holder        ResponseHandler // notified if the connection fails, also between requests; nil if pooled
	holderRequest uint64
	closed        bool
}

// Credentials are the credentials with which the proxy logs in to backend servers.
type Credentials struct {
	User     string
	Password string
	Database string // if empty, the name of the server's group
}

func connect(ctx context.Context, nw network.Network, server *state.BackendServer, c Credentials, id state.ConnID) (*Conn, error) {
	host, port, err := net.SplitHostPort(server.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "parse address of backend server %s", server.Name)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, eris.Wrapf(err, "configure connection to backend server %s", server.Name)
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

// release clears the holder. It returns false if the connection has failed.
func (c *Conn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = nil
	return !c.closed
}

// send sends a request, preceded by the preparation of the connection, and makes h
// the holder. It returns false if the connection has already failed; in that case
// no byte was sent and h is not notified of the failure.
func (c *Conn) send(h ResponseHandler, request uint64, b *pgwire.Batch, p pgwire.Prepared) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.holder, c.holderRequest = h, request
	c.current = &pendingRequest{handler: h, request: request, batch: b, response: pgwire.NewAnswer(p.Preparations)}
	c.out.Enqueue(p.Bytes)
	return true
}

// read handles messages until the connection fails. It returns the holder, which
// the caller notifies of the failure, or nil.
func (c *Conn) read() (ResponseHandler, uint64) {
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return c.fail()
		}
		r := c.currentRequest()
		if r == nil {
			if isAsync(msg) {
				continue
			}
			return c.fail()
		}
		if !c.handleMessage(r, msg) {
			return c.fail()
		}
	}
}

// handleMessage passes a message of the response to the request's handler. It
// returns false if the connection must not be used any more.
func (c *Conn) handleMessage(r *pendingRequest, msg pgproto3.BackendMessage) bool {
	step := r.response.Add(msg, c.frontend.ReadBufferLen() > 0)
	for _, p := range step.Parts {
		r.handler.HandlePart(c.ID, r.request, p)
	}
	if step.CloseReason != "" {
		return false
	}
	if !step.Ended {
		return true
	}
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	if r.response.PreparationFailed() {
		c.protocolState.Invalidate()
	}
	c.protocolState.RecordParseFailures(r.batch, r.response.Prepared())
	r.handler.HandleEnd(c.ID, r.request, r.response.End(), r.response.Prepared())
	return true
}

func (c *Conn) currentRequest() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// fail closes the connection and returns its holder. Later calls return nil.
func (c *Conn) fail() (ResponseHandler, uint64) {
	c.out.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	h, request := c.holder, c.holderRequest
	c.holder, c.current = nil, nil
	return h, request
}

// discard closes the connection without notifying its holder.
func (c *Conn) discard() {
	c.mu.Lock()
	c.holder = nil
	c.mu.Unlock()
	c.out.CloseNow()
}

// cancel asks the backend server to cancel the statement that runs on the
// connection. It uses a separate connection, as the protocol requires.
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
		return eris.Wrap(err, "encode cancel request")
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return eris.Wrap(err, "set deadline of cancel request")
		}
	}
	if _, err := conn.Write(raw); err != nil {
		return eris.Wrapf(err, "cancel on backend server %s", c.Server)
	}
	var end [1]byte
	_, _ = conn.Read(end[:]) // the server closes the connection after it has read the request
	return nil
}

// isAsync reports whether a backend server may send the message at any time,
// without a request.
func isAsync(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return true
	}
	return false
}
