package managed

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// commit is one entry of a group's log.
type commit struct {
	id         string // statement that wrote it
	customer   string
	item, data string
	at         time.Time
}

// Codec is the wire protocol of backend servers, from the servers' side.
type Codec interface {
	ReadOpening(r *bufio.Reader) (group, customer, server string, err error)
	ReadCommand(r *bufio.Reader) (statement.Command, error)
	AppendOpened(dst []byte, a *statement.Answer) []byte
	AppendAnswer(dst []byte, a *statement.Answer) []byte
	EncodeReport(primary bool, p state.Point, connections int) string
}

// Group is a database group: a log and the servers that hold a part of it.
type Group struct {
	Name         string
	Lag          time.Duration // of replicas
	PromoteDelay time.Duration
	MaxConns     int
	Work         time.Duration // of a statement
	Handshake    time.Duration // of a new connection
	Codec        Codec

	mu      sync.Mutex // guards the fields below and those of the servers
	term    uint64
	starts  map[uint64]uint64 // term to the length of the log at its start
	log     []commit
	servers map[string]*Server
	// lostCommits counts commits that a promotion dropped.
	lostCommits int
}

// Server is a backend server of a group.
type Server struct {
	ID      string
	Zone    string
	Address string

	group    *Group
	primary  bool
	held     int  // length of the log that it has, if it does not receive
	deaf     bool // receives nothing
	draining bool // registers as leaving
	down     bool
	conns    map[net.Conn]bool
	cancel   context.CancelFunc
	// loseAnswers makes the server break the connection after the next write
	// it ran, instead of answering.
	loseAnswers int
	runs        map[string]int // runs by statement id
}

// received returns the length of the log that the server has. The caller holds mu.
func (s *Server) received() int {
	g := s.group
	if s.primary {
		return len(g.log)
	}
	if s.deaf || s.down {
		return min(s.held, len(g.log))
	}
	now := time.Now()
	n := len(g.log)
	for n > s.held && now.Sub(g.log[n-1].at) < g.Lag {
		n--
	}
	s.held = max(s.held, n)
	return min(s.held, len(g.log))
}

// contains reports whether the server's log has the point. The caller holds mu.
func (s *Server) contains(p state.Point) bool {
	g := s.group
	if p.Term > g.term || uint64(s.received()) < p.Position {
		return false
	}
	return p.Term == g.term || p.Position <= g.starts[p.Term+1]
}

func (s *Server) point() state.Point {
	return state.Point{Term: s.group.term, Position: uint64(s.received())}
}

// NewGroup returns a group without servers.
func NewGroup(name string, maxConns int, lag time.Duration, codec Codec) *Group {
	return &Group{
		Name: name, Lag: lag, PromoteDelay: 300 * time.Millisecond, MaxConns: maxConns, Work: 5 * time.Millisecond,
		Handshake: 10 * time.Millisecond, Codec: codec, term: 1, starts: map[uint64]uint64{1: 0}, servers: make(map[string]*Server),
	}
}

// Add adds a server, which answers at the listener until ctx is done.
func (g *Group) Add(ctx context.Context, id, zone string, l net.Listener, primary bool) *Server {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		ID: id, Zone: zone, Address: l.Addr().String(), group: g, primary: primary, conns: make(map[net.Conn]bool),
		cancel: cancel, runs: make(map[string]int),
	}
	g.mu.Lock()
	g.servers[id] = s
	g.mu.Unlock()
	go s.serve(ctx, l)
	return s
}

// Term returns the group's term.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// leads reports whether the server is the primary.
func (g *Group) leads(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	return s != nil && s.primary
}

// promote makes the server the primary, with what it has received.
func (g *Group) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil || s.down || s.primary {
		return
	}
	n := s.received()
	g.lostCommits += len(g.log) - n
	g.log = g.log[:n]
	g.term++
	g.starts[g.term] = uint64(n)
	for _, other := range g.servers {
		other.primary = false
		other.held = min(other.held, n)
	}
	s.primary, s.deaf = true, false
}

// serve answers connections until ctx is done.
func (s *Server) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.handle(c)
	}
}

// session is one connection's state on a server.
type session struct {
	server   *Server
	customer string
	inTx     bool
	readOnly bool
	failed   bool
	term     uint64 // at the beginning of a writing transaction
	writes   []commit
	prepared map[string]statement.Command
}

