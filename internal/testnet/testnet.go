// Package testnet is an in-memory network.Network for tests. It uses no sockets
// and no system timers, so it works inside a testing/synctest bubble.
package testnet

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Net is a network of named listeners.
type Net struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*listener
	down      map[string]bool
	dials     map[string]int
}

// New returns a network without listeners.
func New() *Net {
	return &Net{listeners: make(map[string]*listener), down: make(map[string]bool), dials: make(map[string]int)}
}

// Listen implements network.Network.
func (n *Net) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, eris.Errorf("%s is in use", address)
	}
	l := &listener{net: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial implements network.Network. A dial to an address without a listener, or
// to one that is down, is refused.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials[address]++
	l, down := n.listeners[address], n.down[address]
	n.mu.Unlock()
	if l == nil || down {
		return nil, eris.Errorf("dial %s: connection refused", address)
	}
	ours, theirs := net.Pipe()
	select {
	case l.accepted <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, eris.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetDown makes dials to the address fail, or succeed again. Connections that
// are open stay open.
func (n *Net) SetDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

// Dials returns the number of dials to the address so far.
func (n *Net) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

type listener struct {
	net      *Net
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is an address of the in-memory network.
type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
