// Package pgserver accepts clients that speak the PostgreSQL wire protocol. A
// reader per client frames requests and hands them to the session; it decides
// nothing else.
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
	// loginTimeout bounds the time from accepting a client to its login.
	loginTimeout = 10 * time.Second
	// flushTimeout bounds the writing of what is left for a client at the end of
	// its connection.
	flushTimeout = 2 * time.Second
	// lingerTimeout is how long a client is left to close its connection after it
	// was told the reason for the end of its session.
	lingerTimeout = 2 * time.Second
	// outputHigh is the number of queued bytes for a client from which on answers
	// are not read from the backend server.
	outputHigh = 1 << 20
)

// Login is what a client presents when it connects.
type Login struct {
	Customer   string
	Route      string
	Key        string // never logged
	Parameters map[string]string
}

// Session is the client's session.
type Session interface {
	// Request takes the next request. It blocks while the previous one runs and
	// reports false if the session has ended.
	Request(b *pgwire.Batch) bool
	// Gone tells that the client left.
	Gone()
}

// Sessions opens sessions.
type Sessions interface {
	// Login opens a session for a client, or returns why it is refused. The
	// session writes to the client through c.
	Login(c *Client, l Login) (Session, *session.Outcome)
	// Cancel takes a cancel request.
	Cancel(processID, secret uint32)
}

// Client is a client's connection.
type Client struct {
	out *outbox.Outbox
}

// Write queues encoded messages.
func (c *Client) Write(b []byte) { c.out.Write(b) }

// Send queues messages.
func (c *Client) Send(messages ...pgproto3.BackendMessage) {
	var raw []byte
	for _, m := range messages {
		var err error
		raw, err = m.Encode(raw)
		if err != nil {
			panic("message of the proxy cannot be encoded: " + err.Error())
		}
	}
	c.out.Write(raw)
}

// Wait waits until the client has taken most of its output. It reports false if
// the connection has failed.
func (c *Client) Wait() bool { return c.out.Wait() }

// Full reports whether the client takes its output too slowly.
func (c *Client) Full() bool { return c.out.Full() }

// Finish ends the connection after everything queued is written. A request that
// the client sends at the same moment is read and dropped: if the connection was
// closed at once, the client would get an error of the network in place of the
// reason.
func (c *Client) Finish() { c.out.Seal(lingerTimeout) }

// Abort closes the connection at once.
func (c *Client) Abort() { c.out.Abort() }

// Server accepts clients.
type Server struct {
	Listener net.Listener
	TLS      *tls.Config // nil refuses TLS
	Sessions Sessions
	Logger   log.Interface

	mu      sync.Mutex           // guards conns; no other lock is taken under it
	conns   map[net.Conn]*Client // nil until the client has logged in
	readers sync.WaitGroup
}

// Run accepts clients until ctx is done. Then it closes the connections that are
// left once they have been sent what was queued for them.
func (s *Server) Run(ctx context.Context) error {
	s.conns = make(map[net.Conn]*Client)
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	defer s.readers.Wait()
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
		s.readers.Go(func() {
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

// loggedIn notes the client of a connection.
func (s *Server) loggedIn(conn net.Conn, c *Client) {
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

// closeAll ends all connections. Answers may be queued still: a stop waits for
// the sessions to end, but not for their clients to read.
func (s *Server) closeAll() {
	for conn, client := range s.open() {
		if client == nil {
			conn.Close()
			continue
		}
		flush(conn, client)
	}
}

func (s *Server) open() map[net.Conn]*Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.conns)
}

func (s *Server) serve(raw net.Conn) {
	if err := raw.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return
	}
	conn, backend, startup, err := s.startup(raw)
	if err != nil {
		s.Logger.WithError(err).Debug("session: client did not start.")
		return
	}
	if startup == nil {
		return // a cancel request
	}
	login, err := readLogin(backend, startup)
	if err != nil {
		s.Logger.WithError(err).Debug("session: client did not log in.")
		return
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return
	}
	client := &Client{out: outbox.New(conn, outputHigh)}
	s.loggedIn(raw, client)
	defer finish(raw, client)
	sess, refused := s.Sessions.Login(client, login)
	if refused != nil {
		client.Send(pgwire.Refuse(*refused, true))
		client.Finish()
		skip(backend)
		return
	}
	defer sess.Gone()
	read(backend, client, sess)
}

// skip reads until the client closes the connection or its time is over.
func skip(backend *pgproto3.Backend) {
	for {
		if _, err := backend.Receive(); err != nil {
			return
		}
	}
}

// finish closes the connection once the client has got what was queued for it,
// such as the reason for the end of its session.
func finish(conn net.Conn, c *Client) {
	if flush(conn, c) {
		c.out.WaitClosed()
	}
}

// flush lets the connection close once what is queued is written. It reports
// false if the connection is closed already.
func flush(conn net.Conn, c *Client) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(flushTimeout)); err != nil {
		return false
	}
	c.out.Finish()
	return true
}

// startup takes the first messages of a client: requests for encryption, a
// cancel request, or the start-up message. What the client sent behind the
// start-up message stays with the returned backend.
func (s *Server) startup(conn net.Conn) (net.Conn, *pgproto3.Backend, *pgproto3.StartupMessage, error) {
	backend := newBackend(conn)
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "start-up message")
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
				// What was sent in plain text behind the request is dropped.
				backend = newBackend(conn)
			}
		default:
			_, err = conn.Write([]byte{'N'})
		}
		if err != nil {
			return nil, nil, nil, eris.Wrap(err, "encryption request")
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

// readLogin asks for the customer's key. A client that sends no user name
// connects to a route that is open to all, and is not asked.
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
		return l, eris.Errorf("message %T in place of the password", msg)
	}
	l.Key = p.Password
	return l, nil
}

// read frames requests until the client leaves.
func read(backend *pgproto3.Backend, c *Client, sess Session) {
	var framer pgwire.Framer
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		copied, size, err := pgwire.Copy(msg)
		if err != nil {
			return
		}
		batch, err := framer.Add(copied, size)
		if err != nil {
			c.Send(pgwire.Refuse(session.Outcome{Kind: session.NotRun, Reason: session.StatementTooLarge, Detail: err.Error()}, true))
			c.Finish()
			skip(backend)
			return
		}
		if batch != nil && !sess.Request(batch) {
			skip(backend)
			return
		}
	}
}
