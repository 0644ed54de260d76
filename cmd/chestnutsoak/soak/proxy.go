package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode uint8

const (
	pass    mode = iota
	delay        // passes bytes on later
	silence      // passes nothing on, in either direction
	oneWay       // passes nothing on from the server
)

const proxyDelay = 60 * time.Millisecond

// proxy passes connections on to a target on this machine, with faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards the fields below
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A connection that is closed already cannot be reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(c net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copy(server, c, false)
	p.copy(c, server, true)
}

// copy passes bytes from one connection on to another. fromServer tells the
// direction.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for err == nil && p.holds(fromServer) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	p.mu.Lock()
	delete(p.conns, from)
	p.mu.Unlock()
}

// holds reports whether bytes wait, after a delay if there is one.
func (p *proxy) holds(fromServer bool) bool {
	p.mu.Lock()
	m := p.mode
	p.mu.Unlock()
	if m == delay {
		time.Sleep(proxyDelay)
	}
	return m == silence || m == oneWay && fromServer
}
