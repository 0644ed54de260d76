// Package sessions runs the decisions of package session. Activity on connections
// and timers becomes events on the worker pool, and the effects of decisions
// become I/O.
package sessions

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/protocol/token"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/pgserver"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Groups waits for log positions of database groups and takes reports of failed
// servers. Its methods must not block.
type Groups interface {
	// Wait adds a waiter. Its result is passed to Sessions.Resolved.
	Wait(group string, w state.PositionWaiter)
	// Withdraw removes a waiter.
	Withdraw(group string, id state.WaiterID)
	// Suspect reports a failed connection or a missing response of a server.
	Suspect(group, server string)
}

// Limits admits requests that wait for tokens of their customer's rate limit. The
// decisions are passed to Sessions.Admitted.
type Limits interface {
	// Advance processes waiting requests and loans no later than the given time.
	Advance(at time.Time)
}

// Options are the dependencies and settings of Sessions.
type Options struct {
	Pool    *pool.Pool
	Tables  *state.Tables
	Decider *session.Decider
	Secret  []byte // signs session tokens
	// Index returns this VM's index in the configuration, or false if the VM is not
	// listed. Other VMs use it to forward cancel requests to this VM.
	Index func() (uint16, bool)
	// ForwardCancel forwards a cancel request to the VM with the given index. It
	// must not block.
	ForwardCancel func(index uint16, session, secret uint32)
	// MaxSessions limits the open sessions; further logins are refused.
	MaxSessions int
	// QueueLimit limits the queued events per session. When the parts of a response
	// fill the queue, the backend connection is not read until there is space.
	QueueLimit int
	// DefaultDeadline is the time limit of requests on routes without a deadline.
	DefaultDeadline time.Duration
	Logger          log.Interface
	Scope           tally.Scope
	Tracer          trace.Tracer
}

// Sessions manages the sessions of this VM.
type Sessions struct {
	Options
	backends *pgbackend.Backends
	groups   Groups
	limits   Limits
	metrics  metrics

	mu       sync.Mutex // guards the fields below; no other lock is taken under it
	byID     map[uint64]*clientSession
	byCancel map[uint32]*clientSession // by cancelID of the session's ID
	draining bool
	drained  bool          // allEnded is closed
	allEnded chan struct{} // closed when draining and no session remains
}

// New returns a manager without sessions. Connect must be called before the first
// login.
func New(o Options) *Sessions {
	return &Sessions{Options: o, metrics: newMetrics(o.Scope), byID: make(map[uint64]*clientSession), byCancel: make(map[uint32]*clientSession), allEnded: make(chan struct{})}
}

// SetDependencies sets the dependencies that in turn depend on Sessions.
func (s *Sessions) SetDependencies(b *pgbackend.Backends, g Groups, l Limits) {
	s.backends, s.groups, s.limits = b, g, l
}

// Login implements pgserver.Sessions. It blocks until a worker of the pool has made
// the decision.
func (s *Sessions) Login(out *pgserver.Client, l pgserver.Login) (pgserver.Session, *session.Outcome) {
	st := s.Tables.Sessions.Add()
	st.Lock()
	st.Login = l.Customer
	st.Route = l.Route
	st.Key, st.HasKey = sha256.Sum256([]byte(l.Key)), l.Key != ""
	st.Unlock()
	c := &clientSession{
		sessions:   s,
		st:         st,
		out:        out,
		queue:      s.Pool.NewQueue(s.QueueLimit),
		statements: make(pgwire.PreparedStatements),
		idle:       make(chan struct{}, 1),
		ended:      make(chan struct{}),
		secret:     newSecret(),
	}
	decided := make(chan *session.Outcome, 1)
	refused := &session.Outcome{Kind: session.NotRun, Reason: session.ShuttingDown}
	if c.queue.PostUnbounded(func() { decided <- c.login(l.Parameters) }) {
		refused = <-decided
	}
	if refused != nil {
		c.queue.Close()
		s.Tables.Sessions.Remove(st.ID)
		return nil, refused
	}
	return c, nil
}

// login returns the reason if the login is refused. Otherwise it registers the
// session and completes the start-up of the client.
func (c *clientSession) login(parameters map[string]string) *session.Outcome {
	c.st.Lock()
	refused := c.sessions.Decider.Login(c.st, time.Now())
	c.st.Unlock()
	if refused == nil {
		refused = c.applyParameters(parameters)
	}
	if refused == nil {
		refused = c.sessions.add(c)
	}
	if refused != nil {
		c.sessions.metrics.outcome(*refused)
		return refused
	}
	c.sendLoginComplete()
	c.idle <- struct{}{}
	return nil
}

// sendLoginComplete sends the messages that complete the client's start-up.
func (c *clientSession) sendLoginComplete() {
	messages := []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.ParameterStatus{Name: pgwire.SettingSession, Value: c.token()},
		&pgproto3.BackendKeyData{ProcessID: c.processID(), SecretKey: pgwire.CancelKey(c.secret)},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	c.out.Send(messages...)
}

