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

// queueLimit is the capacity of the event queue of a session or server. Events
// here are posted with PostUnbounded, which ignores it; inboxLimit bounds the
// messages of a session.
const queueLimit = 128

// Server is one backend server of a group. Its methods may be called from any
// goroutine, also while the server is stopped.
type Server struct {
	group    *Group
	options  ServerOptions
	node     *node
	sessions *sessionTable
	slots    *slotTable
	faults   *faultTable
	queue    *pool.Queue // control orders and replication

	nextReplication time.Time // time of the pending replication timer; used by events of queue only

	lifecycle chan struct{} // semaphore with one token, held by Start, Stop and the getters of addresses
	listeners *listeners    // guarded by lifecycle; nil while stopped
}

// listeners serve the two addresses of a running server.
type listeners struct {
	wire    net.Listener
	control *http.Server
	stop    context.CancelFunc // cancels pending control requests
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

// Start starts a stopped server with the log, terms and role that it had before.
// It does nothing if the server is running, and fails if an address cannot be
// listened on.
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
	s.node.setRunning(true)
	s.group.goroutines.Go(func() { s.accept(l.wire) })
	s.group.scheduleReplication()
	return nil
}

// listen opens both addresses and records the chosen ports, which the next start
// uses again.
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
	s.group.goroutines.Go(func() { _ = server.Serve(control) })
	return &listeners{wire: wire, control: server, stop: stop}, nil
}

// Stop stops the server like a crash: connections are closed at once, and open
// transactions are rolled back. It also ends a pause.
func (s *Server) Stop() {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	if s.listeners == nil {
		return
	}
	s.node.setRunning(false)
	s.listeners.wire.Close()
	s.listeners.stop()
	s.listeners.control.Close()
	s.listeners = nil
	for _, c := range s.sessions.close() {
		c.abort()
	}
	s.sessions.setPaused(false)
	s.group.notifier.notify()
}

// Pause simulates a hung process: the server accepts connections and bytes, but
// executes, replicates and responds to nothing until Resume or Stop.
func (s *Server) Pause() {
	s.sessions.setPaused(true)
	s.node.update(func(n *node) { n.paused = true })
}

// Resume ends a pause. Requests that arrived during it are then executed.
func (s *Server) Resume() {
	s.node.update(func(n *node) { n.paused = false })
	for _, c := range s.sessions.setPaused(false) {
		c.post(c.advance)
	}
	s.group.scheduleReplication()
}

// IsolateReplication stops or restores replication from and to the server.
// Clients and the control interface are not affected.
func (s *Server) IsolateReplication(isolated bool) {
	s.node.update(func(n *node) { n.isolated = isolated })
	s.group.scheduleReplication()
}

// HoldReplication stops or restores replication to the server, but not from it.
func (s *Server) HoldReplication(held bool) {
	s.node.update(func(n *node) { n.receiveHeld = held })
	s.group.scheduleReplication()
}

// SetReplicationDelay changes the time from a commit on the primary until its
// record arrives at the server, also for records that have not arrived.
func (s *Server) SetReplicationDelay(d time.Duration) {
	s.node.update(func(n *node) { n.replicationDelay = d })
	s.group.scheduleReplication()
}

// BreakConnections injects a fault that closes client connections. Several faults
// may be pending at once.
func (s *Server) BreakConnections(b ConnectionFault) { s.faults.addBreak(b) }

// DelayNextResponse delays the response to the next statement that uses data, while
// the statement executes and commits without the delay. Each further call applies
// to one more statement.
func (s *Server) DelayNextResponse(d time.Duration) { s.faults.addDelay(d) }

// ClearFaults removes the pending faults of BreakConnections and DelayNextResponse.
func (s *Server) ClearFaults() { s.faults.clear() }

// Name returns the name of the server from its options.
func (s *Server) Name() string { return s.options.Name }

// DataCentre returns the data centre of the server from its options.
func (s *Server) DataCentre() string { return s.options.DataCentre }

// Address returns the address of the PostgreSQL wire protocol with its actual
// port.
func (s *Server) Address() string {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	return s.options.Address
}

// ControlAddress returns the address of the control interface with its actual
// port.
func (s *Server) ControlAddress() string {
	<-s.lifecycle
	defer func() { s.lifecycle <- struct{}{} }()
	return s.options.ControlAddress
}

// Status returns the status that the control interface reports, also while the
// server is stopped.
func (s *Server) Status() state.ServerStatus { return s.node.status() }

// Log returns a copy of all records in the log of the server.
func (s *Server) Log() []translog.Record {
	var records []translog.Record
	s.node.read(func(l *translog.Log) { records = l.Records(0) })
	return records
}

// Entries returns the entries of the table log on this server.
func (s *Server) Entries() []string {
	var entries []string
	s.node.read(func(l *translog.Log) { entries = l.Entries() })
	return entries
}

// Value returns the value of a key in the table kv on this server, and whether
// the key exists.
func (s *Server) Value(key string) (value string, exists bool) {
	s.node.read(func(l *translog.Log) { value, exists = l.Value(key) })
	return value, exists
}

// Statements returns the number of executed statements that use data. Statements
// refused before execution are not counted.
func (s *Server) Statements() uint64 { return s.faults.statementCount() }

// Reads returns the number of reads executed outside explicit transactions.
func (s *Server) Reads() Reads { return s.faults.readCounts() }

// Connections returns the current and the highest number of connections that
// count towards the limit, and the number of startups refused by the limit.
func (s *Server) Connections() (current, highest, refused int) { return s.sessions.counts() }

// LongestQueue returns the highest number of statements that waited for a slot at
// the same time.
func (s *Server) LongestQueue() int { return s.slots.maxWaitingCount() }
