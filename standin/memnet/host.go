package memnet

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Addr is the address of one end of a connection or of a listener.
type Addr struct {
	Host string
	Port int
}

// Network implements net.Addr. It says "tcp", as callers expect a stream.
func (Addr) Network() string { return "tcp" }

// String returns host:port.
func (a Addr) String() string { return net.JoinHostPort(a.Host, strconv.Itoa(a.Port)) }

func parseAddr(address string) (Addr, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return Addr{}, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return Addr{}, &net.AddrError{Err: "invalid port", Addr: address}
	}
	return Addr{Host: host, Port: int(number)}, nil
}

// Host is one host's view of the network. It implements network.Network.
type Host struct {
	net  *Network
	name string
	zone string
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Listen listens on a port of the host. The host part of the address is empty,
// 0.0.0.0 or the host's name; port 0 picks a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	addr, err := parseAddr(address)
	if err != nil {
		return nil, opError("listen", addr, err)
	}
	if addr.Host != "" && addr.Host != "0.0.0.0" && addr.Host != h.name {
		return nil, opError("listen", addr, syscall.EADDRNOTAVAIL)
	}
	addr.Host = h.name
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if addr.Port == 0 {
		addr.Port = h.net.port()
	}
	if h.net.listeners[addr] != nil {
		return nil, opError("listen", addr, syscall.EADDRINUSE)
	}
	l := newListener(h, addr)
	h.net.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener. It takes a round trip. While the hosts are cut
// off from each other it waits until the cut is healed or ctx ends. A host or
// port without a listener refuses the connection.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	addr, err := parseAddr(address)
	if err != nil {
		return nil, opError("dial", addr, err)
	}
	target := h.net.lookup(addr.Host)
	if target == nil {
		return nil, opError("dial", addr, syscall.EHOSTUNREACH)
	}
	if err := h.net.travel(ctx, h, target); err != nil {
		return nil, opError("dial", addr, err)
	}
	k := h.net.offer(h, addr)
	if err := h.net.travel(ctx, target, h); err != nil {
		if k != nil {
			k.fail()
		}
		return nil, opError("dial", addr, err)
	}
	if k == nil {
		return nil, opError("dial", addr, syscall.ECONNREFUSED)
	}
	return k.ends[0], nil
}

func (n *Network) lookup(host string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[host]
}

// offer hands a new connection to the listener at addr. It returns nil if there
// is none or its backlog is full.
func (n *Network) offer(from *Host, addr Addr) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil
	}
	k := n.connect(from, l)
	select {
	case l.backlog <- k.ends[1]:
		return k
	default:
		delete(n.links, k)
		return nil
	}
}

// travel waits for as long as a packet takes from one host to the other. A
// packet that meets a cut is sent again after the cut is healed.
func (n *Network) travel(ctx context.Context, from, to *Host) error {
	for {
		delay, healed := n.path(from, to)
		if healed == nil {
			if err := sleep(ctx, delay); err != nil {
				return err
			}
			if _, healed = n.path(from, to); healed == nil {
				return nil
			}
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// path returns the delay between two hosts and, if they are cut off from each
// other, a channel that is closed when any cut is healed.
func (n *Network) path(from, to *Host) (time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutBetween(from, to) {
		return 0, n.healed
	}
	return n.delay(from, to), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func opError(op string, addr net.Addr, err error) error {
	return &net.OpError{Op: op, Net: addr.Network(), Addr: addr, Err: err}
}
