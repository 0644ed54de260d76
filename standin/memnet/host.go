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

// Network implements net.Addr. It returns "tcp", because callers expect a stream
// network.
func (Addr) Network() string { return "tcp" }

// String returns host:port.
func (a Addr) String() string { return net.JoinHostPort(a.Host, strconv.Itoa(a.Port)) }

func parseAddr(address string) (Addr, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return Addr{}, err
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return Addr{}, &net.AddrError{Err: "invalid port", Addr: address}
	}
	return Addr{Host: host, Port: int(portNumber)}, nil
}

// Host is one host of a network. It implements network.Network.
type Host struct {
	net  *Network
	name string
	zone string
}

// Name returns the name given to Network.Host, usually an IP address.
func (h *Host) Name() string { return h.name }

// Listen listens on a port of the host. The host part of the address must be
// empty, 0.0.0.0 or the host's name; otherwise Listen fails with EADDRNOTAVAIL.
// Port 0 picks a free port.
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
		addr.Port = h.net.allocatePort()
	}
	if h.net.listeners[addr] != nil {
		return nil, opError("listen", addr, syscall.EADDRINUSE)
	}
	l := newListener(h, addr)
	h.net.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener, which takes one round trip. While a partition
// separates the hosts, it waits until the partition is healed or ctx ends. It
// fails with EHOSTUNREACH for an unknown host, and with ECONNREFUSED for a port
// without a listener or with a full backlog.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	addr, err := parseAddr(address)
	if err != nil {
		return nil, opError("dial", addr, err)
	}
	target := h.net.findHost(addr.Host)
	if target == nil {
		return nil, opError("dial", addr, syscall.EHOSTUNREACH)
	}
	if err := h.net.waitTransit(ctx, h, target); err != nil {
		return nil, opError("dial", addr, err)
	}
	p := h.net.openPipe(h, addr)
	if err := h.net.waitTransit(ctx, target, h); err != nil {
		if p != nil {
			p.fail()
		}
		return nil, opError("dial", addr, err)
	}
	if p == nil {
		return nil, opError("dial", addr, syscall.ECONNREFUSED)
	}
	return p.ends[0], nil
}

func (n *Network) findHost(host string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[host]
}

// openPipe adds a new connection to the backlog of the listener at addr. It
// returns nil if there is no listener or its backlog is full.
func (n *Network) openPipe(from *Host, addr Addr) *pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil
	}
	p := n.newPipe(from, l)
	select {
	case l.backlog <- p.ends[1]:
		return p
	default:
		delete(n.pipes, p)
		return nil
	}
}

// waitTransit waits for the time that a packet takes from one host to the other.
// A packet lost in a partition is sent again after the partition is healed.
func (n *Network) waitTransit(ctx context.Context, from, to *Host) error {
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

// path returns the delay between two hosts or, if a partition separates them, a
// channel that is closed when any partition is healed.
func (n *Network) path(from, to *Host) (time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned(from, to) {
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
