package dbgroup

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// encryptionRefused is the response to requests for TLS or GSS encryption.
const encryptionRefused = "N"

// accept accepts client connections until the listener is closed.
func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := newSession(s, conn)
		if !s.sessions.add(c) {
			c.queue.Close()
			conn.Close()
			continue
		}
		c.serverIncarnation = s.node.currentIncarnation()
		s.group.goroutines.Go(c.out.run)
		s.group.goroutines.Go(func() { c.readMessages(conn) })
	}
}

// readMessages reads messages and posts them as events until the connection or
// the session ends.
func (c *session) readMessages(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, nil)
	if !c.readStartup(backend) {
		c.deliver(disconnectMessage{})
		return
	}
	for {
		m, err := backend.Receive()
		if err != nil {
			c.deliver(disconnectMessage{})
			return
		}
		if !c.deliver(copyMessage(m)) {
			return
		}
	}
}

// readStartup reads up to and including the startup message. It reports false if
// the connection carried a cancel request or failed.
func (c *session) readStartup(backend *pgproto3.Backend) bool {
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			c.out.write([]byte(encryptionRefused))
		case *pgproto3.CancelRequest:
			c.server.forwardCancel(m.ProcessID, append([]byte(nil), m.SecretKey...))
			return false
		case *pgproto3.StartupMessage:
			return c.deliver(startupMessage{parameters: m.Parameters})
		default:
			return false
		}
	}
}

// deliver posts a message to the session. It blocks while inboxLimit messages
// wait to be handled, and reports false if the session has ended.
func (c *session) deliver(m any) bool {
	select {
	case c.inboxTokens <- struct{}{}:
	case <-c.ended:
		return false
	}
	return c.queue.PostUnbounded(func() { c.receive(m) })
}

// forwardCancel passes a cancel request to the session it refers to, if that
// exists.
func (s *Server) forwardCancel(pid uint32, secret []byte) {
	if target := s.sessions.find(pid, secret); target != nil {
		target.post(target.handleCancel)
	}
}
