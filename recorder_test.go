package chestnutdyke_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// recorder records the wire protocol messages of sessions: between clients and
// VMs, and between VMs and backend servers.
type recorder struct {
	start time.Time

	mu     sync.Mutex // guards the fields below
	events []event
	conns  map[string]int // number of connections dialled, by name in the transcript
}

// event is one recorded message.
type event struct {
	at       time.Duration
	connName string // name and number of the connection, such as vm-ledger-a#1
	seq      int    // order in which the events were recorded
	text     string
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), conns: make(map[string]int)}
}

// wrap returns a network that records the connections dialled through it. names
// maps addresses to the names used in the transcript; connections to other
// addresses are not recorded.
func (r *recorder) wrap(inner network.Network, names map[string]string) network.Network {
	return recordingNetwork{Network: inner, recorder: r, names: names}
}

// transcript returns the recorded messages ordered by time. Messages with the same
// time are ordered by connection, which makes the transcript deterministic.
func (r *recorder) transcript() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.events, func(i, j int) bool {
		a, b := r.events[i], r.events[j]
		if a.at != b.at {
			return a.at < b.at
		}
		if a.connName != b.connName {
			return a.connName < b.connName
		}
		return a.seq < b.seq
	})
	var b strings.Builder
	for _, e := range r.events {
		fmt.Fprintf(&b, "%9.3fms  %-16s %s\n", float64(e.at.Microseconds())/1000, e.connName, e.text)
	}
	return b.String()
}

func (r *recorder) add(connName, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{at: time.Since(r.start), connName: connName, seq: len(r.events), text: text})
}

type recordingNetwork struct {
	network.Network
	recorder *recorder
	names    map[string]string
}

func (n recordingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	name := n.names[address]
	if err != nil || name == "" {
		return conn, err
	}
	n.recorder.mu.Lock()
	n.recorder.conns[name]++
	connName := fmt.Sprintf("%s#%d", name, n.recorder.conns[name])
	n.recorder.mu.Unlock()
	return &recordingConn{Conn: conn, recorder: n.recorder, connName: connName, out: messageSplitter{untyped: true}}, nil
}

type recordingConn struct {
	net.Conn
	recorder *recorder
	connName string
	out, in  messageSplitter
}

func (c *recordingConn) Write(b []byte) (int, error) {
	for _, m := range c.out.split(b) {
		c.recorder.add(c.connName, "-> "+describeFrontend(m))
	}
	return c.Conn.Write(b)
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, m := range c.in.split(b[:n]) {
		c.recorder.add(c.connName, "<- "+describeBackend(m))
	}
	return n, err
}

func (c *recordingConn) Close() error {
	err := c.Conn.Close()
	if err == nil {
		c.recorder.add(c.connName, "closed")
	}
	return err
}

// messageSplitter splits a byte stream into wire protocol messages.
type messageSplitter struct {
	untyped bool // the next message has no type byte, like the start-up message
	buffer  []byte
}

func (s *messageSplitter) split(b []byte) [][]byte {
	s.buffer = append(s.buffer, b...)
	var messages [][]byte
	for {
		header := 1
		if s.untyped {
			header = 0
		}
		if len(s.buffer) < header+4 {
			return messages
		}
		size := header + int(binary.BigEndian.Uint32(s.buffer[header:]))
		if len(s.buffer) < size {
			return messages
		}
		m := s.buffer[:size:size]
		if s.untyped {
			m = append([]byte{0}, m...)
			s.untyped = false
		}
		messages = append(messages, m)
		s.buffer = s.buffer[size:]
	}
}

func describeFrontend(m []byte) string {
	body := m[5:]
	switch m[0] {
	case 0:
		return "Startup"
	case 'p':
		return "Password"
	case 'Q':
		return "Query " + strings.TrimRight(string(body), "\x00")
	case 'P':
		var p pgproto3.Parse
		if err := p.Decode(body); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("Parse %q %s", p.Name, p.Query)
	case 'B':
		var p pgproto3.Bind
		if err := p.Decode(body); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("Bind %q %q", p.PreparedStatement, p.Parameters)
	}
	names := map[byte]string{'D': "Describe", 'E': "Execute", 'S': "Sync", 'C': "Close", 'X': "Terminate", 'H': "Flush"}
	return names[m[0]]
}

func describeBackend(m []byte) string {
	body := m[5:]
	switch m[0] {
	case 'C':
		return "CommandComplete " + strings.TrimRight(string(body), "\x00")
	case 'Z':
		return "ReadyForQuery " + string(body)
	case 'E':
		var e pgproto3.ErrorResponse
		if err := e.Decode(body); err != nil {
			return err.Error()
		}
		return strings.TrimSpace(fmt.Sprintf("ErrorResponse %s %s: %s %s %s", e.Severity, e.Code, e.Message, e.Detail, e.Hint))
	case 'S':
		var p pgproto3.ParameterStatus
		if err := p.Decode(body); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("ParameterStatus %s=%s", p.Name, p.Value)
	case 'D':
		var d pgproto3.DataRow
		if err := d.Decode(body); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("DataRow %q", d.Values)
	}
	names := map[byte]string{
		'R': "Authentication", 'K': "BackendKeyData", 'T': "RowDescription", 't': "ParameterDescription",
		'1': "ParseComplete", '2': "BindComplete", '3': "CloseComplete", 'n': "NoData", 'N': "Notice", 's': "PortalSuspended",
	}
	return names[m[0]]
}
