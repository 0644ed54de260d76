package dbgroup

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// noEncryption answers requests for TLS or GSS encryption.
const noEncryption = "N"

// accept serves the wire protocol until the listener closes.
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
		c.serverRun = s.node.currentRun()
		s.group.running.Go(c.out.run)
		s.group.running.Go(func() { c.readMessages(conn) })
	}
}

// readMessages frames messages and posts them as events until the connection
// ends.
func (c *session) readMessages(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, nil)
	if !c.readStartup(backend) {
		c.deliver(endMessage{})
		return
	}
	for {
		m, err := backend.Receive()
		if err != nil {
			c.deliver(endMessage{})
			return
		}
		if !c.deliver(copyMessage(m)) {
			return
		}
	}
}

// readStartup reads up to the startup message. It reports false if the
// connection was a cancel request or failed.
func (c *session) readStartup(backend *pgproto3.Backend) bool {
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			c.out.write([]byte(noEncryption))
		case *pgproto3.CancelRequest:
			c.server.cancel(m.ProcessID, append([]byte(nil), m.SecretKey...))
			return false
		case *pgproto3.StartupMessage:
			return c.deliver(startupMessage{parameters: m.Parameters})
		default:
			return false
		}
	}
}

// deliver posts a message. It waits while the session has too many messages
// that it has not handled, and reports false if the session has ended.
func (c *session) deliver(m any) bool {
	select {
	case c.room <- struct{}{}:
	case <-c.ended:
		return false
	}
	return c.queue.PostAlways(func() { c.receive(m) })
}

// cancel passes a cancel request to its session.
func (s *Server) cancel(pid uint32, secret []byte) {
	if target := s.sessions.find(pid, secret); target != nil {
		target.post(target.cancelled)
	}
}
