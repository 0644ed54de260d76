package peer

import (
	"net"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// direction is the value of the metrics tag "direction".
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// unknownSection is the tag under which sections are counted that this version
// does not know.
const unknownSection = "other"

// meter counts messages and bytes. The counters are created in advance, because
// looking one up by its tags allocates memory.
type meter struct {
	wire     map[direction]tally.Counter            // bytes on the connections, HTTP included
	messages map[direction]tally.Counter            // requests and responses
	sections map[direction]map[string]tally.Counter // bytes of the bodies, by section
	refused  map[refusalReason]tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{
		wire:     make(map[direction]tally.Counter),
		messages: make(map[direction]tally.Counter),
		sections: make(map[direction]map[string]tally.Counter),
		refused:  make(map[refusalReason]tally.Counter),
	}
	for _, d := range []direction{sent, received} {
		tagged := scope.Tagged(map[string]string{"direction": string(d)})
		m.wire[d] = tagged.Counter("wire_bytes")
		m.messages[d] = tagged.Counter("messages")
		m.sections[d] = make(map[string]tally.Counter)
		for _, name := range append([]string{unknownSection}, peerapi.Sections...) {
			m.sections[d][name] = tagged.Tagged(map[string]string{"section": name}).Counter("section_bytes")
		}
	}
	for _, r := range refusalReasons {
		m.refused[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused")
	}
	return m
}

// countMessage counts a message and the bytes of its body by section.
func (m *meter) countMessage(d direction, body []byte) {
	m.messages[d].Inc(1)
	for name, size := range peerapi.SectionSizes(body) {
		counter := m.sections[d][name]
		if counter == nil {
			counter = m.sections[d][unknownSection]
		}
		counter.Inc(int64(size))
	}
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter   *meter
	onClose func() // called once; may be nil
	once    sync.Once
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.wire[received].Inc(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.wire[sent].Inc(int64(n))
	return n, err
}

func (c *meteredConn) Close() error {
	if c.onClose != nil {
		c.once.Do(c.onClose)
	}
	return c.Conn.Close()
}

// maxConnections bounds the open connections of a server: one from each of 490
// VMs, and a reserve for VMs that reconnect.
const maxConnections = 1024

// boundedListener counts the bytes of its connections. It closes connections
// beyond maxConnections at once, so that unauthenticated clients cannot exhaust
// this VM's memory.
type boundedListener struct {
	net.Listener
	meter *meter
	mu    sync.Mutex // guards open
	open  int
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &meteredConn{Conn: c, meter: l.meter, onClose: l.release}, nil
		}
		l.meter.refused[refusedConnection].Inc(1)
		_ = c.Close()
	}
}

func (l *boundedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= maxConnections {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}
