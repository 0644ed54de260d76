package fleettest

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// wirePort ends the addresses of backend servers' wire protocol.
const wirePort = ":5432"

// tap records the statements of loads that VMs send to backend servers, and
// optionally everything that they send.
type tap struct {
	mu         sync.Mutex // guards the fields below
	statements []statement
	everything *bytes.Buffer // nil unless the test keeps it
}

// statement is a statement of a load that was sent to a backend server.
type statement struct {
	customer string
	id       string // of the request, unique per customer
	at       time.Time
	vm       string
	server   string // address of the backend server
}

func newTap() *tap { return &tap{} }

// of returns the statements of a customer, in the order of time.
func (p *tap) of(customer string) []statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []statement
	for _, s := range p.statements {
		if s.customer == customer {
			found = append(found, s)
		}
	}
	return found
}

// sentTo returns the statements that were sent to an address in a time.
func (p *tap) sentTo(address string, from, to time.Time) []statement {
	return p.sentIn(from, to, func(s *statement) bool { return s.server == address })
}

// sentBy returns the statements that a VM sent in a time.
func (p *tap) sentBy(vm string, from, to time.Time) []statement {
	return p.sentIn(from, to, func(s *statement) bool { return s.vm == vm })
}

func (p *tap) sentIn(from, to time.Time, wanted func(s *statement) bool) []statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []statement
	for _, s := range p.statements {
		if s.at.After(from) && s.at.Before(to) && wanted(&s) {
			found = append(found, s)
		}
	}
	return found
}

// keepEverything keeps all bytes that VMs send to backend servers from now on.
func (p *tap) keepEverything() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.everything = new(bytes.Buffer)
}

func (p *tap) bytesSent() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.everything.Bytes())
}

// Loads put the customer and the number of the request into each statement.
var loadStatement = regexp.MustCompile(`'load/([^/']+)/([^']+)'`)

func (p *tap) sent(message []byte, vm, server string) {
	if message[0] != 'Q' {
		return
	}
	m := loadStatement.FindSubmatch(message)
	if m == nil {
		return
	}
	s := statement{customer: string(m[1]), id: string(m[2]), at: time.Now(), vm: vm, server: server}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statements = append(p.statements, s)
}

func (p *tap) keep(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.everything != nil {
		p.everything.Write(b)
	}
}

// tappedNetwork is the network of a VM whose connections to backend servers are
// recorded.
type tappedNetwork struct {
	network.Network
	tap *tap
	vm  string
}

func (n tappedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil || !strings.HasSuffix(address, wirePort) {
		return conn, err
	}
	return &tappedConn{Conn: conn, network: n, server: address, startup: true}, nil
}

type tappedConn struct {
	net.Conn
	network tappedNetwork
	server  string
	startup bool // the next message has no type byte
	rest    []byte
}

func (c *tappedConn) Write(b []byte) (int, error) {
	c.network.tap.keep(b)
	c.rest = append(c.rest, b...)
	for {
		size, whole := c.nextMessage()
		if !whole {
			return c.Conn.Write(b)
		}
		if !c.startup {
			c.network.tap.sent(c.rest[:size], c.network.vm, c.server)
		}
		c.startup = false
		c.rest = c.rest[size:]
	}
}

// nextMessage returns the size of the next message, and whether it is complete.
func (c *tappedConn) nextMessage() (size int, whole bool) {
	header := 1
	if c.startup {
		header = 0
	}
	if len(c.rest) < header+4 {
		return 0, false
	}
	size = header + int(binary.BigEndian.Uint32(c.rest[header:]))
	return size, len(c.rest) >= size
}

// excess returns by how many statements a customer exceeded burst + rate x t in
// the interval where it exceeded it most, at most 0 if it never did. It covers
// every interval that begins and ends with a statement.
func excess(times []time.Time, rate, burst float64) float64 {
	worst, lowest := -burst, 0.0
	for i, at := range times {
		used := float64(i) - rate*at.Sub(times[0]).Seconds()
		if i == 0 || used < lowest {
			lowest = used
		}
		worst = max(worst, used+1-lowest-burst)
	}
	return worst
}

// Guards against an interval check that misses an excess or reports one that is
// none.
func TestLimitIntervalCheck(t *testing.T) {
	start := time.Now()
	at := func(ms ...int) []time.Time {
		var times []time.Time
		for _, m := range ms {
			times = append(times, start.Add(time.Duration(m)*time.Millisecond))
		}
		return times
	}
	tests := []struct {
		name  string
		times []time.Time
		want  float64 // at 10 a second and a burst of 2
	}{
		{"nothing", nil, -2},
		{"one", at(0), -1},
		{"burst at once", at(0, 0), 0},
		{"burst and rate", at(0, 0, 100, 200), 0},
		{"one too many at once", at(0, 0, 0), 1},
		{"one too many after a pause", at(0, 1000, 1000, 1000), 1},
		{"half a statement too early", at(0, 0, 50), 0.5},
	}
	for _, tt := range tests {
		if got := excess(tt.times, 10, 2); got < tt.want-1e-9 || got > tt.want+1e-9 {
			t.Errorf("%s: excess %v, want %v", tt.name, got, tt.want)
		}
	}
}
