package soak

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the data of its connections.
type mode uint8

const (
	forward      mode = iota
	delay             // forwards data after proxyDelay
	stall             // holds back the data of both directions
	stallReplies      // holds back the data sent by the server
)

const proxyDelay = 60 * time.Millisecond

// proxy is a TCP proxy on a loopback address that can impair its connections.
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

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// resetConnections closes all connections, with a TCP reset where possible.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// The error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetConnections()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[target] = true, true
	p.mu.Unlock()
	go p.copy(target, c, false)
	p.copy(c, target, true)
}

// copy forwards data from one connection to another until one of them fails, and
// then closes both. fromServer tells whether the data comes from the server.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for err == nil && p.stalls(fromServer) {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
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

// stalls reports whether data is held back now. In mode delay it sleeps first.
func (p *proxy) stalls(fromServer bool) bool {
	p.mu.Lock()
	m := p.mode
	p.mu.Unlock()
	if m == delay {
		time.Sleep(proxyDelay)
	}
	return m == stall || m == stallReplies && fromServer
}
