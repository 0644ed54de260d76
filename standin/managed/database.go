package managed

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// logEntry is one committed write in a group's log.
type logEntry struct {
	id         string // of the statement that wrote it
	customer   string
	item, data string
	at         time.Time
}

// Codec is the backend servers' side of the wire protocol between VMs and
// backend servers: it decodes commands and encodes answers.
type Codec interface {
	ReadOpening(r *bufio.Reader) (group, customer, server string, err error)
	ReadCommand(r *bufio.Reader) (statement.Command, error)
	AppendOpened(dst []byte, a *statement.Answer) []byte
	AppendAnswer(dst []byte, a *statement.Answer) []byte
	// EncodeReport encodes a report. pausedBy is the term of the Pause that holds the server,
	// or zero.
	EncodeReport(primary bool, p state.Point, pausedBy uint64, connections int) string
}

// Group models a database group: one log, and servers that have each received a
// prefix of it.
type Group struct {
	Name      string
	Lag       time.Duration // replication lag of the replicas
	MaxConns  int           // that each server accepts
	Work      time.Duration // time that a statement takes
	Handshake time.Duration // time that opening a connection takes
	Codec     Codec
	Unfenced  bool // a replaced primary goes on, see Options.Unfenced
	Capacity  Capacity

	mu           sync.Mutex    // guards the fields below and those of the servers
	promoteDelay time.Duration // between an accepted order and the change of primary
	syncReplicas int           // replicas that must have received a commit before it is acknowledged
	term         uint64
	// termStarts maps each term to the length of the log at its start.
	termStarts map[uint64]uint64
	log        []logEntry
	servers    map[string]*Server
	// droppedCommits counts the commits that the new primary of a promotion had not
	// received.
	droppedCommits int
	// supersededCommits holds the ids of the statements that replaced primaries
	// committed.
	supersededCommits map[string]bool
	runs              []Run
	transactions      int // that were begun
	openTransactions  int // on all servers
	// connectionsRefused counts the connections beyond MaxConns.
	connectionsRefused int
}

// Run is a client's statement that a server executed.
type Run struct {
	Server, Customer string // of the connection
	ID               string
	Transaction      int // unique in the group; zero outside of transactions
	At               time.Time
}

// Runs returns the clients' statements that the group's servers executed, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// OpenTransactions returns the number of transactions that are open on the group's servers.
func (g *Group) OpenTransactions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openTransactions
}

// Server models a backend server of a group.
type Server struct {
	ID      string
	Zone    string
	Address string

	group    *Group
	primary  bool
	received int    // length of the log prefix that a replica has received; see logLength
	deaf     bool   // receives nothing, see SetReplicationPaused
	pausedBy uint64 // term of the statement.Pause that holds the server, or zero
	draining bool   // registered as draining
	born     int64  // number of starts, which the server registers as its start time
	seq      uint64 // of the latest registration
	down     bool
	// ledTerm is the term that the server led until it crashed or stepped down.
	ledTerm uint64
	conns   map[net.Conn]bool
	cancel  context.CancelFunc
	ended   <-chan struct{} // closed by cancel
	// answersToDrop is the number of coming commits after which the server closes
	// the connection instead of answering.
	answersToDrop int
	executions    map[string]int // by statement id
	extraWork     time.Duration  // see SetExtraWork
	// superseded is the log of a replaced primary that goes on, or nil.
	superseded *supersededLog
	slots      slots
	// reaches reports whether the server can connect to another one.
	reaches func(address string) bool
}

// supersededLog is the log of a primary that goes on after its replacement.
type supersededLog struct {
	term uint64
	log  []logEntry
}

// currentLog returns the log that the server reads from, as far as it has received it.
// The caller holds the group's mu.
func (s *Server) currentLog() []logEntry {
	if s.superseded != nil {
		return s.superseded.log
	}
	return s.group.log[:s.logLength()]
}

// currentTerm returns the term that the server knows. The caller holds the group's mu.
func (s *Server) currentTerm() uint64 {
	if s.superseded != nil {
		return s.superseded.term
	}
	return s.group.term
}

// appendLog commits an entry. The caller holds the group's mu.
func (s *Server) appendLog(e logEntry) {
	if s.superseded == nil {
		s.group.log = append(s.group.log, e)
		return
	}
	s.superseded.log = append(s.superseded.log, e)
	s.group.supersededCommits[e.id] = true
}

// becomeReplica ends the role of a primary, which keeps its log. The caller holds the
// group's mu.
func (s *Server) becomeReplica() {
	if s.primary && s.superseded == nil {
		s.received, s.ledTerm = s.logLength(), s.group.term
	}
	s.primary, s.superseded = false, nil
}

