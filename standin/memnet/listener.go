package memnet

import (
	"net"
	"sync"
)

// backlogLimit is the number of connections of a listener that may wait to be
// accepted. Further connections are refused.
const backlogLimit = 1024

type listener struct {
	host      *Host
	addr      Addr
	backlog   chan *Conn // sent to only under Network.mu and while the listener is registered
	closeOnce sync.Once
	closed    chan struct{}
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

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.unregister()
		close(l.closed)
		l.failBacklog()
	})
	return nil
}

func (l *listener) unregister() {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	delete(l.host.net.listeners, l.addr)
}

func (l *listener) failBacklog() {
	for {
		select {
		case c := <-l.backlog:
			c.pipe.fail()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
