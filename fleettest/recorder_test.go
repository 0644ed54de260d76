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

// wirePort is the suffix of all addresses of backend servers: the port of the wire
// protocol.
const wirePort = ":5432"

// recorder records the statements of loads that VMs send to backend servers, and
// all bytes that they send if a test asks for that.
type recorder struct {
	mu         sync.Mutex // guards the fields below
	statements []statement
	raw        *bytes.Buffer // nil unless keepBytes was called
}

// statement is a statement of a load that a VM sent to a backend server.
type statement struct {
	customer string
	id       string // of the request; unique for the customer
	at       time.Time
	vm       string
	server   string // address of the backend server
}

func newRecorder() *recorder { return &recorder{} }

// sentFor returns the statements of a customer in the order in which they were
// sent.
func (r *recorder) sentFor(customer string) []statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []statement
	for _, s := range r.statements {
		if s.customer == customer {
			found = append(found, s)
		}
	}
	return found
}

// sentTo returns the statements that were sent to an address between two times.
func (r *recorder) sentTo(address string, from, to time.Time) []statement {
	return r.filter(from, to, func(s *statement) bool { return s.server == address })
}

// sentBy returns the statements that a VM sent between two times.
func (r *recorder) sentBy(vm string, from, to time.Time) []statement {
	return r.filter(from, to, func(s *statement) bool { return s.vm == vm })
}

// filter returns the matching statements that were sent between two times.
func (r *recorder) filter(from, to time.Time, matches func(s *statement) bool) []statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []statement
	for _, s := range r.statements {
		if s.at.After(from) && s.at.Before(to) && matches(&s) {
			found = append(found, s)
		}
	}
	return found
}

// keepBytes records all bytes that VMs send to backend servers from now on.
func (r *recorder) keepBytes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raw = new(bytes.Buffer)
}

// rawBytes returns the bytes that were sent since keepBytes.
func (r *recorder) rawBytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.raw.Bytes())
}

// loadStatement matches the customer and the request ID, which loads put into each
// statement.
var loadStatement = regexp.MustCompile(`'load/([^/']+)/([^']+)'`)

// recordMessage records a message if it is a simple query of a load.
func (r *recorder) recordMessage(message []byte, vm, server string) {
	if message[0] != 'Q' {
		return
	}
	m := loadStatement.FindSubmatch(message)
	if m == nil {
		return
	}
	s := statement{customer: string(m[1]), id: string(m[2]), at: time.Now(), vm: vm, server: server}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, s)
}

func (r *recorder) recordBytes(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.raw != nil {
		r.raw.Write(b)
	}
}

// recordingNetwork is the network of a VM. It records what the VM sends to backend
// servers.
type recordingNetwork struct {
	network.Network
	recorder *recorder
	vm       string
}

func (n recordingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil || !strings.HasSuffix(address, wirePort) {
		return conn, err
	}
	return &recordingConn{Conn: conn, network: n, server: address, startup: true}, nil
}

// recordingConn is a connection to a backend server. It splits what the VM writes
// into messages.
type recordingConn struct {
	net.Conn
	network recordingNetwork
	server  string
	startup bool   // the next message has no type byte
	rest    []byte // bytes written of a message that is not complete
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.network.recorder.recordBytes(b)
	c.rest = append(c.rest, b...)
	for {
		size, complete := c.nextMessage()
		if !complete {
			return c.Conn.Write(b)
		}
		if !c.startup {
			c.network.recorder.recordMessage(c.rest[:size], c.network.vm, c.server)
		}
		c.startup = false
		c.rest = c.rest[size:]
	}
}

// nextMessage returns the size of the next message and whether all of it has been
// written.
func (c *recordingConn) nextMessage() (size int, complete bool) {
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

// maxExcess returns by how many statements burst + rate x t was exceeded in the
// interval with the largest excess. The result is 0 or less if the limit held. It
// covers every interval that begins and ends with a statement.
func maxExcess(times []time.Time, rate, burst float64) float64 {
	largest, lowest := -burst, 0.0
	for i, at := range times {
		used := float64(i) - rate*at.Sub(times[0]).Seconds()
		if i == 0 || used < lowest {
			lowest = used
		}
		largest = max(largest, used+1-lowest-burst)
	}
	return largest
}

// Guards against a check of intervals that misses an excess or reports one that
// did not occur.
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
		want  float64 // with a rate of 10 per second and a burst of 2
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
		if got := maxExcess(tt.times, 10, 2); got < tt.want-1e-9 || got > tt.want+1e-9 {
			t.Errorf("%s: excess %v, want %v", tt.name, got, tt.want)
		}
	}
}