// logLength returns the length of the log prefix that the server has. The caller
// holds the group's mu.
func (s *Server) logLength() int {
	g := s.group
	if s.primary {
		return len(g.log)
	}
	if s.deaf || s.pausedBy > 0 || s.down || !g.logIsSent() {
		return min(s.received, len(g.log))
	}
	now := time.Now()
	n := len(g.log)
	for n > s.received && now.Sub(g.log[n-1].at) < g.Lag {
		n--
	}
	s.received = max(s.received, n)
	return min(s.received, len(g.log))
}

// logIsSent reports whether the server that led the current term runs, so that replicas
// receive its log. The caller holds mu.
func (g *Group) logIsSent() bool {
	for _, s := range g.servers {
		if !s.down && (s.primary || s.ledTerm == g.term) {
			return true
		}
	}
	return false
}

// contains reports whether the server has the log up to a point, and the promotion
// that ended the point's term did not drop it. The caller holds the group's mu.
func (s *Server) contains(p state.Point) bool {
	g := s.group
	if s.superseded != nil {
		return p.Term <= s.superseded.term && p.Position <= uint64(len(s.superseded.log))
	}
	if p.Term > g.term || uint64(s.logLength()) < p.Position {
		return false
	}
	return p.Term == g.term || p.Position <= g.termStarts[p.Term+1]
}

// point returns the end of the server's log. The caller holds the group's mu.
func (s *Server) point() state.Point {
	return state.Point{Term: s.currentTerm(), Position: uint64(len(s.currentLog()))}
}

// NewGroup returns a group without servers, in term 1 and with an empty log.
func NewGroup(name string, maxConns int, lag time.Duration, codec Codec) *Group {
	return &Group{
		Name: name, Lag: lag, promoteDelay: 300 * time.Millisecond, MaxConns: maxConns, Work: 5 * time.Millisecond,
		Handshake: 10 * time.Millisecond, Codec: codec, term: 1, termStarts: map[uint64]uint64{1: 0}, servers: make(map[string]*Server),
		supersededCommits: make(map[string]bool),
	}
}

// Add adds a server, which accepts connections from l until ctx is done or Crash is
// called.
func (g *Group) Add(ctx context.Context, id, zone string, l net.Listener, primary bool) *Server {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		ID: id, Zone: zone, Address: l.Addr().String(), group: g, primary: primary, born: 1, conns: make(map[net.Conn]bool),
		cancel: cancel, ended: ctx.Done(), executions: make(map[string]int), reaches: func(string) bool { return true },
	}
	g.mu.Lock()
	g.servers[id] = s
	g.mu.Unlock()
	go s.serve(ctx, l)
	return s
}

// SetPromoteDelay sets the time between an accepted order to promote a server of the group
// and the change of primary.
func (g *Group) SetPromoteDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoteDelay = delay
}

// SetSyncReplicas sets the number of replicas that must have received a commit before it
// is acknowledged. It also applies to commits that wait.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = n
}

// waitsForReplicas reports whether a commit is acknowledged only once replicas have
// received it.
func (g *Group) waitsForReplicas() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.syncReplicas > 0
}

// ConnectionsRefused returns how many connections its servers refused beyond MaxConns.
func (g *Group) ConnectionsRefused() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connectionsRefused
}

// Term returns the group's term, which each promotion increases by one.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

// promote makes the named server the primary. Commits that it has not received are
// dropped from the log.
func (g *Group) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil || s.down || s.primary && s.superseded == nil {
		return
	}
	s.superseded = nil
	kept := s.logLength()
	for _, other := range g.servers {
		if g.Unfenced && other.primary && other.superseded == nil {
			other.superseded = &supersededLog{term: g.term, log: slices.Clone(g.log)}
			go other.endWhenReplaced(s)
		}
	}
	g.droppedCommits += len(g.log) - kept
	g.log = g.log[:kept]
	g.term++
	g.termStarts[g.term] = uint64(kept)
	for _, other := range g.servers {
		if other.superseded == nil {
			other.primary = false
		}
		other.received = min(other.received, kept)
	}
	s.primary, s.pausedBy, s.deaf = true, 0, false
}

// endWhenReplaced makes a replaced primary a replica once it can reach its successor for
// a second.
func (s *Server) endWhenReplaced(successor *Server) {
	const (
		interval = 50 * time.Millisecond
		needed   = time.Second
	)
	reachedFor := time.Duration(0)
	for reachedFor < needed {
		time.Sleep(interval)
		reachedFor += interval
		if !s.reaches(successor.Address) {
			reachedFor = 0
		}
		s.group.mu.Lock()
		ended := s.superseded == nil || s.down
		s.group.mu.Unlock()
		if ended {
			return
		}
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.becomeReplica()
}

// serve accepts connections until ctx is done, and handles each in a goroutine.
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
