// Package testnet provides an in-memory network.Network for tests. It uses no
// sockets and no system timers, so it works in a testing/synctest bubble.
package testnet

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Net is an in-memory network. Each listener has an arbitrary string as its address.
type Net struct {
	mu         sync.Mutex // guards the fields below
	listeners  map[string]*listener
	down       map[string]bool
	dialCounts map[string]int
}

// New returns a network without listeners.
func New() *Net {
	return &Net{listeners: make(map[string]*listener), down: make(map[string]bool), dialCounts: make(map[string]int)}
}

// Listen implements network.Network. It fails if the address is in use.
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

// Dial implements network.Network. It fails if the address has no listener or is
// down, and otherwise waits until the listener accepts or ctx is done.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dialCounts[address]++
	l, down := n.listeners[address], n.down[address]
	n.mu.Unlock()
	if l == nil || down {
		return nil, eris.Errorf("dial %s: connection refused", address)
	}
	clientSide, serverSide := net.Pipe()
	select {
	case l.accepted <- serverSide:
		return clientSide, nil
	case <-l.closed:
		return nil, eris.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// SetDown makes dials to the address fail, or lets them succeed again. Open
// connections are not affected.
func (n *Net) SetDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

// Dials returns the number of dials to the address so far, including failed ones.
func (n *Net) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialCounts[address]
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
