// Package pgserver accepts clients that speak the PostgreSQL wire protocol. One
// reader goroutine per client splits the input into requests and passes them to
// the client's session, which makes all decisions.
package pgserver

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

const (
	// loginTimeout limits the time from accepting a connection to the receipt of
	// the client's key.
	loginTimeout = 10 * time.Second
	// flushTimeout limits the time for writing the remaining output when a
	// connection ends.
	flushTimeout = 2 * time.Second
	// lingerTimeout limits how long the server waits for the client to close the
	// connection after it was sent the reason for the end of its session.
	lingerTimeout = 2 * time.Second
	// outputHighWaterBytes is the number of bytes queued for a client above which
	// responses are no longer read from the backend server.
	outputHighWaterBytes = 1 << 20
)

// Login holds the credentials and start-up parameters of a client.
type Login struct {
	Customer   string            // user name of the start-up message
	Route      string            // database name; the user name if there is none
	Key        string            // the customer's key; must not be logged
	Parameters map[string]string // all start-up parameters
}

// Session receives the requests of one client. Its methods are called by the
// client's reader goroutine.
type Session interface {
	// Request starts the next request. It blocks while the previous one runs, and
	// returns false if the session has ended.
	Request(b *pgwire.Batch) bool
	// Disconnected ends the session after the client has closed the connection, the
	// connection has failed, or Client.StopReading has taken effect.
	Disconnected()
}

// Sessions opens sessions and routes cancel requests to them.
type Sessions interface {
	// Login opens a session that writes its output to c. If the login is refused,
	// the session is nil and the outcome holds the reason.
	Login(c *Client, l Login) (Session, *session.Outcome)
	// Cancel handles a cancel request with the process ID and the secret that the
	// session sent to its client. An unknown ID or a wrong secret has no effect.
	Cancel(processID, secret uint32)
}

// Client is the output side of a client connection. Its methods can be called by
// several goroutines; all but Wait return without blocking.
type Client struct {
	out *outbox.Outbox
}

// Write queues encoded messages. The caller must not change b afterwards.
func (c *Client) Write(b []byte) { c.out.Enqueue(b) }

// Send encodes and queues messages. It panics if a message cannot be encoded.
func (c *Client) Send(messages ...pgproto3.BackendMessage) {
	var raw []byte
	for _, m := range messages {
		var err error
		raw, err = m.Encode(raw)
		if err != nil {
			panic("encode message to the client: " + err.Error())
		}
	}
	c.out.Enqueue(raw)
}

// Wait blocks until at most outputHighWaterBytes are queued. It returns false if
// the connection has failed. Workers of the pool must not call it.
func (c *Client) Wait() bool { return c.out.WaitForSpace() }

// Full reports whether more than outputHighWaterBytes are queued, because the
// client reads too slowly.
func (c *Client) Full() bool { return c.out.Full() }

// Finish closes the connection after all queued output is written. A request that
// the client sends at the same time is read and discarded: if the connection was
// closed immediately, the client would see a network error instead of the reason.
func (c *Client) Finish() { c.out.StopWrites(lingerTimeout) }

// StopReading ends the reading of requests. Those that have been received completely are
// still passed to the session, which is then ended by Session.Disconnected.
func (c *Client) StopReading() { c.out.StopReads() }

// Abort closes the connection immediately and drops queued output.
func (c *Client) Abort() { c.out.CloseNow() }

// Server accepts client connections. Set the exported fields before calling Run.
type Server struct {
	Listener net.Listener
	TLS      *tls.Config // if nil, TLS requests are declined
	Sessions Sessions
	Logger   log.Interface

	mu          sync.Mutex           // guards conns; no other lock is taken under it
	conns       map[net.Conn]*Client // nil until the start-up phase is complete
	connReaders sync.WaitGroup
}

// Run accepts clients until ctx is done. It then flushes and closes the remaining
// connections and waits for their reader goroutines.
func (s *Server) Run(ctx context.Context) error {
	s.conns = make(map[net.Conn]*Client)
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	defer s.connReaders.Wait()
	defer s.closeAll()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept clients")
		}
		s.track(conn)
		s.connReaders.Go(func() {
			defer s.untrack(conn)
			s.serve(conn)
		})
	}
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = nil
}

// setClient records the client of a connection that has completed the start-up
// phase.
func (s *Server) setClient(conn net.Conn, c *Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = c
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// closeAll flushes and closes all connections. Responses can still be queued,
// because shutdown waits for sessions to end but not for their clients to read.
func (s *Server) closeAll() {
	for conn, client := range s.openConns() {
		if client == nil {
			conn.Close()
			continue
		}
		startFlush(conn, client)
	}
}

func (s *Server) openConns() map[net.Conn]*Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.conns)
}

