package memnet

import (
	"net"
	"sync"
)

// backlogLimit is the number of connections that wait to be accepted; more are
// refused.
const backlogLimit = 1024

type listener struct {
	host    *Host
	addr    Addr
	backlog chan *Conn // sent to under Network.mu, while the listener is registered
	once    sync.Once
	closed  chan struct{}
}

func newListener(h *Host, addr Addr) *listener {
	return &listener{
		host:    h,
		addr:    addr,
		backlog: make(chan *Conn, backlogLimit),
		closed:  make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, opError("accept", l.addr, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.addr, net.ErrClosed)
	}
}

// Close implements net.Listener. Connections that were not accepted break.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.unregister()
		close(l.closed)
		l.dropBacklog()
	})
	return nil
}

func (l *listener) unregister() {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	delete(l.host.net.listeners, l.addr)
}

func (l *listener) dropBacklog() {
	for {
		select {
		case c := <-l.backlog:
			c.link.fail()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
