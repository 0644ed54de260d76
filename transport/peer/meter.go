package peer

import (
	"net"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// direction is the value of the tag that tells what was sent from what was
// received.
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// otherSection counts the sections that this version does not know.
const otherSection = "other"

// meter counts messages and bytes. The counters are made in advance, because
// looking one up by its tags allocates.
type meter struct {
	wire     map[direction]tally.Counter            // bytes on the connections, HTTP included
	messages map[direction]tally.Counter            // requests and answers
	sections map[direction]map[string]tally.Counter // bytes of the bodies
	refused  map[refusal]tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{
		wire:     make(map[direction]tally.Counter),
		messages: make(map[direction]tally.Counter),
		sections: make(map[direction]map[string]tally.Counter),
		refused:  make(map[refusal]tally.Counter),
	}
	for _, d := range []direction{sent, received} {
		tagged := scope.Tagged(map[string]string{"direction": string(d)})
		m.wire[d] = tagged.Counter("wire_bytes")
		m.messages[d] = tagged.Counter("messages")
		m.sections[d] = make(map[string]tally.Counter)
		for _, name := range append([]string{otherSection}, peerapi.Sections...) {
			m.sections[d][name] = tagged.Tagged(map[string]string{"section": name}).Counter("section_bytes")
		}
	}
	for _, r := range refusals {
		m.refused[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused")
	}
	return m
}

// message counts a body by section.
func (m *meter) message(d direction, body []byte) {
	m.messages[d].Inc(1)
	for name, size := range peerapi.SectionSizes(body) {
		counter := m.sections[d][name]
		if counter == nil {
			counter = m.sections[d][otherSection]
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

// maxConnections bounds the connections that a server holds open: one from each
// of 490 VMs, with room for reconnecting ones.
const maxConnections = 1024

// boundedListener counts the bytes of its connections and closes those beyond
// maxConnections at once, so that a stranger cannot exhaust this VM's memory.
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
		if l.enter() {
			return &meteredConn{Conn: c, meter: l.meter, onClose: l.leave}, nil
		}
		l.meter.refused[refusedConnection].Inc(1)
		_ = c.Close()
	}
}

func (l *boundedListener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= maxConnections {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}