// serve runs on the reader goroutine of a connection until the connection ends.
func (s *Server) serve(raw net.Conn) {
	if err := raw.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return
	}
	conn, backend, startup, err := s.receiveStartup(raw)
	if err != nil {
		s.Logger.WithError(err).Debug("session: failed to read the start-up message")
		return
	}
	if startup == nil {
		return // the client sent a cancel request
	}
	login, err := readLogin(backend, startup)
	if err != nil {
		s.Logger.WithError(err).Debug("session: failed to read the login")
		return
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return
	}
	client := &Client{out: outbox.New(conn, outputHighWaterBytes)}
	s.setClient(raw, client)
	defer closeAfterFlush(raw, client)
	sess, refused := s.Sessions.Login(client, login)
	if refused != nil {
		client.Send(pgwire.ErrorResponseFor(*refused, true))
		client.Finish()
		discardInput(backend)
		return
	}
	readRequests(backend, client, sess)
	sess.Disconnected()
	if client.out.AllowReads(lingerTimeout) {
		// StopReading ended the session. The client gets the time to read the reason, as
		// after Finish.
		discardInput(backend)
	}
}

// discardInput reads and drops messages until the client closes the connection or
// the read deadline expires.
func discardInput(backend *pgproto3.Backend) {
	for {
		if _, err := backend.Receive(); err != nil {
			return
		}
	}
}

// closeAfterFlush writes the queued output, such as the reason for the end of the
// session, closes the connection and waits until it is closed.
func closeAfterFlush(conn net.Conn, c *Client) {
	if startFlush(conn, c) {
		c.out.WaitClosed()
	}
}

// startFlush makes the connection close as soon as its queued output is written.
// It returns false if the connection is already closed.
func startFlush(conn net.Conn, c *Client) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(flushTimeout)); err != nil {
		return false
	}
	c.out.CloseAfterFlush()
	return true
}

// receiveStartup handles the first messages of a client: encryption requests, a
// cancel request or the start-up message. Input that was received after the
// start-up message stays buffered in the returned backend. The returned message
// is nil after a cancel request.
func (s *Server) receiveStartup(conn net.Conn) (net.Conn, *pgproto3.Backend, *pgproto3.StartupMessage, error) {
	backend := newBackend(conn)
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "receive start-up message")
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return conn, backend, m, nil
		case *pgproto3.CancelRequest:
			s.Sessions.Cancel(m.ProcessID, pgwire.CancelSecret(m.SecretKey))
			return conn, nil, nil, nil
		case *pgproto3.SSLRequest:
			if s.TLS == nil {
				_, err = conn.Write([]byte{'N'})
				break
			}
			if conn, err = s.startTLS(conn); err == nil {
				// Drops plain-text input that was sent after the TLS request, which an
				// attacker could have injected.
				backend = newBackend(conn)
			}
		default:
			_, err = conn.Write([]byte{'N'})
		}
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "answer encryption request")
		}
	}
}

func newBackend(conn net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(conn, conn)
	b.SetMaxBodyLen(pgwire.MaxBatchBytes)
	return b
}

func (s *Server) startTLS(conn net.Conn) (net.Conn, error) {
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return nil, err
	}
	t := tls.Server(conn, s.TLS)
	return t, t.Handshake()
}

// readLogin requests the customer's key as a clear-text password. Every client is
// asked, including those of open routes. The route is the database name, or the
// user name if no database is given.
func readLogin(backend *pgproto3.Backend, m *pgproto3.StartupMessage) (Login, error) {
	l := Login{Customer: m.Parameters["user"], Route: m.Parameters["database"], Parameters: m.Parameters}
	if l.Route == "" {
		l.Route = l.Customer
	}
	backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := backend.Flush(); err != nil {
		return l, err
	}
	if err := backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return l, err
	}
	msg, err := backend.Receive()
	if err != nil {
		return l, err
	}
	p, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return l, eris.Errorf("received message %T instead of a password", msg)
	}
	l.Key = p.Password
	return l, nil
}

// readRequests passes the client's requests to the session until the client
// disconnects or the session ends.
func readRequests(backend *pgproto3.Backend, c *Client, sess Session) {
	var framer pgwire.Framer
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		copied, size, err := pgwire.CloneMessage(msg)
		if err != nil {
			return
		}
		batch, err := framer.Add(copied, size)
		if err != nil {
			c.Send(pgwire.ErrorResponseFor(session.Outcome{Kind: session.NotRun, Reason: session.StatementTooLarge, Detail: err.Error()}, true))
			c.Finish()
			discardInput(backend)
			return
		}
		if batch != nil && !sess.Request(batch) {
			discardInput(backend)
			return
		}
	}
}