// add registers the session. It returns the reason if the session is refused.
func (s *Sessions) add(c *clientSession) *session.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &session.Outcome{Kind: session.NotRun, Reason: session.ShuttingDown}
	}
	if len(s.byID) >= s.MaxSessions {
		return &session.Outcome{Kind: session.NotRun, Reason: session.TooManySessions}
	}
	s.byID[c.st.ID] = c
	s.byCancel[cancelID(c.st.ID)] = c
	s.metrics.sessions.Update(float64(len(s.byID)))
	return nil
}

func (s *Sessions) remove(c *clientSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byID[c.st.ID]; !ok {
		return
	}
	delete(s.byID, c.st.ID)
	if key := cancelID(c.st.ID); s.byCancel[key] == c {
		delete(s.byCancel, key)
	}
	s.metrics.sessions.Update(float64(len(s.byID)))
	s.signalDrained()
}

// signalDrained closes allEnded if Drain was called and no session remains. The
// caller holds mu.
func (s *Sessions) signalDrained() {
	if s.draining && len(s.byID) == 0 && !s.drained {
		s.drained = true
		close(s.allEnded)
	}
}

func (s *Sessions) lookup(id uint64) *clientSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *Sessions) snapshot() []*clientSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*clientSession, 0, len(s.byID))
	for _, c := range s.byID {
		all = append(all, c)
	}
	return all
}

// Drain refuses new sessions and closes each session as soon as it has neither a
// running request nor an open transaction. The returned channel is closed when no
// session remains.
func (s *Sessions) Drain() <-chan struct{} {
	s.mu.Lock()
	s.draining = true
	s.signalDrained()
	allEnded := s.allEnded
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		c.post(func(time.Time) []session.Effect { return s.Decider.Drain(c.st) })
	}
	return allEnded
}

// Resume accepts new sessions again after Drain. Sessions that are still open are
// kept.
func (s *Sessions) Resume() {
	s.mu.Lock()
	if s.drained {
		s.allEnded = make(chan struct{})
	}
	s.draining, s.drained = false, false
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		c.post(func(time.Time) []session.Effect {
			c.st.Draining = false
			return nil
		})
	}
}

// Close ends all sessions immediately, as if their clients had disconnected.
func (s *Sessions) Close() {
	for _, c := range s.snapshot() {
		c.Disconnected()
	}
}

// cancelIDBits is the number of low bits of a process ID that identify the session
// on its VM. The 10 high bits are the index of that VM, because a load balancer can
// send a cancel request to any VM.
const cancelIDBits = 22

func cancelID(id uint64) uint32 { return uint32(id) & (1<<cancelIDBits - 1) }

// processID returns the identifier of the session in cancel requests.
func (c *clientSession) processID() uint32 {
	index, _ := c.sessions.Index()
	return uint32(index)<<cancelIDBits | cancelID(c.st.ID)
}

// Cancel implements pgserver.Sessions. A request for a session of another VM is
// forwarded.
func (s *Sessions) Cancel(processID, secret uint32) {
	index := uint16(processID >> cancelIDBits)
	if own, listed := s.Index(); listed && own != index {
		s.ForwardCancel(index, processID&(1<<cancelIDBits-1), secret)
		return
	}
	s.CancelLocal(processID&(1<<cancelIDBits-1), secret)
}

// CancelLocal cancels the running request of a session of this VM. The ID is the
// low part of the process ID. An unknown ID or a wrong secret has no effect.
func (s *Sessions) CancelLocal(id, secret uint32) {
	s.mu.Lock()
	c := s.byCancel[id]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return
	}
	c.post(func(time.Time) []session.Effect { return s.Decider.Cancel(c.st) })
}

// Granted implements pgbackend.Waiters.
func (s *Sessions) Granted(id state.WaiterID, server string, conn state.ConnID) {
	c := s.lookup(id.Session)
	if c == nil || !c.post(func(now time.Time) []session.Effect {
		return s.Decider.HandleConn(c.st, id.Request, server, conn, now)
	}) {
		s.backends.Release(server, conn, time.Now())
	}
}

// NotGranted implements pgbackend.Waiters.
func (s *Sessions) NotGranted(id state.WaiterID, reason queueing.Reason) {
	if c := s.lookup(id.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.HandleConnRefused(c.st, id.Request, reason, now)
		})
	}
}

// Resolved passes the result of Groups.Wait to the waiting session.
func (s *Sessions) Resolved(id state.WaiterID, r replication.Result) {
	if c := s.lookup(id.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.HandleWaitResult(c.st, id.Request, r, now)
		})
	}
}

// Admitted passes the decision on a request that waited for tokens to its session.
func (s *Sessions) Admitted(d share.Decision) {
	if c := s.lookup(d.ID.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.HandleAdmission(c.st, d.ID.Request, d.Admission, now)
		})
	}
}

// newSecret returns a random number that authenticates cancel requests.
func newSecret() uint32 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("read random bytes: " + err.Error())
	}
	return binary.BigEndian.Uint32(b[:])
}

// token returns the encoded session token. The caller must not hold the session's
// lock.
func (c *clientSession) token() string {
	c.st.Lock()
	defer c.st.Unlock()
	return token.Encode(c.sessions.Secret, c.st.Customer, c.st.Token)
}
