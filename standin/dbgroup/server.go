package dbgroup

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// queueLimit bounds the events of a session or server that may be refused when
// there are too many.
const queueLimit = 128

// Server is one backend server of a group. Its methods may be called at any
// time.
type Server struct {
	group    *Group
	options  ServerOptions
	node     *node
	sessions *sessionTable
	slots    *slotTable
	faults   *faultTable
	queue    *pool.Queue // control orders and replication

	replicateTimer time.Time // used by events of queue only

	lifecycle chan struct{} // holds one token; taken by Start and Stop
	listeners *listeners    // guarded by lifecycle; nil while stopped
}

// listeners are what a running server listens with.
type listeners struct {
	wire    net.Listener
	control *http.Server
	stop    context.CancelFunc // ends control requests that wait
}

func newServer(g *Group, o ServerOptions, primary string) *Server {
	s := &Server{
		group:     g,
		options:   o,
		node:      newNode(o, primary),
		sessions:  newSessionTable(o.Connections),
		slots:     newSlotTable(o.Slots),
		faults:    newFaultTable(),
		queue:     g.pool.NewQueue(queueLimit),
		lifecycle: make(chan struct{}, 1),
	}
	s.lifecycle <- struct{}{}
	return s
}

// Start starts a server that was stopped. It has the log, terms and role that
// it had before.
func (s *Server) Start() error {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	if s.listeners != nil {
		return nil
	}
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.listeners = l
	s.sessions.open()
	s.node.setUp(true)
	s.group.running.Go(func() { s.accept(l.wire) })
	s.group.poke()
	return nil
}

// listen opens both addresses, and keeps the ports for the next start.
func (s *Server) listen() (*listeners, error) {
	wire, err := s.options.Network.Listen(s.options.Address)
	if err != nil {
		return nil, err
	}
	control, err := s.options.Network.Listen(s.options.ControlAddress)
	if err != nil {
		wire.Close()
		return nil, err
	}
	s.options.Address = wire.Addr().String()
	s.options.ControlAddress = control.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	server := s.controlServer(ctx)
	s.group.running.Go(func() { _ = server.Serve(control) })
	return &listeners{wire: wire, control: server, stop: stop}, nil
}

// Stop stops the server as a crash does: connections close, and transactions in
// progress are rolled back. It ends a pause.
func (s *Server) Stop() {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	if s.listeners == nil {
		return
	}
	s.node.setUp(false)
	s.listeners.wire.Close()
	s.listeners.stop()
	s.listeners.control.Close()
	s.listeners = nil
	for _, c := range s.sessions.close() {
		c.abort()
	}
	s.sessions.setPaused(false)
	s.group.progress.notify()
}

// Pause makes the server accept bytes but do and answer nothing.
func (s *Server) Pause() {
	s.sessions.setPaused(true)
	s.node.set(func(n *node) { n.paused = true })
}

// Resume ends a pause. What arrived during it is then carried out.
func (s *Server) Resume() {
	s.node.set(func(n *node) { n.paused = false })
	for _, c := range s.sessions.setPaused(false) {
		c.post(c.advance)
	}
	s.group.poke()
}

// IsolateReplication stops or restores the flow of log records from and to the
// server. Clients and the control interface are not affected.
func (s *Server) IsolateReplication(isolated bool) {
	s.node.set(func(n *node) { n.isolated = isolated })
	s.group.poke()
}

// HoldReplication stops or restores the flow of log records to the server.
func (s *Server) HoldReplication(held bool) {
	s.node.set(func(n *node) { n.held = held })
	s.group.poke()
}

// SetReplicationDelay changes the delay of replication to the server.
func (s *Server) SetReplicationDelay(d time.Duration) {
	s.node.set(func(n *node) { n.delay = d })
	s.group.poke()
}

// BreakConnections orders a break of client connections.
func (s *Server) BreakConnections(b Break) { s.faults.order(b) }

// DelayNextAnswer makes the answer to the next statement that uses data late.
// The statement executes and commits at its usual time. Repeated calls apply
// to the statements after it.
func (s *Server) DelayNextAnswer(d time.Duration) { s.faults.delayNext(d) }

// ClearFaults drops the ordered breaks and delays that have not happened.
func (s *Server) ClearFaults() { s.faults.clear() }

// Name returns the server's name.
func (s *Server) Name() string { return s.options.Name }

// DataCentre returns the server's data centre.
func (s *Server) DataCentre() string { return s.options.DataCentre }

// Address returns the address of the wire protocol.
func (s *Server) Address() string {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	return s.options.Address
}

// ControlAddress returns the address of the control interface.
func (s *Server) ControlAddress() string {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	return s.options.ControlAddress
}

// Status returns what the control interface would report.
func (s *Server) Status() state.ServerStatus { return s.node.status() }

// Log returns a copy of the server's log.
func (s *Server) Log() []translog.Record {
	var records []translog.Record
	s.node.read(func(l *translog.Log) { records = l.Records(0) })
	return records
}

// Entries returns what the server's copy of the table "log" holds.
func (s *Server) Entries() []string {
	var entries []string
	s.node.read(func(l *translog.Log) { entries = l.Entries() })
	return entries
}

// Value returns a value of the server's copy of the table "kv".
func (s *Server) Value(key string) (value string, exists bool) {
	s.node.read(func(l *translog.Log) { value, exists = l.Value(key) })
	return value, exists
}

// Statements returns the number of statements executed that use data. A
// statement that is refused before it runs does not count.
func (s *Server) Statements() uint64 { return s.faults.count() }

// Reads returns the number of reads executed outside of explicit transactions.
func (s *Server) Reads() Reads { return s.faults.readCounts() }

// Connections returns the present number of connections that count towards the
// limit, the highest number so far, and the number of startups refused because
// of the limit.
func (s *Server) Connections() (current, highest, refused int) { return s.sessions.counts() }

// LongestQueue returns the greatest number of statements that waited for a slot
// at once.
func (s *Server) LongestQueue() int { return s.slots.longestQueue() }