func (s *Server) handle(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	g := s.group
	group, customer, id, err := g.Codec.ReadOpening(r)
	if err != nil {
		return
	}
	time.Sleep(g.Handshake)
	g.mu.Lock()
	refusal := statement.OK
	switch {
	case s.down:
		g.mu.Unlock()
		return
	case group != g.Name || id != s.ID:
		refusal = statement.WrongServer
	case len(s.conns) >= g.MaxConns:
		refusal = statement.ConnectionLimit
	default:
		s.conns[c] = true
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(s.conns, c)
		g.mu.Unlock()
	}()
	if _, err := c.Write(g.Codec.AppendOpened(nil, &statement.Answer{Code: refusal})); err != nil || refusal != statement.OK {
		return
	}
	x := &session{server: s, customer: customer, prepared: make(map[string]statement.Command)}
	for {
		command, err := g.Codec.ReadCommand(r)
		if err != nil {
			return
		}
		a, lose := x.run(&command)
		if lose {
			return
		}
		if _, err := c.Write(g.Codec.AppendAnswer(nil, &a)); err != nil {
			return
		}
	}
}

// run runs one command. It reports whether the answer is to be lost.
func (x *session) run(c *statement.Command) (statement.Answer, bool) {
	switch c.Verb {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		time.Sleep(x.server.group.Work)
	}
	g := x.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	a, lose := x.apply(c)
	if a.Code != statement.OK && x.inTx {
		x.failed = true
	}
	switch {
	case x.inTx && x.failed:
		a.State = statement.FailedTx
	case x.inTx:
		a.State = statement.InTx
	}
	a.At = x.server.point()
	return a, lose
}

// leads reports whether the session's server may run writing statements.
func (x *session) leads() bool {
	return x.server.primary && (!x.inTx || x.readOnly || x.term == x.server.group.term)
}

func (x *session) apply(c *statement.Command) (statement.Answer, bool) {
	s, g := x.server, x.server.group
	if x.failed && c.Verb != statement.Rollback && c.Verb != statement.Commit {
		return statement.Refusal(statement.Malformed, ""), false
	}
	if c.After != (state.Point{}) && !s.contains(c.After) {
		return statement.Refusal(statement.Lagging, ""), false
	}
	switch c.Verb {
	case statement.Begin:
		if !s.primary {
			return statement.Refusal(statement.ReadOnly, s.ID), false
		}
		x.inTx, x.readOnly, x.term = true, false, g.term
	case statement.BeginReadOnly:
		x.inTx, x.readOnly = true, true
	case statement.Rollback:
		x.end()
	case statement.Commit:
		return x.commit(c)
	case statement.Read, statement.Write:
		return x.access(c, c.Verb == statement.Write)
	case statement.Execute:
		p, known := x.prepared[c.Name]
		if !known {
			return statement.Refusal(statement.UnknownStatement, ""), false
		}
		return x.access(c, p.Writes)
	case statement.Prepare:
		x.prepared[c.Name] = *c
	case statement.Discard:
		clear(x.prepared)
	case statement.StepDown:
		s.primary = false
		return statement.Answer{Rows: []string{g.Codec.EncodeReport(false, s.point(), len(s.conns))}}, false
	case statement.Status:
		return statement.Answer{Rows: []string{g.Codec.EncodeReport(s.primary, s.point(), len(s.conns))}}, false
	}
	return statement.Answer{}, false
}

func (x *session) end() {
	x.inTx, x.failed, x.writes = false, false, nil
}

func (x *session) access(c *statement.Command, write bool) (statement.Answer, bool) {
	s, g := x.server, x.server.group
	if (write || x.inTx && !x.readOnly) && !x.leads() {
		return statement.Refusal(statement.ReadOnly, s.ID), false
	}
	s.runs[c.ID]++
	item, data, _ := strings.Cut(c.Payload, " ")
	if !write {
		a := statement.Answer{Signature: s.ID}
		for _, entry := range g.log[:s.received()] {
			if entry.item == item {
				a.Rows = []string{entry.data}
			}
		}
		return a, false
	}
	entry := commit{id: c.ID, customer: x.customer, item: item, data: data, at: time.Now()}
	if x.inTx {
		x.writes = append(x.writes, entry)
		return statement.Answer{Signature: s.ID}, false
	}
	g.log = append(g.log, entry)
	return statement.Answer{Signature: s.ID}, x.loses()
}

func (x *session) loses() bool {
	if x.server.loseAnswers == 0 {
		return false
	}
	x.server.loseAnswers--
	return true
}

func (x *session) commit(c *statement.Command) (statement.Answer, bool) {
	if x.failed || len(x.writes) > 0 && !x.leads() {
		x.end()
		return statement.Refusal(statement.ReadOnly, x.server.ID), false
	}
	for _, entry := range x.writes {
		entry.at = time.Now()
		x.server.group.log = append(x.server.group.log, entry)
	}
	x.end()
	return statement.Answer{Signature: x.server.ID}, x.loses()
}
